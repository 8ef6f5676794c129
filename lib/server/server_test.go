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

type host struct {
	registry *server.Registry
	ledger   *idempotency.Tracker
	runner   *server.Runner
	ctx      context.Context
	clock    *clockwork.FakeClock
	changes  chan []server.Local
	asked    atomic.Int32
	ask      func(attempt.Call) (*attempt.Response, error)
}

func start(t *testing.T) *host {
	t.Helper()
	set, err := chart.Embedded()
	must.NoError(t, err)
	serverChart, err := set.Chart("server")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &host{ctx: ctx, clock: clockwork.NewFakeClockAt(time.Now()), changes: make(chan []server.Local, 64)}
	h.registry = server.NewRegistry(h.clock, serverChart, func(l []server.Local) { h.changes <- l })
	h.ledger = idempotency.NewTracker(h.clock, idempotency.DefaultLimits())
	ask := func(_ context.Context, _, _ string, c attempt.Call) (*attempt.Response, error) {
		h.asked.Add(1)
		return h.ask(c)
	}
	h.runner = server.NewRunner(h.registry, h.ledger, "host-a", h.clock.Now, ask)
	go h.registry.Run(ctx)
	go h.ledger.Run(ctx)
	return h
}

func (h *host) announce(t *testing.T, address, instance string, draining bool) {
	t.Helper()
	a, err := server.NewAnnouncement(service, address, 12, 200, instance)
	must.NoError(t, err)
	must.NoError(t, h.registry.Announce(h.ctx, a.Draining(draining)))
}

func (h *host) state(t *testing.T, address string) chart.State {
	t.Helper()
	k, ok := h.registry.Lookup(h.ctx, service, address)
	must.True(t, ok)
	d, ok := k.Dump(h.ctx)
	must.True(t, ok)
	return d.State()
}

func call(address, method string, length int64) attempt.Call {
	return attempt.NewCall("id", service, address, time.Minute).
		WithRequest(method, "/kassa/order", "shop.example", http.Header{}, length).
		WithPriority(document.ClassInteractive, 1, false, false)
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func finish(t *testing.T, a *attempt.Response) string {
	t.Helper()
	text, err := io.ReadAll(a.Body())
	a.Finish(err)
	must.NoError(t, err)
	return string(text)
}

func TestRequestReachesTheServerOnceWithItsHeaders(t *testing.T) {
	h := start(t)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Header.Get(server.HeaderRequestID)+" "+r.Header.Get(server.HeaderDepth)+" "+string(body))
	})
	h.announce(t, address, "i", false)
	for range 50 {
		a, err := h.runner.Run(h.ctx, call(address, "POST", 5), strings.NewReader("order"))
		must.NoError(t, err)
		must.Eq(t, "id 1 order", finish(t, a))
	}
}

func TestTrailersOfARequestReachTheServer(t *testing.T) {
	h := start(t)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.Trailer.Get("X-Sum"))
	})
	h.announce(t, address, "i", false)
	c := call(address, "POST", -1).WithTrailers([]string{"X-Sum"}, func() http.Header { return http.Header{"X-Sum": {"42"}} })
	a, err := h.runner.Run(h.ctx, c, strings.NewReader("body"))
	must.NoError(t, err)
	must.Eq(t, "42", finish(t, a))
}

// A server that takes a request and closes the connection without an answer may
// have run it: the outcome is unknown and the request is not written again,
// also on a connection that had been idle.
func TestConnectionThatDiesUnderARequestMeansUnknownAndOneWrite(t *testing.T) {
	h := start(t)
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
	c := call(listener.Addr().String(), "POST", 0)
	c.Header().Set("Idempotency-Key", "net/http would send this twice")
	_, err = h.runner.Run(h.ctx, c, nil)
	var unknown *outcome.UnknownError
	must.True(t, errors.As(err, &unknown))
	must.Eq(t, 1, requests.Load())
}

// A caller that leaves frees the slot only when the server has let go of the
// request, so that the server never holds more than its slots.
func TestSlotOfACancelledRequestIsHeldUntilTheServerLetsGo(t *testing.T) {
	h := start(t)
	begun, leave := make(chan struct{}), make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-leave
	})
	h.announce(t, address, "i", false)
	k, _ := h.registry.Lookup(h.ctx, service, address)
	ctx, cancel := context.WithCancel(h.ctx)
	go func() { <-begun; cancel() }()
	_, err := h.runner.Run(ctx, call(address, "GET", 0), nil)
	must.Error(t, err)
	inFlight := func() int {
		d, _ := k.Dump(h.ctx)
		return d.InFlight()
	}
	must.Eq(t, 1, inFlight())
	close(leave)
	for until := time.Now().Add(10 * time.Second); inFlight() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(until))
	}
}

func TestServerThatCannotBeReachedMeansNotRun(t *testing.T) {
	h := start(t)
	h.announce(t, "127.0.0.1:1", "i", false)
	_, err := h.runner.Run(h.ctx, call("127.0.0.1:1", "POST", 0), nil)
	notRun, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	must.Eq(t, "connect", notRun.Reason())
	_, err = h.runner.Run(h.ctx, call("127.0.0.1:2", "POST", 0), nil)
	_, ok = outcome.AsNotRun(err)
	must.True(t, ok)
}

func TestCutAnswerIsNotACleanEnd(t *testing.T) {
	h := start(t)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(make([]byte, 50))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	h.announce(t, address, "i", false)
	a, err := h.runner.Run(h.ctx, call(address, "GET", 0), nil)
	must.NoError(t, err)
	_, err = io.ReadAll(a.Body())
	must.Error(t, err)
	a.Finish(err)
}

func TestServerLifeFollowsItsAnnouncements(t *testing.T) {
	h := start(t)
	address := serve(t, func(http.ResponseWriter, *http.Request) {})
	h.announce(t, address, "first", false)
	must.Eq(t, chart.State("cold"), h.state(t, address))
	h.announce(t, address, "first", true)
	must.Eq(t, chart.State("draining"), h.state(t, address))
	_, err := h.runner.Run(h.ctx, call(address, "GET", 0), nil)
	notRun, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	must.Eq(t, "closed", notRun.Reason())
	h.announce(t, address, "second", false)
	must.Eq(t, chart.State("cold"), h.state(t, address))
	must.NoError(t, h.registry.Leave(h.ctx, service, address))
	must.Eq(t, chart.State("gone"), h.state(t, address))
	h.announce(t, address, "third", false)
	h.registry.Suspend(true)
	must.Eq(t, chart.State("suspended"), h.state(t, address))
	h.announce(t, address, "fourth", false)
	must.Eq(t, chart.State("suspended"), h.state(t, address), must.Sprint("a restart does not open a data centre that is out"))
	h.registry.Suspend(false)
	must.Eq(t, chart.State("cold"), h.state(t, address))
}

func TestServerThatStopsRenewingFallsSilent(t *testing.T) {
	h := start(t)
	address := serve(t, func(http.ResponseWriter, *http.Request) {})
	h.announce(t, address, "i", false)
	must.True(t, (<-h.changes)[0].Open())
	must.NoError(t, h.clock.BlockUntilContext(h.ctx, 2))
	h.clock.Advance(4 * time.Second)
	must.False(t, (<-h.changes)[0].Open())
	must.Eq(t, chart.State("silent"), h.state(t, address))
	h.announce(t, address, "i", false)
	must.Eq(t, chart.State("cold"), h.state(t, address))
}

func (h *host) keyed(address string) attempt.Call {
	return call(address, "POST", 0).WithKey("key-1", h.clock.Now())
}

func (h *host) homes(nodes ...string) {
	var list []balance.Target
	for _, n := range nodes {
		node, address, _ := strings.Cut(n, "=")
		list = append(list, balance.NewTarget(balance.NewTargetID(node, address), service, "peer", balance.NewLocality(node, "dc", "r"), 12, h.clock.Now().Add(-time.Hour)))
	}
	h.ledger.SetTargets(map[string][]balance.Target{service: list})
}

func TestRepeatOfAKeyGetsTheRecordedAnswer(t *testing.T) {
	h := start(t)
	var runs atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "order 7")
	})
	h.homes("host-a=" + address)
	h.clock.Advance(time.Minute)
	h.announce(t, address, "i", false)
	c := h.keyed(address)
	for i := range 5 {
		a, err := h.runner.Run(h.ctx, c, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusCreated, a.Status())
		must.Eq(t, i > 0, a.Header().Get("Savorygap-Replayed") == "true")
		must.Eq(t, "order 7", finish(t, a))
	}
	must.Eq(t, 1, runs.Load())
}

// A home that took over runs a key only when the earlier home promised never to
// run it.
func TestNewHomeAsksTheEarlierOne(t *testing.T) {
	cases := map[string]struct {
		answer  error
		runs    int32
		unknown bool
	}{
		"promised":    {outcome.NewNotRun("key promised").Permanent(), 1, false},
		"unreachable": {outcome.NewNotRun("connect to node host-b"), 0, true},
		"uncertain":   {outcome.NewUnknown("running", nil), 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			var runs atomic.Int32
			address := serve(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			h.homes("host-b=elsewhere")
			h.clock.Advance(time.Minute)
			h.announce(t, address, "i", false)
			request := h.keyed(address)
			h.homes("host-a=" + address)
			h.ask = func(q attempt.Call) (*attempt.Response, error) {
				must.True(t, q.Fence())
				return nil, c.answer
			}
			a, err := h.runner.Run(h.ctx, request, nil)
			if err == nil {
				finish(t, a)
			}
			var unknown *outcome.UnknownError
			must.Eq(t, c.unknown, errors.As(err, &unknown))
			_, notRun := outcome.AsNotRun(err)
			must.False(t, notRun)
			must.Eq(t, c.runs, runs.Load())
			must.Eq(t, 1, h.asked.Load())
		})
	}
}
