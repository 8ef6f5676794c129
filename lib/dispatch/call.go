package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	eventMatch     chart.Event = "match"
	eventReject    chart.Event = "reject"
	eventSend      chart.Event = "send"
	eventAnswer    chart.Event = "answer"
	eventComplete  chart.Event = "complete"
	eventNotRun    chart.Event = "notRun"
	eventRetry     chart.Event = "retry"
	eventUnknown   chart.Event = "unknown"
	eventExhausted chart.Event = "exhausted"
	eventCancel    chart.Event = "cancel"

	// maxPlaces bounds how often a request seeks a place; refusals cost the
	// servers nothing.
	maxPlaces = 4
	// notReadyRetry is after how long a caller is asked to come back to a node
	// that does not know the configuration yet.
	notReadyRetry = 300 * time.Millisecond
	// refusedRetryMin and refusedRetrySpread spread refused callers out, so that
	// they do not come back together.
	refusedRetryMin    = 60 * time.Millisecond
	refusedRetrySpread = 80 * time.Millisecond
	// noDeadline stands for the patience of a caller that names none.
	noDeadline = 30 * time.Second
)

// Call is one request of a caller.
type Call struct {
	request  *upstream.Request
	path     string
	received time.Time
	timeLeft time.Duration
	nested   bool
}

// NewCall returns a call that was received at the given time from a caller who
// waits timeLeft longer, 0 when it does not say.
func NewCall(r *upstream.Request, path string, received time.Time, timeLeft time.Duration) Call {
	if timeLeft <= 0 {
		timeLeft = noDeadline
	}
	return Call{request: r, path: path, received: received, timeLeft: timeLeft}
}

// Request returns the request.
func (c Call) Request() *upstream.Request { return c.request }

// WithNested returns the call marked as one that a running request waits for.
func (c Call) WithNested(nested bool) Call {
	c.nested = nested
	return c
}

// progress is one call under way; its goroutine owns it.
type progress struct {
	router   *Router
	call     Call
	plan     plan
	machine  *chart.Machine
	deadline time.Time
	sent     int
	tried    []string
	node     string
	cost     float64
	asked    int
	waited   time.Duration
	reason   string
	retry    time.Duration
	denied   bool
	hedged   string
	// failure is the answer of a server that failed, and uncertain why the outcome
	// of an attempt is not known, while another attempt is sought.
	failure   *upstream.Response
	uncertain string
}

// Serve takes a call to its end. It returns nil when the caller has left.
func (r *Router) Serve(ctx context.Context, c Call) *upstream.Response {
	r.active.Add(1)
	defer r.active.Add(-1)
	p := &progress{router: r, call: c}
	machine, err := r.chart.Start(chart.Actions{"countAttempt": p.countAttempt, "countNotRun": func() {}, "countRetry": p.countRetry})
	if err != nil {
		return p.fail(http.StatusInternalServerError, "chart", err.Error())
	}
	p.machine = machine
	answer := p.serve(ctx)
	p.record(ctx, answer)
	if ctx.Err() != nil {
		return nil
	}
	return answer
}

func (p *progress) countAttempt() { p.sent++ }

func (p *progress) countRetry() { p.router.observe.retried(p.plan.service) }

func (p *progress) fire(e chart.Event) {
	if err := p.machine.Fire(e); err != nil {
		p.router.log.Write("chart-error", "request", p.call.request.ID(), "error", err.Error())
	}
}

func (p *progress) serve(ctx context.Context) *upstream.Response {
	if err := p.match(ctx); err != nil {
		p.fire(eventReject)
		return p.reject(err)
	}
	p.fire(eventMatch)
	route := p.plan.route
	p.deadline = p.call.received.Add(p.call.timeLeft)
	if route.Timeout() > 0 && route.Timeout() < p.call.timeLeft {
		p.deadline = p.call.received.Add(route.Timeout())
	}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	candidates := p.plan.candidates
	for places := 0; ; places++ {
		offer, ok := p.findPlace(ctx, candidates)
		if !ok {
			return p.giveUp()
		}
		p.fire(eventSend)
		end := p.race(ctx, offer)
		answer, again := p.judge(ctx, end, places)
		if !again {
			return answer
		}
		candidates = p.more(ctx)
	}
}

// giveUp ends a call for which no further place was found. After an attempt that
// may have run, the caller is told what that one brought, never that the request
// was not run.
func (p *progress) giveUp() *upstream.Response {
	switch {
	case p.failure != nil:
		p.fire(eventAnswer)
		p.fire(eventComplete)
		return p.failure
	case p.uncertain != "":
		p.reason = p.uncertain
		p.fire(eventUnknown)
		return p.fail(http.StatusBadGateway, "unknown", "the outcome is not known: "+p.uncertain)
	}
	p.fire(eventExhausted)
	return p.refuse()
}

func (p *progress) match(ctx context.Context) error {
	m := &planMessage{host: p.call.request.Host(), path: p.call.path, reply: task.NewReply[planned]()}
	if !p.router.inbox.Send(message{plan: m}) {
		return ErrStopping
	}
	a, ok := m.reply.Wait(ctx, p.router.inbox.Done())
	if !ok {
		return ErrStopping
	}
	p.plan = a.plan
	return a.err
}

func (p *progress) more(ctx context.Context) []candidate { return p.others(ctx, p.tried) }

// others returns the servers to ask other than those of the named nodes.
func (p *progress) others(ctx context.Context, tried []string) []candidate {
	m := &moreMessage{service: p.plan.service, tried: tried, reply: task.NewReply[[]candidate]()}
	if !p.router.inbox.Send(message{more: m}) {
		return nil
	}
	list, _ := m.reply.Wait(ctx, p.router.inbox.Done())
	return list
}

func (p *progress) spend(ctx context.Context) bool {
	m := &spendMessage{service: p.plan.service, reply: task.NewReply[bool]()}
	if !p.router.inbox.Send(message{spend: m}) {
		return false
	}
	ok, _ := m.reply.Wait(ctx, p.router.inbox.Done())
	p.denied = !ok
	return ok
}

// judge decides what follows the end of an attempt: an answer, or another
// attempt.
func (p *progress) judge(ctx context.Context, end upstream.Event, places int) (*upstream.Response, bool) {
	p.reason, p.retry = end.Reason(), end.RetryAfter()
	if ctx.Err() != nil && end.Kind() != upstream.Answered {
		p.fire(eventUnknown)
		return p.fail(http.StatusGatewayTimeout, "timeout", "the request took longer than the route or its caller allows"), false
	}
	idempotent := p.plan.route.Kind().Idempotent()
	switch end.Kind() {
	case upstream.Answered:
		return p.judgeAnswer(ctx, end.Response(), idempotent)
	case upstream.Refused:
		// The place was given up before anything reached the server.
		p.sent--
		p.fire(eventNotRun)
		return p.refuseUnless(places+1 < maxPlaces)
	case upstream.NotRun:
		p.tried = append(p.tried, p.node)
		if p.mayRepeat(ctx) {
			p.fire(eventNotRun)
			return nil, true
		}
		p.fire(eventNotRun)
		return p.giveUp(), false
	case upstream.Offered, upstream.Queued, upstream.Slowed, upstream.Unknown:
	}
	p.tried = append(p.tried, p.node)
	p.uncertain = p.reason
	if idempotent && p.mayRepeat(ctx) {
		p.fire(eventRetry)
		return nil, true
	}
	p.fire(eventUnknown)
	return p.fail(http.StatusBadGateway, "unknown", "the outcome is not known: "+p.reason), false
}

func (p *progress) refuseUnless(again bool) (*upstream.Response, bool) {
	if again {
		return nil, true
	}
	return p.giveUp(), false
}

// judgeAnswer passes a server's answer on, unless it is a failure that another
// server may do better.
func (p *progress) judgeAnswer(ctx context.Context, a *upstream.Response, idempotent bool) (*upstream.Response, bool) {
	failed := a.Status() == http.StatusInternalServerError || a.Status() == http.StatusBadGateway
	if failed && idempotent {
		p.tried = append(p.tried, p.node)
		if p.mayRepeat(ctx) {
			p.failure = a
			p.fire(eventRetry)
			return nil, true
		}
	}
	p.fire(eventAnswer)
	p.fire(eventComplete)
	return a, false
}

// mayRepeat reports whether another server may be sent the request: the route
// allows it, time is left, and the budget has room.
func (p *progress) mayRepeat(ctx context.Context) bool {
	if p.sent >= p.plan.route.MaxAttempts() || ctx.Err() != nil {
		return false
	}
	return p.spend(ctx)
}

func (p *progress) reject(err error) *upstream.Response {
	var noRoute *NoRouteError
	p.reason = err.Error()
	if errors.As(err, &noRoute) {
		return p.fail(http.StatusNotFound, "no-route", err.Error())
	}
	p.retry = notReadyRetry
	return p.unavailable()
}

// refuse tells the caller that the request was not run and when to come back.
func (p *progress) refuse() *upstream.Response {
	if p.reason == "" {
		p.reason = "no server"
	}
	p.retry = max(p.retry, refusedRetryMin) + rand.N(refusedRetrySpread)
	return p.unavailable()
}

func (p *progress) unavailable() *upstream.Response {
	a := p.fail(http.StatusServiceUnavailable, "not-run", p.reason)
	a.Header().Set("Retry-After", strconv.FormatFloat(p.retry.Seconds(), 'f', 3, 64))
	return a
}

// fail returns an answer of the node's own.
func (p *progress) fail(status int, outcome, reason string) *upstream.Response {
	body, err := json.Marshal(map[string]string{"outcome": outcome, "reason": reason})
	if err != nil {
		p.router.log.Write("encode-failed", "request", p.call.request.ID(), "error", err.Error())
	}
	return upstream.NewResponse(status, http.Header{"Content-Type": {"application/json"}}, body)
}

// record logs how the call ended and what decided it.
func (p *progress) record(ctx context.Context, a *upstream.Response) {
	took := p.router.clock.Since(p.call.received)
	outcome, route := string(p.machine.State()), "none"
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = "caller-left"
	}
	if p.plan.route != nil {
		route = p.plan.route.Name()
	}
	p.router.observe.ended(route, outcome, took)
	p.router.log.Write("request", "request", p.call.request.ID(), "outcome", outcome, "status", a.Status(), "took_ms", took.Milliseconds(),
		"route", route, "service", p.plan.service, "version", p.plan.version, "node", p.node, "cost", p.cost, "asked", p.asked,
		"attempts", p.sent, "waited_ms", p.waited.Milliseconds(), "time_left_ms", p.call.timeLeft.Milliseconds(), "nested", p.call.nested,
		"budget_denied", p.denied, "hedge", p.hedged, "reason", p.reason)
}
