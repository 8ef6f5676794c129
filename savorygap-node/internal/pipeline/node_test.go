package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-node/internal/pipeline"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

const configurationTemplate = `{"Version":"r%d","Services":[
 {"Name":"shop","HealthPath":"/healthz","MaxConnections":50,"ColdStartS":3,"ColdPerS":5},
 {"Name":"till","HealthPath":"/healthz","MaxConnections":50,"ColdStartS":3,"ColdPerS":5}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "VirtualHosts":[{"Host":"farm.example","Paths":[
  {"Name":"read","PathPrefix":"/read/","Kind":"safe","TimeoutS":0.8,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2},
  {"Name":"order","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":1,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2}%s]}]}`

func configuration(version int, extraRoutes string) []byte {
	return fmt.Appendf(nil, configurationTemplate, version, extraRoutes)
}

const newRoute = `,{"Name":"new","PathPrefix":"/new/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2}`

// host is a host with its server and its node.
type host struct {
	name         string
	server       *platformtest.Server
	process      *process.Process
	settingsPath string
	addresses    map[string]string
	signals      chan os.Signal
	done         chan struct{}
	clock        clockwork.Clock
	log          io.Writer
}

// maxHosts is the largest number of hosts of a cluster.
const maxHosts = 9

// clusters counts the clusters of this test process.
var clusters atomic.Int64

// cluster is a store with the hosts that use it.
type cluster struct {
	number  int
	store   *platformtest.Store
	address string
	hosts   []*host
	// moreSettings is added to the settings of hosts that are added later.
	moreSettings string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	cl := &cluster{number: int(clusters.Add(1)), store: platformtest.NewStore()}
	address, stop, err := cl.store.Start()
	must.NoError(t, err)
	t.Cleanup(stop)
	cl.address = address
	cl.store.Put("op/config", configuration(1, ""))
	return cl
}

// loopback returns an address on loopback that no other test process uses.
func loopback() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(64+pid>>16&0x1f), byte(pid>>8), byte(pid)).String()
}

// addressOf returns the address of a host's listener. Ports are not picked by
// the kernel, since another listener may get a picked one before it is used.
func (cl *cluster) addressOf(host, listener int) string {
	const firstPort, portsPerHost = 7000, 8
	return net.JoinHostPort(loopback(), strconv.Itoa(firstPort+portsPerHost*(cl.number*maxHosts+host)+listener))
}

// addHost starts a host whose server runs service, and waits until all nodes know
// that it accepts requests.
func (cl *cluster) addHost(t *testing.T, service string, serviceTime time.Duration) *host {
	t.Helper()
	h := &host{name: fmt.Sprintf("host-%d", len(cl.hosts)+1), addresses: map[string]string{}, clock: clockwork.NewRealClock(), log: io.Discard}
	h.server = platformtest.NewServer("i-"+h.name, service, 10, serviceTime)
	stop, err := h.server.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(stop)
	for i, name := range []string{"callers", "links", "ready", "announcements", "metrics"} {
		h.addresses[name] = cl.addressOf(len(cl.hosts), i)
	}
	h.settingsPath = filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(h.settingsPath, fmt.Appendf(nil, `host: %s
ip: 127.0.0.1
dataCentre: north
service: %s
server: %q
listen: {callers: %q, links: %q, ready: %q, announcements: %q, metrics: %q}
store: {address: %q}
retries: {ratio: 0.2, least: 50, window: 10s}
drain: {grace: 6s}
%s`, h.name, service, h.server.Address(), h.addresses["callers"], h.addresses["links"], h.addresses["ready"], h.addresses["announcements"], h.addresses["metrics"], cl.address, cl.moreSettings), 0o600))
	cl.hosts = append(cl.hosts, h)
	h.start(t)
	t.Cleanup(func() { h.kill() })
	h.announce(t, "ready")
	cl.awaitAccepting(t, h, service, true)
	return h
}

func (h *host) start(t *testing.T) {
	t.Helper()
	tree, err := settings.Read(h.settingsPath)
	must.NoError(t, err)
	pipeline.Default(tree)
	h.process, err = process.New(tree, h.log, h.clock)
	must.NoError(t, err)
	must.NoError(t, pipeline.Run(h.process))
	h.signals, h.done = make(chan os.Signal, 2), make(chan struct{})
	go func(p *process.Process, signals chan os.Signal, done chan struct{}) {
		defer close(done)
		p.Wait(signals, func() error { return nil })
	}(h.process, h.signals, h.done)
}

// kill stops the node at once, without a drain.
func (h *host) kill() {
	select {
	case <-h.done:
		return
	default:
	}
	h.signals <- syscall.SIGTERM
	h.signals <- syscall.SIGTERM
	<-h.done
}

func (h *host) announce(t *testing.T, state string) {
	t.Helper()
	status, err := h.server.Announce(context.Background(), h.addresses["announcements"], state)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
}

// awaitAccepting waits until every node knows whether the host's server accepts
// requests.
func (cl *cluster) awaitAccepting(t *testing.T, h *host, service string, accepting bool) {
	t.Helper()
	for _, other := range cl.hosts {
		eventually(t, 5*time.Second, func() bool {
			list := other.process.Router().Dump(context.Background()).Servers()[service]
			return strings.Contains(strings.Join(list, " ")+" ", h.name+" ") == accepting
		})
	}
}

func eventually(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s", timeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// result is the response to a caller.
type result struct {
	status int
	body   string
	header http.Header
}

func (h *host) send(ctx context.Context, method, path, id, body string) (result, error) {
	return h.sendWithin(ctx, "1000", method, path, id, body)
}

// sendWithin sends a request with a deadline in milliseconds.
func (h *host) sendWithin(ctx context.Context, deadline, method, path, id, body string) (result, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.addresses["callers"]+path, strings.NewReader(body))
	if err != nil {
		return result{}, err
	}
	request.Host = "farm.example"
	request.Header.Set("Savorygap-Attempt-Id", id)
	request.Header.Set("Savorygap-Deadline-Ms", deadline)
	request.Header.Set("Savorygap-Caller-Service", "forged")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{}, err
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return result{status: response.StatusCode, body: string(text), header: response.Header}, err
}

func (h *host) mustSend(t *testing.T, method, path, id, body string) result {
	t.Helper()
	r, err := h.send(context.Background(), method, path, id, body)
	must.NoError(t, err)
	return r
}

func takeRequestIDs(s *platformtest.Server) []string {
	var ids []string
	for {
		select {
		case id := <-s.RequestIDs():
			ids = append(ids, id)
		default:
			return ids
		}
	}
}

func TestRequest_ReachesServerOfAnotherHost(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	r := a.mustSend(t, http.MethodPost, "/order/1?x=y", "id-1", "two crates")
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "i-host-2 POST till two crates", r.body)
	must.Eq(t, "seal-i-host-2", r.header.Get("Savorygap-Server-Seal"))
	must.Eq(t, "id-1", r.header.Get("Savorygap-Attempt-Id"))
	must.Eq(t, []string{"id-1"}, takeRequestIDs(b.server))
}

func TestRequest_ReachesLocalServerWithoutLink(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "shop", 0)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
}

func TestRoute_NotFoundUntilConfigured(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	must.Eq(t, http.StatusNotFound, a.mustSend(t, http.MethodGet, "/new/1", "id-1", "").status)
	cl.store.Put("op/config", configuration(4, newRoute))
	for _, h := range []*host{a, b} {
		eventually(t, 2*time.Second, func() bool {
			r, err := h.send(context.Background(), http.MethodGet, "/new/1", "id-2", "")
			return err == nil && r.status == http.StatusOK
		})
	}
}

func TestConfiguration_ArrivesAfterStoreHistoryIsCompacted(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "shop", 0)
	cl.store.Put("op/config", configuration(4, newRoute))
	cl.store.CompactHistory()
	eventually(t, 2*time.Second, func() bool {
		r, err := a.send(context.Background(), http.MethodGet, "/new/1", "id-2", "")
		return err == nil && r.status == http.StatusOK
	})
}

func TestDrainingServer_GetsNoRequestsAndDepartureIsStored(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.announce(t, "draining")
	must.Eq(t, []string{"savorygap/departure/host-2"}, cl.store.Keys("savorygap/departure/"))
	r := a.mustSend(t, http.MethodGet, "/read/1", "id-1", "")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
}

func TestRestartedNode_HonoursAcknowledgedDeparture(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.announce(t, "draining")
	b.kill()
	b.start(t)
	eventually(t, 5*time.Second, func() bool { ready, _ := b.process.Ready(); return ready })
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
}

func TestRestartedNode_ServesBeforeNextAnnouncement(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.kill()
	b.start(t)
	cl.awaitAccepting(t, b, "shop", true)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 2, cl.store.CallCount("txn"))
}

func TestEvacuatedDataCentre_GetsNoRequestsUntilRestored(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	cl.store.Put("op/evacuate/north", []byte("{}"))
	cl.awaitAccepting(t, b, "shop", false)
	must.Eq(t, http.StatusServiceUnavailable, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	cl.store.Remove("op/evacuate/north")
	cl.awaitAccepting(t, b, "shop", true)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-2", "").status)
	must.Eq(t, []string{"id-2"}, takeRequestIDs(b.server))
}

func TestColdServer_IsRateLimited(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.server.SetColdMillis(10_000)
	eventually(t, 3*time.Second, func() bool {
		b.mustSend(t, http.MethodGet, "/read/1", "warm", "")
		takeRequestIDs(b.server)
		r := a.mustSend(t, http.MethodGet, "/read/1", "warm", "")
		return r.status == http.StatusServiceUnavailable
	})
	time.Sleep(1100 * time.Millisecond)
	takeRequestIDs(b.server)
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < 900*time.Millisecond; n++ {
		a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("id-", n), "")
	}
	arrived := len(takeRequestIDs(b.server))
	must.LessEq(t, 5, arrived)
	// Health checks must not count against the rate of a cold server.
	must.GreaterEq(t, 2, arrived)
}

func TestRetry_OnlyIdempotentRequests(t *testing.T) {
	cl := newCluster(t)
	a, b, c := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0), cl.addHost(t, "shop", 0)
	b.server.SetTruncateBodies(true)
	c.server.SetTruncateBodies(true)
	must.Eq(t, http.StatusBadGateway, a.mustSend(t, http.MethodPost, "/order/1", "order", "x").status)
	must.Eq(t, 1, len(takeRequestIDs(b.server))+len(takeRequestIDs(c.server)))
	c.server.SetTruncateBodies(false)
	for n := range 6 {
		must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("read-", n), "").status)
	}
}

func TestServerRefusal_GetsRetryAfter(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.server.SetStatus(http.StatusServiceUnavailable)
	r := a.mustSend(t, http.MethodPost, "/order/1", "order", "x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
}

func TestRouteTimeout_CancelsServerRequest(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 5*time.Second)
	startedAt := time.Now()
	must.Eq(t, http.StatusGatewayTimeout, a.mustSend(t, http.MethodPost, "/order/1", "order", "x").status)
	must.Between(t, 950*time.Millisecond, time.Since(startedAt), 1400*time.Millisecond)
	eventually(t, 500*time.Millisecond, func() bool { return b.server.InFlight() == 0 })
}

func TestCallerDisconnect_CancelsServerRequest(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 5*time.Second)
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := a.send(ctx, http.MethodGet, "/read/1", "id-1", "")
		done <- err
	}()
	eventually(t, 2*time.Second, func() bool { return b.server.InFlight() == 1 })
	disconnect()
	must.Error(t, <-done)
	eventually(t, 500*time.Millisecond, func() bool { return b.server.InFlight() == 0 })
}

func TestRead_IsHedgedWhenServerTurnsSlow(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 30*time.Millisecond)
	cl.addHost(t, "shop", 30*time.Millisecond)
	for n := range 20 {
		a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("usual-", n), "")
	}
	b.server.SetServiceTime(700 * time.Millisecond)
	for n := range 8 {
		startedAt := time.Now()
		must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("late-", n), "").status)
		must.Less(t, 500*time.Millisecond, time.Since(startedAt))
	}
}

func TestStoreOutage_NodesServeAndRestoreEntries(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	cl.store.SetUnavailable(true)
	cl.store.RemovePrefix("savorygap/member/")
	must.Eq(t, 0, len(cl.store.Keys("savorygap/member/")))
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	b.announce(t, "ready")
	time.Sleep(2500 * time.Millisecond)
	cl.store.SetUnavailable(false)
	eventually(t, 2*time.Second, func() bool { return len(cl.store.Keys("savorygap/member/")) == 2 })
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-2", "").status)
}

// TestServerConnections_StayWithinLimit sends more concurrent requests, both reads
// and orders, to a server with many slots than it accepts connections.
func TestServerConnections_StayWithinLimit(t *testing.T) {
	const maxConnections = 4
	cl := newCluster(t)
	cl.store.Put("op/config", bytes.ReplaceAll(configuration(2, ""), []byte(`"MaxConnections":50`), fmt.Appendf(nil, `"MaxConnections":%d`, maxConnections)))
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 30*time.Millisecond)
	statuses := make(chan int, 60)
	for n := range cap(statuses) {
		method, path := http.MethodGet, "/read/1"
		if n%3 == 0 {
			method, path = http.MethodPost, "/order/1"
		}
		go func() {
			r, err := a.send(context.Background(), method, path, fmt.Sprint("id-", n), "")
			if err != nil {
				r.status = 0
			}
			statuses <- r.status
		}()
		time.Sleep(4 * time.Millisecond)
	}
	served := 0
	for range cap(statuses) {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	must.Greater(t, 10, served)
	must.LessEq(t, maxConnections, b.server.PeakConnections())
}

// TestDeparture_SurvivesLostStoreReplies has a server announce that it drains while
// the store applies writes but drops its replies. The node must still honour the
// departure after a restart.
func TestDeparture_SurvivesLostStoreReplies(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	cl.store.SetDropReplies(true)
	b.announce(t, "draining")
	cl.awaitAccepting(t, a, "shop", false)
	must.Eq(t, 1, len(cl.store.Keys("savorygap/departure/")))
	b.kill()
	cl.store.SetDropReplies(false)
	b.start(t)
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
	eventually(t, 2*time.Second, func() bool { return len(cl.store.Keys("savorygap/member/")) == 2 })
}

func TestStoppingNode_FinishesRequestsAndReportsNotReady(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "till", 0)
	cl.addHost(t, "shop", 600*time.Millisecond)
	done := make(chan result, 1)
	a.signals <- syscall.SIGTERM
	go func() { r, _ := a.send(context.Background(), http.MethodGet, "/read/1", "id-1", ""); done <- r }()
	eventually(t, time.Second, func() bool { ready, _ := a.process.Ready(); return !ready })
	must.Eq(t, http.StatusOK, (<-done).status)
	<-a.done
}

// TestStoppingNode_CutsOffNoRequestTakenLate sends requests on kept connections until
// the node closes them, to a server that takes longer than the rest of the grace
// period. Each that was read must get an answer.
func TestStoppingNode_CutsOffNoRequestTakenLate(t *testing.T) {
	cl := newCluster(t)
	cl.store.Put("op/config", configuration(2, `,{"Name":"slow","PathPrefix":"/slow/","Kind":"unsafe","TimeoutS":6,"TargetLatencyS":5,"Priority":1,"Service":"shop","Attempts":2}`))
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 4*time.Second)
	const connections = 8
	conns := make([]net.Conn, connections)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", a.addresses["callers"])
		must.NoError(t, err)
		must.NoError(t, conns[i].SetDeadline(time.Now().Add(15*time.Second)))
		defer func() { must.NoError(t, conns[i].Close()) }()
	}
	a.signals <- syscall.SIGTERM
	stopped := time.Now()
	read, statuses := 0, map[int]int{}
	for i, conn := range conns {
		time.Sleep(time.Until(stopped.Add(2900*time.Millisecond + time.Duration(i)*30*time.Millisecond)))
		if _, err := fmt.Fprintf(conn, "POST /slow/1 HTTP/1.1\r\nHost: farm.example\r\nSavorygap-Attempt-Id: id-%d\r\nSavorygap-Deadline-Ms: 6000\r\nContent-Length: 1\r\n\r\nx", i); err != nil {
			continue
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // the node closed the connection; whether it had read the request is checked below
		}
		read++
		must.True(t, response.Close, must.Sprint(i))
		must.NoError(t, response.Body.Close())
		statuses[response.StatusCode]++
	}
	must.Greater(t, 1, read)
	must.MapEq(t, map[int]int{http.StatusServiceUnavailable: read}, statuses)
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
	<-a.done
}

func TestAnnouncement_InvalidIsRejected(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "shop", 0)
	for _, text := range []string{"", "{", `{"Address":7}`, `{"Address":"127.0.0.1:1","Info":{"Service":"shop","Slots":4},"Status":{"State":"dancing","Sequence":1}}`} {
		request, err := http.NewRequest(http.MethodPut, "http://"+a.addresses["announcements"]+"/v1/instances/i-x", strings.NewReader(text))
		must.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusBadRequest, response.StatusCode)
	}
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
}

func TestMetricsAndState_AreServed(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "shop", 0)
	a.mustSend(t, http.MethodGet, "/read/1", "id-1", "")
	for path, want := range map[string]string{"/metrics": `savorygap_requests_total{outcome="answered"} 1`, "/state": `"instance":"i-host-1"`} {
		response, err := http.Get("http://" + a.addresses["metrics"] + path)
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.StrContains(t, string(text), want)
	}
}

// acceptsConnections reports whether something listens on an address.
func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
