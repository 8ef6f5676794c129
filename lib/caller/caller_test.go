package caller_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/caller"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
	"savorygap.example/lib/route"
	"savorygap.example/lib/server"
	"savorygap.example/lib/wire"
)

const configuration = `
{kind: branch, name: shop, hosts: [], rules: [{name: small, path: /kassa/small, maxBody: 10}, {name: keyed, path: /kassa/keyed, keyRequired: true}, {name: quick, path: /kassa/quick, timeout: 20ms}, {name: reads, priority: -1, methods: GET, hedge: true}]}
---
{kind: service, name: kassa, branch: shop, prefix: /kassa/}
`

// testFrontend is an HTTP server with a Handler whose attempts are simulated by
// the function runAttempt, after beforeAttempt.
type testFrontend struct {
	*httptest.Server
	attempts      atomic.Int32
	summaries     chan caller.RequestSummary
	runAttempt    func(n int32, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error)
	beforeAttempt func(ctx context.Context) error
}

func newFrontend(t *testing.T, targets int) *testFrontend {
	t.Helper()
	f := &testFrontend{summaries: make(chan caller.RequestSummary, 4096), beforeAttempt: func(context.Context) error { return nil }}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	router := route.New(clock, balance.Random, rand.New(rand.NewPCG(1, 1)), balance.NewLocality("here", "dc", "r"), func(map[string][]balance.Target) {})
	go router.Run(ctx)
	resources, err := wire.DecodeYAML([]byte(configuration))
	must.NoError(t, err)
	doc, err := document.Empty().Apply(document.NewChange("op", "a", time.Now(), resources, nil))
	must.NoError(t, err)
	router.SetRoutes(document.Compile(doc))
	var targetList []balance.Target
	for i := range targets {
		id := balance.NewTargetID(string(rune('a'+i)), "s")
		targetList = append(targetList, balance.NewTarget(id, "kassa", "peer", balance.NewLocality(id.Node(), "dc", "r"), 12, time.Now().Add(-time.Hour)))
	}
	router.SetTargets(targetList)
	charts, err := chart.Embedded()
	must.NoError(t, err)
	requestChart, err := charts.Chart("request")
	must.NoError(t, err)
	runAttempt := func(ctx context.Context, target balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		n := f.attempts.Add(1)
		if err := f.beforeAttempt(ctx); err != nil {
			return nil, outcome.NewUnknown("waited", err)
		}
		return f.runAttempt(n, target, c, body)
	}
	f.Server = httptest.NewServer(caller.NewHandler(clock, requestChart, router, runAttempt, func(s caller.RequestSummary) { f.summaries <- s }))
	t.Cleanup(f.Close)
	return f
}

func (f *testFrontend) send(t *testing.T, method, path, body string, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := f.Client().Do(request)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func newResponse(body io.Reader, length int64) *attempt.Response {
	none := func() load.Report { return load.Report{} }
	return attempt.NewResponse(200, http.Header{}, length, body, func() http.Header { return nil }, none, func(error) load.Report { return load.Report{} })
}

func respondOK(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) {
	return newResponse(strings.NewReader("fine"), 4), nil
}

func TestHandler_ReportsOutcomeToCaller(t *testing.T) {
	cases := map[string]struct {
		err          error
		method       string
		wantStatus   int
		wantOutcome  string
		wantAttempts int32
	}{
		"not run everywhere":      {outcome.NewNotRun("busy"), "POST", 503, "not-run", 3},
		"not run, permanent":      {outcome.NewNotRun("x").Permanent(), "POST", 503, "not-run", 1},
		"unknown, not idempotent": {outcome.NewUnknown("reset", nil), "POST", 502, "unknown", 1},
		"unknown, idempotent":     {outcome.NewUnknown("reset", nil), "GET", 502, "unknown", 3},
		"unknown, deadline":       {outcome.NewUnknown("late", context.DeadlineExceeded), "POST", 504, "unknown", 1},
		"unknown, from not run":   {outcome.NewUnknown("home", outcome.NewNotRun("x")), "POST", 502, "unknown", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFrontend(t, 4)
			f.runAttempt = func(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) { return nil, c.err }
			r := f.send(t, c.method, "/kassa/x", "")
			must.Eq(t, c.wantStatus, r.StatusCode)
			must.Eq(t, c.wantOutcome, r.Header.Get(caller.HeaderOutcome))
			must.Eq(t, c.wantAttempts, f.attempts.Load())
			must.Eq(t, c.wantStatus == 503, r.Header.Get("Retry-After") != "")
		})
	}
}

func TestRetry_SendsWholeBodyToAnotherTarget(t *testing.T) {
	f := newFrontend(t, 3)
	var first balance.Target
	f.runAttempt = func(n int32, target balance.Target, _ attempt.Call, body io.Reader) (*attempt.Response, error) {
		data, err := io.ReadAll(body)
		must.NoError(t, err)
		must.Eq(t, "an order", string(data))
		if n == 1 {
			first = target
			return nil, outcome.NewNotRun("busy")
		}
		must.NotEq(t, first.ID().Node(), target.ID().Node())
		return respondOK(n, target, attempt.Call{}, nil)
	}
	r := f.send(t, "POST", "/kassa/x", "an order")
	must.Eq(t, 200, r.StatusCode)
	must.Eq(t, "answered", r.Header.Get(caller.HeaderOutcome))
}

func TestLargeBody_IsNotResentAfterFirstRead(t *testing.T) {
	f := newFrontend(t, 3)
	f.runAttempt = func(_ int32, _ balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		must.True(t, c.ExpectContinue())
		_, _ = body.Read(make([]byte, 1))
		return nil, outcome.NewNotRun("busy")
	}
	r := f.send(t, "POST", "/kassa/x", strings.Repeat("x", 100_000))
	must.Eq(t, 503, r.StatusCode)
	must.Eq(t, 1, f.attempts.Load())
}

type truncatedBody struct{ sent bool }

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, outcome.NewTruncated(4, io.ErrUnexpectedEOF)
	}
	b.sent = true
	return copy(p, "half"), nil
}

func TestTruncatedResponse_IsAnErrorForTheCaller(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		f := newFrontend(t, 1)
		f.runAttempt = func(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) {
			return newResponse(&truncatedBody{}, length), nil
		}
		request, err := http.NewRequest("GET", f.URL+"/kassa/x", nil)
		must.NoError(t, err)
		response, err := f.Client().Do(request)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		must.Error(t, err)
		must.Eq(t, chart.State("truncated"), (<-f.summaries).State())
	}
}

func TestInvalidRequest_IsRejectedBeforeAnyAttempt(t *testing.T) {
	cases := map[string]struct {
		path, body string
		header     []string
		wantStatus int
	}{
		"no service":     {"/none", "", nil, 404},
		"timeout":        {"/kassa/x", "", []string{server.HeaderTimeout, "soon"}, 400},
		"depth":          {"/kassa/x", "", []string{server.HeaderDepth, "13"}, 400},
		"invalid key":    {"/kassa/x", "", []string{server.HeaderIdempotencyKey, "order-7"}, 400},
		"missing key":    {"/kassa/keyed", "", nil, 400},
		"body too large": {"/kassa/small", "more than ten bytes", nil, 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFrontend(t, 1)
			f.runAttempt = respondOK
			r := f.send(t, "POST", c.path, c.body, c.header...)
			must.Eq(t, c.wantStatus, r.StatusCode)
			must.Eq(t, "not-run", r.Header.Get(caller.HeaderOutcome))
			must.Eq(t, 0, f.attempts.Load())
		})
	}
}

func TestCall_CarriesDeadlineAndDepth(t *testing.T) {
	f := newFrontend(t, 1)
	f.runAttempt = func(_ int32, _ balance.Target, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		must.Between(t, time.Millisecond, c.Timeout(), 700*time.Millisecond)
		must.Eq(t, 5, c.Depth())
		must.Eq(t, "", c.Header().Get("Connection"))
		must.Eq(t, "id-7", c.RequestID())
		return respondOK(1, balance.Target{}, c, nil)
	}
	r := f.send(t, "POST", "/kassa/x", "", server.HeaderTimeout, "700", server.HeaderDepth, "4", server.HeaderRequestID, "id-7")
	must.Eq(t, 200, r.StatusCode)
	must.Eq(t, "id-7", r.Header.Get(server.HeaderRequestID))
}

func TestDeadline_EndsAttempt(t *testing.T) {
	f := newFrontend(t, 1)
	f.beforeAttempt = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	r := f.send(t, "POST", "/kassa/quick", "")
	must.Eq(t, 504, r.StatusCode)
}

func TestKeyedRequest_AlwaysGoesToItsHome(t *testing.T) {
	f := newFrontend(t, 4)
	homes := map[string]bool{}
	f.runAttempt = func(n int32, target balance.Target, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		homes[target.ID().Node()] = true
		must.NotEq(t, "", c.Key())
		return respondOK(n, target, c, nil)
	}
	key := uuid.Must(uuid.NewV7()).String()
	for range 10 {
		must.Eq(t, 200, f.send(t, "POST", "/kassa/keyed", "", server.HeaderIdempotencyKey, key).StatusCode)
	}
	must.MapLen(t, 1, homes)
}

// An attempt that is not cancelled after the other one responded would keep a
// slot of a server, and its late response could reach the caller.
func TestHedge_ReturnsFirstResponseAndCancelsOther(t *testing.T) {
	f := newFrontend(t, 3)
	f.runAttempt = respondOK
	for range 60 {
		must.Eq(t, 200, f.send(t, "GET", "/kassa/x", "").StatusCode)
	}
	f.attempts.Store(0)
	cancelled := make(chan struct{}, 1)
	f.beforeAttempt = func(ctx context.Context) error {
		if f.attempts.Load() > 1 {
			return nil
		}
		<-ctx.Done()
		cancelled <- struct{}{}
		return ctx.Err()
	}
	r := f.send(t, "GET", "/kassa/x", "")
	must.Eq(t, 200, r.StatusCode)
	<-cancelled
	must.Eq(t, 2, f.attempts.Load())
}

func TestLimitListener_ClosesExcessConnections(t *testing.T) {
	httpServer := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	httpServer.Listener = caller.LimitListener(httpServer.Listener, 2)
	httpServer.Start()
	defer httpServer.Close()
	newClient := func() *http.Client { return &http.Client{Transport: &http.Transport{}} }
	clients := []*http.Client{newClient(), newClient(), newClient()}
	var errs error
	for _, c := range clients {
		r, err := c.Get(httpServer.URL)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		_ = r.Body.Close()
	}
	must.Error(t, errs)
	clients[0].CloseIdleConnections()
}
