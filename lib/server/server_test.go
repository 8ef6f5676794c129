package server_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/outcome"
	"savorygap.example/lib/server"
)

const service = "kassa"

// harness runs the registry, tracker and runner of the node host-a with a manual
// clock.
type harness struct {
	registry   *server.Registry
	tracker    *idempotency.Tracker
	runner     *server.Runner
	ctx        context.Context
	clock      *clockwork.FakeClock
	statuses   chan []server.Status
	queries    atomic.Int32
	queryFence func(attempt.Call) (*attempt.Response, error)
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	serverChart, err := charts.Chart("server")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &harness{ctx: ctx, clock: clockwork.NewFakeClockAt(time.Now()), statuses: make(chan []server.Status, 64)}
	h.registry = server.NewRegistry(h.clock, serverChart, func(l []server.Status) { h.statuses <- l })
	h.tracker = idempotency.NewTracker(h.clock, idempotency.DefaultLimits())
	queryFence := func(_ context.Context, _, _ string, c attempt.Call) (*attempt.Response, error) {
		h.queries.Add(1)
		return h.queryFence(c)
	}
	h.runner = server.NewRunner(h.registry, h.tracker, "host-a", h.clock.Now, queryFence)
	go h.registry.Run(ctx)
	go h.tracker.Run(ctx)
	return h
}

func (h *harness) announce(t *testing.T, address, instance string, draining bool) {
	t.Helper()
	announcement, err := server.NewAnnouncement(service, address, 12, 200, instance)
	must.NoError(t, err)
	must.NoError(t, h.registry.Announce(h.ctx, announcement.WithDraining(draining)))
}

func (h *harness) serverState(t *testing.T, address string) chart.State {
	t.Helper()
	proxy, ok := h.registry.Lookup(h.ctx, service, address)
	must.True(t, ok)
	d, ok := proxy.Dump(h.ctx)
	must.True(t, ok)
	return d.State()
}

func newCall(address, method string, length int64) attempt.Call {
	return attempt.NewCall("id", service, address, time.Minute).
		WithRequest(method, "/kassa/order", "shop.example", http.Header{}, length).
		WithPriority(document.ClassInteractive, 1, false, false)
}

func startServer(t *testing.T, handler http.HandlerFunc) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func readBody(t *testing.T, response *attempt.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body())
	response.Finish(err)
	must.NoError(t, err)
	return string(body)
}

func TestAttempt_SendsRequestOnceWithHeaders(t *testing.T) {
	h := newHarness(t)
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Header.Get(server.HeaderRequestID)+" "+r.Header.Get(server.HeaderDepth)+" "+string(body))
	})
	h.announce(t, address, "i", false)
	for range 50 {
		response, err := h.runner.Attempt(h.ctx, newCall(address, "POST", 5), strings.NewReader("order"))
		must.NoError(t, err)
		must.Eq(t, "id 1 order", readBody(t, response))
	}
}

func TestAttempt_ForwardsRequestTrailers(t *testing.T) {
	h := newHarness(t)
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.Trailer.Get("X-Sum"))
	})
	h.announce(t, address, "i", false)
	c := newCall(address, "POST", -1).WithTrailers([]string{"X-Sum"}, func() http.Header { return http.Header{"X-Sum": {"42"}} })
	response, err := h.runner.Attempt(h.ctx, c, strings.NewReader("body"))
	must.NoError(t, err)
	must.Eq(t, "42", readBody(t, response))
}

// A server that reads a request and closes the connection without a response
// may have run it, so the outcome is unknown and the request must not be sent
// again, even if the connection was idle before. http.Transport would resend a
// request with an Idempotency-Key.
func TestAttempt_ConnectionClosedWithoutResponseIsUnknownAndNotResent(t *testing.T) {
	h := newHarness(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					requests.Add(1)
				}
				_ = conn.Close()
			}()
		}
	}()
	h.announce(t, listener.Addr().String(), "i", false)
	c := newCall(listener.Addr().String(), "POST", 0)
	c.Header().Set("Idempotency-Key", "http.Transport would resend this request")
	_, err = h.runner.Attempt(h.ctx, c, nil)
	var unknown *outcome.UnknownError
	must.True(t, errors.As(err, &unknown))
	must.Eq(t, 1, requests.Load())
}

// If the slot were released when the caller disconnects, the server could hold
// more requests than it has slots.
func TestCancelledRequest_HoldsSlotUntilServerEnds(t *testing.T) {
	h := newHarness(t)
	started, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	h.announce(t, address, "i", false)
	proxy, _ := h.registry.Lookup(h.ctx, service, address)
	ctx, cancel := context.WithCancel(h.ctx)
	go func() { <-started; cancel() }()
	_, err := h.runner.Attempt(ctx, newCall(address, "GET", 0), nil)
	must.Error(t, err)
	inFlight := func() int {
		d, _ := proxy.Dump(h.ctx)
		return d.InFlight()
	}
	must.Eq(t, 1, inFlight())
	close(release)
	for deadline := time.Now().Add(10 * time.Second); inFlight() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
}

func TestAttempt_UnreachableServerIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.announce(t, "127.0.0.1:1", "i", false)
	_, err := h.runner.Attempt(h.ctx, newCall("127.0.0.1:1", "POST", 0), nil)
	notRun, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	must.Eq(t, "connect", notRun.Reason())
	_, err = h.runner.Attempt(h.ctx, newCall("127.0.0.1:2", "POST", 0), nil)
	_, ok = outcome.AsNotRun(err)
	must.True(t, ok)
}

func TestAttempt_TruncatedResponseIsAnError(t *testing.T) {
	h := newHarness(t)
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(make([]byte, 50))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	h.announce(t, address, "i", false)
	response, err := h.runner.Attempt(h.ctx, newCall(address, "GET", 0), nil)
	must.NoError(t, err)
	_, err = io.ReadAll(response.Body())
	must.Error(t, err)
	response.Finish(err)
}

func TestServerState_FollowsAnnouncements(t *testing.T) {
	h := newHarness(t)
	address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	h.announce(t, address, "first", false)
	must.Eq(t, chart.State("cold"), h.serverState(t, address))
	h.announce(t, address, "first", true)
	must.Eq(t, chart.State("draining"), h.serverState(t, address))
	_, err := h.runner.Attempt(h.ctx, newCall(address, "GET", 0), nil)
	notRun, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	must.Eq(t, "closed", notRun.Reason())
	h.announce(t, address, "second", false)
	must.Eq(t, chart.State("cold"), h.serverState(t, address))
	must.NoError(t, h.registry.Leave(h.ctx, service, address))
	must.Eq(t, chart.State("gone"), h.serverState(t, address))
	h.announce(t, address, "third", false)
	h.registry.SetSuspended(true)
	must.Eq(t, chart.State("suspended"), h.serverState(t, address))
	h.announce(t, address, "fourth", false)
	must.Eq(t, chart.State("suspended"), h.serverState(t, address), must.Sprint("a restart must not resume a suspended data centre"))
	h.registry.SetSuspended(false)
	must.Eq(t, chart.State("cold"), h.serverState(t, address))
}

func TestServerState_SilentWithoutRenewal(t *testing.T) {
	h := newHarness(t)
	address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	h.announce(t, address, "i", false)
	must.True(t, (<-h.statuses)[0].Accepting())
	must.NoError(t, h.clock.BlockUntilContext(h.ctx, 2))
	h.clock.Advance(4 * time.Second)
	must.False(t, (<-h.statuses)[0].Accepting())
	must.Eq(t, chart.State("silent"), h.serverState(t, address))
	h.announce(t, address, "i", false)
	must.Eq(t, chart.State("cold"), h.serverState(t, address))
}

func (h *harness) newKeyedCall(address string) attempt.Call {
	return newCall(address, "POST", 0).WithKey("key-1", h.clock.Now())
}

// setHomes sets the targets of the service, each given as node=address.
func (h *harness) setHomes(targets ...string) {
	var list []balance.Target
	for _, target := range targets {
		node, address, _ := strings.Cut(target, "=")
		list = append(list, balance.NewTarget(balance.NewTargetID(node, address), service, "peer", balance.NewLocality(node, "dc", "r"), 12, h.clock.Now().Add(-time.Hour)))
	}
	h.tracker.SetTargets(map[string][]balance.Target{service: list})
}

func TestRepeatedKey_GetsRecordedResponse(t *testing.T) {
	h := newHarness(t)
	var runs atomic.Int32
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "order 7")
	})
	h.setHomes("host-a=" + address)
	h.clock.Advance(time.Minute)
	h.announce(t, address, "i", false)
	c := h.newKeyedCall(address)
	for i := range 5 {
		response, err := h.runner.Attempt(h.ctx, c, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusCreated, response.Status())
		must.Eq(t, i > 0, response.Header().Get("Savorygap-Replayed") == "true")
		must.Eq(t, "order 7", readBody(t, response))
	}
	must.Eq(t, 1, runs.Load())
}

// If the new home of a key ran it before the previous home had fenced it, the key
// could run twice.
func TestNewHome_RunsKeyOnlyIfPreviousHomeFencedIt(t *testing.T) {
	cases := map[string]struct {
		queryErr    error
		wantRuns    int32
		wantUnknown bool
	}{
		"fenced":      {outcome.NewNotRun("key promised").Permanent(), 1, false},
		"unreachable": {outcome.NewNotRun("connect to node host-b"), 0, true},
		"unknown":     {outcome.NewUnknown("running", nil), 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var runs atomic.Int32
			address := startServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			h.setHomes("host-b=elsewhere")
			h.clock.Advance(time.Minute)
			h.announce(t, address, "i", false)
			request := h.newKeyedCall(address)
			h.setHomes("host-a=" + address)
			h.queryFence = func(q attempt.Call) (*attempt.Response, error) {
				must.True(t, q.Fence())
				return nil, c.queryErr
			}
			response, err := h.runner.Attempt(h.ctx, request, nil)
			if err == nil {
				readBody(t, response)
			}
			var unknown *outcome.UnknownError
			must.Eq(t, c.wantUnknown, errors.As(err, &unknown))
			_, notRun := outcome.AsNotRun(err)
			must.False(t, notRun)
			must.Eq(t, c.wantRuns, runs.Load())
			must.Eq(t, 1, h.queries.Load())
		})
	}
}
