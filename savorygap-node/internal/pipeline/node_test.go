package pipeline_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

const operators = `{"Version":"r%d","Services":[
 {"Name":"shop","HealthPath":"/healthz","MaxConnections":50,"ColdStartS":3,"ColdPerS":5},
 {"Name":"till","HealthPath":"/healthz","MaxConnections":50,"ColdStartS":3,"ColdPerS":5}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "VirtualHosts":[{"Host":"farm.example","Paths":[
  {"Name":"read","PathPrefix":"/read/","Kind":"safe","TimeoutS":0.8,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2},
  {"Name":"order","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":1,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2}%s]}]}`

func configuration(version int, more string) []byte {
	return fmt.Appendf(nil, operators, version, more)
}

const moreRoutes = `,{"Name":"new","PathPrefix":"/new/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2}`

// host is one host: a server and the node beside it.
type host struct {
	name    string
	server  *platformtest.Server
	process *process.Process
	tree    string
	ports   map[string]string
	signals chan os.Signal
	ended   chan struct{}
}

// site is a store and some hosts.
type site struct {
	store   *platformtest.Store
	address string
	hosts   []*host
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{store: platformtest.NewStore()}
	address, stop, err := s.store.Start()
	must.NoError(t, err)
	t.Cleanup(stop)
	s.address = address
	s.store.Put("op/config", configuration(1, ""))
	return s
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// add starts a host whose server serves service, and waits until it is ready.
func (s *site) add(t *testing.T, service string, work time.Duration) *host {
	t.Helper()
	h := &host{name: fmt.Sprintf("host-%d", len(s.hosts)+1), ports: map[string]string{}}
	h.server = platformtest.NewServer("i-"+h.name, service, 10, work)
	stop, err := h.server.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(stop)
	for _, name := range []string{"callers", "links", "ready", "announcements", "metrics"} {
		h.ports[name] = freeAddress(t)
	}
	h.tree = filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(h.tree, fmt.Appendf(nil, `host: %s
ip: 127.0.0.1
dataCentre: north
service: %s
server: %q
listen: {callers: %q, links: %q, ready: %q, announcements: %q, metrics: %q}
store: {address: %q}
retries: {ratio: 0.2, least: 50, window: 10s}
drain: {grace: 6s}
`, h.name, service, h.server.Address(), h.ports["callers"], h.ports["links"], h.ports["ready"], h.ports["announcements"], h.ports["metrics"], s.address), 0o600))
	s.hosts = append(s.hosts, h)
	h.start(t)
	t.Cleanup(func() { h.kill() })
	h.announce(t, "ready")
	s.awaitOpen(t, h, service, true)
	return h
}

func (h *host) start(t *testing.T) {
	t.Helper()
	tree, err := settings.Read(h.tree)
	must.NoError(t, err)
	pipeline.Default(tree)
	h.process, err = process.New(tree, io.Discard, clockwork.NewRealClock())
	must.NoError(t, err)
	must.NoError(t, pipeline.Run(h.process))
	h.signals, h.ended = make(chan os.Signal, 2), make(chan struct{})
	go func(p *process.Process, signals chan os.Signal, ended chan struct{}) {
		defer close(ended)
		p.Wait(signals, func() error { return nil })
	}(h.process, h.signals, h.ended)
}

// kill ends the node at once.
func (h *host) kill() {
	select {
	case <-h.ended:
		return
	default:
	}
	h.signals <- syscall.SIGTERM
	h.signals <- syscall.SIGTERM
	<-h.ended
}

func (h *host) announce(t *testing.T, state string) {
	t.Helper()
	status, err := h.server.Announce(context.Background(), h.ports["announcements"], state)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
}

// awaitOpen waits until every host knows whether the host's server gets work.
func (s *site) awaitOpen(t *testing.T, h *host, service string, open bool) {
	t.Helper()
	for _, other := range s.hosts {
		eventually(t, 5*time.Second, func() bool {
			list := other.process.Router().Dump(context.Background()).Servers()[service]
			return strings.Contains(strings.Join(list, " ")+" ", h.name+" ") == open
		})
	}
}

func eventually(t *testing.T, limit time.Duration, holds func() bool) {
	t.Helper()
	until := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(until) {
			t.Fatalf("not reached within %s", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// result is what a caller got.
type result struct {
	status int
	body   string
	header http.Header
}

func (h *host) send(ctx context.Context, method, path, id, body string) (result, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.ports["callers"]+path, strings.NewReader(body))
	if err != nil {
		return result{}, err
	}
	request.Host = "farm.example"
	request.Header.Set("Savorygap-Attempt-Id", id)
	request.Header.Set("Savorygap-Deadline-Ms", "1000")
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

func (h *host) must(t *testing.T, method, path, id, body string) result {
	t.Helper()
	r, err := h.send(context.Background(), method, path, id, body)
	must.NoError(t, err)
	return r
}

func drained(s *platformtest.Server) []string {
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

func TestRequestReachesTheServerOfAnotherHostAndComesBackWhole(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	r := a.must(t, http.MethodPost, "/order/1?x=y", "id-1", "two crates")
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "i-host-2 POST till two crates", r.body)
	must.Eq(t, "seal-i-host-2", r.header.Get("Savorygap-Server-Seal"))
	must.Eq(t, "id-1", r.header.Get("Savorygap-Attempt-Id"))
	must.Eq(t, []string{"id-1"}, drained(b.server))
}

func TestOwnServerIsReachedWithoutALink(t *testing.T) {
	s := newSite(t)
	a := s.add(t, "shop", 0)
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
}

func TestUnknownRouteIsNotFoundUntilAConfigurationHasIt(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	must.Eq(t, http.StatusNotFound, a.must(t, http.MethodGet, "/new/1", "id-1", "").status)
	s.store.Put("op/config", configuration(4, moreRoutes))
	for _, h := range []*host{a, b} {
		eventually(t, 2*time.Second, func() bool {
			r, err := h.send(context.Background(), http.MethodGet, "/new/1", "id-2", "")
			return err == nil && r.status == http.StatusOK
		})
	}
}

func TestConfigurationComesAlsoAfterHistoryWasLost(t *testing.T) {
	s := newSite(t)
	a := s.add(t, "shop", 0)
	s.store.Put("op/config", configuration(4, moreRoutes))
	s.store.CompactHistory()
	eventually(t, 2*time.Second, func() bool {
		r, err := a.send(context.Background(), http.MethodGet, "/new/1", "id-2", "")
		return err == nil && r.status == http.StatusOK
	})
}

func TestLeavingServerGetsNoWorkAndItsDepartureLasts(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	b.announce(t, "draining")
	must.Eq(t, []string{"savorygap/departure/host-2"}, s.store.Keys("savorygap/departure/"))
	r := a.must(t, http.MethodGet, "/read/1", "id-1", "")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.Eq(t, 0, len(drained(b.server)))
}

func TestRestartedNodeIsBoundByTheAcknowledgementBefore(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	b.announce(t, "draining")
	b.kill()
	b.start(t)
	eventually(t, 5*time.Second, func() bool { ready, _ := b.process.Ready(); return ready })
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 0, len(drained(b.server)))
}

func TestRestartedNodeServesBeforeTheNextAnnouncement(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	b.kill()
	b.start(t)
	s.awaitOpen(t, b, "shop", true)
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 2, s.store.CallCount("txn"))
}

func TestEvacuatedDataCentreGetsNothingUntilItIsBack(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	s.store.Put("op/evacuate/north", []byte("{}"))
	s.awaitOpen(t, b, "shop", false)
	must.Eq(t, http.StatusServiceUnavailable, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
	s.store.Remove("op/evacuate/north")
	s.awaitOpen(t, b, "shop", true)
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-2", "").status)
	must.Eq(t, []string{"id-2"}, drained(b.server))
}

func TestColdServerGetsWhatItBears(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	b.server.SetColdMillis(10_000)
	eventually(t, 3*time.Second, func() bool {
		b.must(t, http.MethodGet, "/read/1", "warm", "")
		drained(b.server)
		r := a.must(t, http.MethodGet, "/read/1", "warm", "")
		return r.status == http.StatusServiceUnavailable
	})
	time.Sleep(1100 * time.Millisecond)
	drained(b.server)
	began := time.Now()
	for n := 0; time.Since(began) < 900*time.Millisecond; n++ {
		a.must(t, http.MethodGet, "/read/1", fmt.Sprint("id-", n), "")
	}
	arrived := len(drained(b.server))
	must.LessEq(t, 5, arrived)
	// Health checks must not use up what the server bears.
	must.GreaterEq(t, 2, arrived)
}

func TestReadIsRepeatedElsewhereAndAnOrderIsNot(t *testing.T) {
	s := newSite(t)
	a, b, c := s.add(t, "till", 0), s.add(t, "shop", 0), s.add(t, "shop", 0)
	b.server.SetTruncateBodies(true)
	c.server.SetTruncateBodies(true)
	must.Eq(t, http.StatusBadGateway, a.must(t, http.MethodPost, "/order/1", "order", "x").status)
	must.Eq(t, 1, len(drained(b.server))+len(drained(c.server)))
	c.server.SetTruncateBodies(false)
	for n := range 6 {
		must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", fmt.Sprint("read-", n), "").status)
	}
}

func TestRefusalByTheServerIsSaidNotToHaveRun(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	b.server.SetStatus(http.StatusServiceUnavailable)
	r := a.must(t, http.MethodPost, "/order/1", "order", "x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
}

func TestRouteTimeoutEndsARequestAndItsWork(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 5*time.Second)
	began := time.Now()
	must.Eq(t, http.StatusGatewayTimeout, a.must(t, http.MethodPost, "/order/1", "order", "x").status)
	must.Between(t, 950*time.Millisecond, time.Since(began), 1400*time.Millisecond)
	eventually(t, 500*time.Millisecond, func() bool { return b.server.InFlight() == 0 })
}

func TestCallerThatLeavesEndsTheWorkAtTheServer(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 5*time.Second)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := a.send(ctx, http.MethodGet, "/read/1", "id-1", "")
		done <- err
	}()
	eventually(t, 2*time.Second, func() bool { return b.server.InFlight() == 1 })
	leave()
	must.Error(t, <-done)
	eventually(t, 500*time.Millisecond, func() bool { return b.server.InFlight() == 0 })
}

func TestReadGoesToASecondServerWhenTheFirstTurnsSlow(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 30*time.Millisecond)
	s.add(t, "shop", 30*time.Millisecond)
	for n := range 20 {
		a.must(t, http.MethodGet, "/read/1", fmt.Sprint("usual-", n), "")
	}
	b.server.SetServiceTime(700 * time.Millisecond)
	for n := range 8 {
		began := time.Now()
		must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", fmt.Sprint("late-", n), "").status)
		must.Less(t, 500*time.Millisecond, time.Since(began))
	}
}

func TestNodesServeOnWhileTheStoreIsDownAndComeBackSoon(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	s.store.SetUnavailable(true)
	s.store.RemovePrefix("savorygap/member/")
	must.Eq(t, 0, len(s.store.Keys("savorygap/member/")))
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
	b.announce(t, "ready")
	time.Sleep(2500 * time.Millisecond)
	s.store.SetUnavailable(false)
	eventually(t, 2*time.Second, func() bool { return len(s.store.Keys("savorygap/member/")) == 2 })
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-2", "").status)
}

// TestServerGetsNoMoreConnectionsThanItAccepts sends more requests at once than a
// server with many slots accepts connections, reads and orders by turns.
func TestServerGetsNoMoreConnectionsThanItAccepts(t *testing.T) {
	const accepted = 4
	s := newSite(t)
	s.store.Put("op/config", bytes.ReplaceAll(configuration(2, ""), []byte(`"MaxConnections":50`), fmt.Appendf(nil, `"MaxConnections":%d`, accepted)))
	a, b := s.add(t, "till", 0), s.add(t, "shop", 30*time.Millisecond)
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
	must.LessEq(t, accepted, b.server.PeakConnections())
}

// TestDepartureLastsThoughAnswersOfTheStoreAreLost restarts a node whose server
// said that it leaves while the store lost the answers to all writes.
func TestDepartureLastsThoughAnswersOfTheStoreAreLost(t *testing.T) {
	s := newSite(t)
	a, b := s.add(t, "till", 0), s.add(t, "shop", 0)
	s.store.SetDropReplies(true)
	b.announce(t, "draining")
	s.awaitOpen(t, a, "shop", false)
	must.Eq(t, 1, len(s.store.Keys("savorygap/departure/")))
	b.kill()
	s.store.SetDropReplies(false)
	b.start(t)
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 0, len(drained(b.server)))
	eventually(t, 2*time.Second, func() bool { return len(s.store.Keys("savorygap/member/")) == 2 })
}

func TestStoppingNodeFinishesWhatItTookAndSaysItIsNotReady(t *testing.T) {
	s := newSite(t)
	a := s.add(t, "till", 0)
	s.add(t, "shop", 600*time.Millisecond)
	done := make(chan result, 1)
	a.signals <- syscall.SIGTERM
	go func() { r, _ := a.send(context.Background(), http.MethodGet, "/read/1", "id-1", ""); done <- r }()
	eventually(t, time.Second, func() bool { ready, _ := a.process.Ready(); return !ready })
	must.Eq(t, http.StatusOK, (<-done).status)
	<-a.ended
}

func TestUnreadableAnnouncementNamesNoServer(t *testing.T) {
	s := newSite(t)
	a := s.add(t, "shop", 0)
	for _, text := range []string{"", "{", `{"Address":7}`, `{"Address":"127.0.0.1:1","Info":{"Service":"shop","Slots":4},"Status":{"State":"dancing","Sequence":1}}`} {
		request, err := http.NewRequest(http.MethodPut, "http://"+a.ports["announcements"]+"/v1/instances/i-x", strings.NewReader(text))
		must.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusBadRequest, response.StatusCode)
	}
	must.Eq(t, http.StatusOK, a.must(t, http.MethodGet, "/read/1", "id-1", "").status)
}

func TestMetricsAndStateAreServed(t *testing.T) {
	s := newSite(t)
	a := s.add(t, "shop", 0)
	a.must(t, http.MethodGet, "/read/1", "id-1", "")
	for path, want := range map[string]string{"/metrics": `savorygap_requests_total{outcome="answered"} 1`, "/state": `"instance":"i-host-1"`} {
		response, err := http.Get("http://" + a.ports["metrics"] + path)
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.StrContains(t, string(text), want)
	}
}
