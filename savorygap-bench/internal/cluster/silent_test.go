package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/cluster"
	"savorygap.example/savorygap-bench/internal/proxy"
)

// patientConfiguration has routes whose requests may take 12 s.
const patientConfiguration = `{"Version":"r1000","Services":[
 {"Name":"logview","HealthPath":"/healthz","MaxConnections":220,"ColdStartS":2,"ColdPerS":18},
 {"Name":"findings","HealthPath":"/healthz","MaxConnections":220,"ColdStartS":2,"ColdPerS":18}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "VirtualHosts":[{"Host":"board.example","Paths":[
  {"Name":"order","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":12,"TargetLatencyS":1,"Priority":1,"Service":"findings","Attempts":2},
  {"Name":"read","PathPrefix":"/read/","Kind":"safe","TimeoutS":12,"TargetLatencyS":1,"Priority":1,"Service":"findings","Attempts":2}]}]}`

// send sends a request to the node of a host and returns the status of the response.
func send(h *cluster.Host, method, path, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.CallerAddress()+path, strings.NewReader(""))
	if err != nil {
		return 0, err
	}
	request.Host = platformtest.VirtualHost
	request.Header.Set("Savorygap-Attempt-Id", id)
	request.Header.Set("Savorygap-Deadline-Ms", "12000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

func awaitStatus(t *testing.T, h *cluster.Host, path string, want int) {
	t.Helper()
	until := time.Now().Add(20 * time.Second)
	for n := 0; ; n++ {
		got, err := send(h, http.MethodGet, path, fmt.Sprint("await-", n))
		if err == nil && got == want {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("got %d (%v), want %d", got, err, want)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestSilentNode_LosesNoRunningWork silences the node beside a server while the
// server is at work: its process is paused, or its link carries nothing. An order must
// be answered late, and must not run again or be given up; a read is sent to another
// server meanwhile.
func TestSilentNode_LosesNoRunningWork(t *testing.T) {
	c, err := cluster.Start(context.Background(), cluster.NewPlan(70, []cluster.HostPlan{
		cluster.NewHostPlan("pamplemousses", "logview"), cluster.NewHostPlan("pamplemousses", "findings"), cluster.NewHostPlan("port-louis", "findings"),
	}))
	must.NoError(t, err)
	defer c.Stop()
	c.Store().Put("op/config", []byte(patientConfiguration))
	must.NoError(t, c.AwaitReady(20*time.Second))
	entry, silent, other := c.Hosts()[0], c.Hosts()[1], c.Hosts()[2]
	awaitStatus(t, entry, "/read/1", http.StatusOK)
	time.Sleep(cluster.ColdDuration)
	const (
		serviceTime = 600 * time.Millisecond
		// longestHedge is when a read is answered at the latest: the links are found
		// silent after 1.3 s, one is opened anew after 1 s, and the other server takes
		// serviceTime.
		longestHedge = 3500 * time.Millisecond
	)
	for _, h := range []*cluster.Host{silent, other} {
		h.Server().SetServiceTime(serviceTime)
	}
	// Either node may have opened the link, so the proxies of both are blocked. The link
	// between the entry and the other node may be one of those, and is then opened anew.
	linksOf := []*cluster.Host{entry, silent}
	blockLinks := func() {
		for _, h := range linksOf {
			h.LinkProxy().Block(proxy.Both)
		}
	}
	resumeLinks := func() {
		for _, h := range linksOf {
			h.LinkProxy().Resume()
		}
	}
	for name, silence := range map[string]struct {
		begin, end func()
		length     time.Duration
	}{
		"paused for 2 s":  {func() { must.NoError(t, silent.Signal(syscall.SIGSTOP)) }, func() { must.NoError(t, silent.Signal(syscall.SIGCONT)) }, 2 * time.Second},
		"paused for 6 s":  {func() { must.NoError(t, silent.Signal(syscall.SIGSTOP)) }, func() { must.NoError(t, silent.Signal(syscall.SIGCONT)) }, 6 * time.Second},
		"cut off for 4 s": {blockLinks, resumeLinks, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			read := orderAt(t, c, entry, silent, "/read/1", name+" read")
			order := orderAt(t, c, entry, silent, "/order/1", name)
			started := time.Now()
			silence.begin()
			readResult := <-read.result
			must.Eq(t, http.StatusOK, readResult.status)
			must.Less(t, max(silence.length, longestHedge), readResult.took)
			time.Sleep(silence.length - time.Since(started))
			silence.end()
			orderResult := <-order.result
			must.Eq(t, http.StatusOK, orderResult.status)
			must.Between(t, silence.length-serviceTime, orderResult.took, silence.length+3*time.Second)
			must.Eq(t, 1, runs(c, order.id))
			must.LessEq(t, 2, runs(c, read.id))
		})
	}
}

// inFlight is a request that a server is at work on.
type inFlight struct {
	id     string
	result chan outcome
}

type outcome struct {
	status int
	took   time.Duration
}

// orderAt sends requests from entry until one of them runs at the server of want,
// and returns that one. The others are left to end.
func orderAt(t *testing.T, c *cluster.Cluster, entry, want *cluster.Host, path, name string) inFlight {
	t.Helper()
	method := http.MethodPost
	if strings.HasPrefix(path, "/read/") {
		method = http.MethodGet
	}
	for n := range 60 {
		request := inFlight{id: fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n), result: make(chan outcome, 1)}
		go func() {
			started := time.Now()
			status, err := send(entry, method, path, request.id)
			if err != nil {
				status = 0
			}
			request.result <- outcome{status: status, took: time.Since(started)}
		}()
		if awaitRun(t, c, request.id) == want {
			return request
		}
	}
	t.Fatal("no request reached the server")
	return inFlight{}
}

// awaitRun waits until a request runs and returns the host of its server.
func awaitRun(t *testing.T, c *cluster.Cluster, id string) *cluster.Host {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, e := range c.ExecutionLog().Executions(context.Background()) {
			if e.ID() == id {
				return e.Host()
			}
		}
	}
	t.Fatalf("request %q did not run", id)
	return nil
}

func runs(c *cluster.Cluster, id string) int {
	n := 0
	for _, e := range c.ExecutionLog().Executions(context.Background()) {
		if e.ID() == id {
			n++
		}
	}
	return n
}
