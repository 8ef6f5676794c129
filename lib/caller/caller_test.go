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

// front is a caller's side whose attempts are made by a function.
type front struct {
	*httptest.Server
	attempts atomic.Int32
	ended    chan caller.Ended
	run      func(n int32, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error)
	wait     func(ctx context.Context) error
}

func start(t *testing.T, targets int) *front {
	t.Helper()
	f := &front{ended: make(chan caller.Ended, 4096), wait: func(context.Context) error { return nil }}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	router := route.New(clock, balance.Random, rand.New(rand.NewPCG(1, 1)), balance.NewLocality("here", "dc", "r"), func(map[string][]balance.Target) {})
	go router.Run(ctx)
	resources, err := wire.DecodeYAML([]byte(configuration))
	must.NoError(t, err)
	d, err := document.Empty().Apply(document.NewChange("op", "a", time.Now(), resources, nil))
	must.NoError(t, err)
	router.SetRoutes(document.Compile(d))
	var list []balance.Target
	for i := range targets {
		id := balance.NewTargetID(string(rune('a'+i)), "s")
		list = append(list, balance.NewTarget(id, "kassa", "peer", balance.NewLocality(id.Node(), "dc", "r"), 12, time.Now().Add(-time.Hour)))
	}
	router.SetTargets(list)
	set, err := chart.Embedded()
	must.NoError(t, err)
	requestChart, err := set.Chart("request")
	must.NoError(t, err)
	run := func(ctx context.Context, target balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		n := f.attempts.Add(1)
		if err := f.wait(ctx); err != nil {
			return nil, outcome.NewUnknown("waited", err)
		}
		return f.run(n, target, c, body)
	}
	f.Server = httptest.NewServer(caller.NewHandler(clock, requestChart, router, run, func(e caller.Ended) { f.ended <- e }))
	t.Cleanup(f.Close)
	return f
}

func (f *front) send(t *testing.T, method, path, body string, header ...string) *http.Response {
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

func answer(body io.Reader, length int64) *attempt.Response {
	none := func() load.Report { return load.Report{} }
	return attempt.NewResponse(200, http.Header{}, length, body, func() http.Header { return nil }, none, func(error) load.Report { return load.Report{} })
}

func ok(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) {
	return answer(strings.NewReader("fine"), 4), nil
}

func TestOutcomesReachTheCallerDistinctly(t *testing.T) {
	cases := map[string]struct {
		err      error
		method   string
		status   int
		outcome  string
		attempts int32
	}{
		"not run everywhere":      {outcome.NewNotRun("busy"), "POST", 503, "not-run", 3},
		"not run, permanent":      {outcome.NewNotRun("x").Permanent(), "POST", 503, "not-run", 1},
		"unknown, not idempotent": {outcome.NewUnknown("reset", nil), "POST", 502, "unknown", 1},
		"unknown, idempotent":     {outcome.NewUnknown("reset", nil), "GET", 502, "unknown", 3},
		"unknown for time":        {outcome.NewUnknown("late", context.DeadlineExceeded), "POST", 504, "unknown", 1},
		"unknown over not run":    {outcome.NewUnknown("home", outcome.NewNotRun("x")), "POST", 502, "unknown", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t, 4)
			f.run = func(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) { return nil, c.err }
			r := f.send(t, c.method, "/kassa/x", "")
			must.Eq(t, c.status, r.StatusCode)
			must.Eq(t, c.outcome, r.Header.Get(caller.HeaderOutcome))
			must.Eq(t, c.attempts, f.attempts.Load())
			must.Eq(t, c.status == 503, r.Header.Get("Retry-After") != "")
		})
	}
}

func TestRetryGoesToAnotherTargetWithTheWholeBody(t *testing.T) {
	f := start(t, 3)
	var first balance.Target
	f.run = func(n int32, target balance.Target, _ attempt.Call, body io.Reader) (*attempt.Response, error) {
		text, err := io.ReadAll(body)
		must.NoError(t, err)
		must.Eq(t, "an order", string(text))
		if n == 1 {
			first = target
			return nil, outcome.NewNotRun("busy")
		}
		must.NotEq(t, first.ID().Node(), target.ID().Node())
		return ok(n, target, attempt.Call{}, nil)
	}
	r := f.send(t, "POST", "/kassa/x", "an order")
	must.Eq(t, 200, r.StatusCode)
	must.Eq(t, "answered", r.Header.Get(caller.HeaderOutcome))
}

func TestLargeBodyThatWasBegunIsNotSentAgain(t *testing.T) {
	f := start(t, 3)
	f.run = func(_ int32, _ balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		must.True(t, c.ExpectContinue())
		_, _ = body.Read(make([]byte, 1))
		return nil, outcome.NewNotRun("busy")
	}
	r := f.send(t, "POST", "/kassa/x", strings.Repeat("x", 100_000))
	must.Eq(t, 503, r.StatusCode)
	must.Eq(t, 1, f.attempts.Load())
}

type brokenBody struct{ sent bool }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, outcome.NewTruncated(4, io.ErrUnexpectedEOF)
	}
	b.sent = true
	return copy(p, "half"), nil
}

func TestCutAnswerIsAnErrorToTheCaller(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		f := start(t, 1)
		f.run = func(int32, balance.Target, attempt.Call, io.Reader) (*attempt.Response, error) {
			return answer(&brokenBody{}, length), nil
		}
		request, err := http.NewRequest("GET", f.URL+"/kassa/x", nil)
		must.NoError(t, err)
		response, err := f.Client().Do(request)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		must.Error(t, err)
		must.Eq(t, chart.State("truncated"), (<-f.ended).State())
	}
}

func TestUnsoundRequestsAreRefusedBeforeAnyAttempt(t *testing.T) {
	cases := map[string]struct {
		path, body string
		header     []string
		status     int
	}{
		"no service":     {"/none", "", nil, 404},
		"timeout":        {"/kassa/x", "", []string{server.HeaderTimeout, "soon"}, 400},
		"depth":          {"/kassa/x", "", []string{server.HeaderDepth, "13"}, 400},
		"key form":       {"/kassa/x", "", []string{server.HeaderKey, "order-7"}, 400},
		"key missing":    {"/kassa/keyed", "", nil, 400},
		"body too large": {"/kassa/small", "more than ten bytes", nil, 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t, 1)
			f.run = ok
			r := f.send(t, "POST", c.path, c.body, c.header...)
			must.Eq(t, c.status, r.StatusCode)
			must.Eq(t, "not-run", r.Header.Get(caller.HeaderOutcome))
			must.Eq(t, 0, f.attempts.Load())
		})
	}
}

func TestDeadlineAndDepthTravelAlong(t *testing.T) {
	f := start(t, 1)
	f.run = func(_ int32, _ balance.Target, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		must.Between(t, time.Millisecond, c.Timeout(), 700*time.Millisecond)
		must.Eq(t, 5, c.Depth())
		must.Eq(t, "", c.Header().Get("Connection"))
		must.Eq(t, "id-7", c.RequestID())
		return ok(1, balance.Target{}, c, nil)
	}
	r := f.send(t, "POST", "/kassa/x", "", server.HeaderTimeout, "700", server.HeaderDepth, "4", server.HeaderRequestID, "id-7")
	must.Eq(t, 200, r.StatusCode)
	must.Eq(t, "id-7", r.Header.Get(server.HeaderRequestID))
}

func TestDeadlineEndsTheWork(t *testing.T) {
	f := start(t, 1)
	f.wait = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	r := f.send(t, "POST", "/kassa/quick", "")
	must.Eq(t, 504, r.StatusCode)
}

func TestKeyedRequestStaysWithItsHome(t *testing.T) {
	f := start(t, 4)
	homes := map[string]bool{}
	f.run = func(n int32, target balance.Target, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		homes[target.ID().Node()] = true
		must.NotEq(t, "", c.Key())
		return ok(n, target, c, nil)
	}
	key := uuid.Must(uuid.NewV7()).String()
	for range 10 {
		must.Eq(t, 200, f.send(t, "POST", "/kassa/keyed", "", server.HeaderKey, key).StatusCode)
	}
	must.MapLen(t, 1, homes)
}

// The slower of two attempts is cancelled, and its late answer reaches nobody.
func TestHedgeTakesTheFirstAnswerAndCancelsTheOther(t *testing.T) {
	f := start(t, 3)
	f.run = ok
	for range 60 {
		must.Eq(t, 200, f.send(t, "GET", "/kassa/x", "").StatusCode)
	}
	f.attempts.Store(0)
	cancelled := make(chan struct{}, 1)
	f.wait = func(ctx context.Context) error {
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

func TestManyConnectionsAreBounded(t *testing.T) {
	inner := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	inner.Listener = caller.LimitListener(inner.Listener, 2)
	inner.Start()
	defer inner.Close()
	dial := func() *http.Client { return &http.Client{Transport: &http.Transport{}} }
	clients := []*http.Client{dial(), dial(), dial()}
	var failed error
	for _, c := range clients {
		r, err := c.Get(inner.URL)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		_ = r.Body.Close()
	}
	must.Error(t, failed)
	clients[0].CloseIdleConnections()
}
