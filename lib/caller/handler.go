package caller

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
	"savorygap.example/lib/retry"
	"savorygap.example/lib/route"
	"savorygap.example/lib/server"
)

// homePause lets the views of two nodes agree on the home of a key.
const homePause = 150 * time.Millisecond

// maxHomePauses bounds how often a keyed request waits for that. Such refusals
// cost the servers nothing, so neither retries nor their budget are spent; on a
// busy machine views take over a second to agree.
const maxHomePauses = 20

// Events of the chart "request".
const (
	eventMatch     chart.Event = "match"
	eventReject    chart.Event = "reject"
	eventSend      chart.Event = "send"
	eventExhausted chart.Event = "exhausted"
	eventAnswer    chart.Event = "answer"
	eventNotRun    chart.Event = "notRun"
	eventRetry     chart.Event = "retry"
	eventUnknown   chart.Event = "unknown"
	eventComplete  chart.Event = "complete"
	eventCut       chart.Event = "cut"
)

// Run makes one attempt at a target.
type Run func(ctx context.Context, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error)

// Ended describes a request that has ended, for logs and metrics.
type Ended struct {
	requestID string
	service   string
	class     document.Class
	method    string
	state     chart.State
	status    int
	attempts  int
	duration  time.Duration
	reason    string
}

// RequestID returns the id that logs of all nodes share.
func (e Ended) RequestID() string { return e.requestID }

// Service returns the service, empty when none matched.
func (e Ended) Service() string { return e.service }

// Class returns the class.
func (e Ended) Class() document.Class { return e.class }

// Method returns the HTTP method.
func (e Ended) Method() string { return e.method }

// State returns the final state of the chart "request".
func (e Ended) State() chart.State { return e.state }

// Status returns the HTTP status that the caller got.
func (e Ended) Status() int { return e.status }

// Attempts returns how many attempts were made.
func (e Ended) Attempts() int { return e.attempts }

// Duration returns how long the request took.
func (e Ended) Duration() time.Duration { return e.duration }

// Reason returns why the request was not answered.
func (e Ended) Reason() string { return e.reason }

// Handler serves callers.
type Handler struct {
	clock    clockwork.Clock
	chart    *chart.Chart
	router   *route.Router
	run      Run
	observe  func(Ended)
	maxDepth int
}

// NewHandler returns the handler. observe is called at the end of every
// request, from its goroutine.
func NewHandler(clock clockwork.Clock, requestChart *chart.Chart, router *route.Router, run Run, observe func(Ended)) *Handler {
	return &Handler{clock: clock, chart: requestChart, router: router, run: run, observe: observe, maxDepth: maxDepth}
}

// request is the state of one caller's request; it belongs to its goroutine.
type request struct {
	handler  *Handler
	machine  *chart.Machine
	w        http.ResponseWriter
	in       *http.Request
	demands  demands
	plan     route.Plan
	started  time.Time
	tried    []balance.TargetID
	homeless int
	attempts int
	notRuns  int
	retries  int
	status   int
	reason   string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	q := &request{handler: h, w: w, in: in, started: h.clock.Now()}
	machine, err := h.chart.NewMachine(chart.Actions{
		"countAttempt": func() { q.attempts++ },
		"countNotRun":  func() { q.notRuns++ },
		"countRetry":   func() { q.retries++ },
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	q.machine = machine
	q.serve()
	h.observe(q.ended())
	if machine.State() == "truncated" {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) ended() Ended {
	return Ended{
		requestID: q.demands.requestID, service: q.plan.Match().Service(), class: q.plan.Match().Policy().Class(),
		method: q.in.Method, state: q.machine.State(), status: q.status, attempts: q.attempts,
		duration: q.handler.clock.Now().Sub(q.started), reason: q.reason,
	}
}

// fire moves the chart. An event that the state does not take is a fault of
// the program and ends the request.
func (q *request) fire(e chart.Event) {
	if err := q.machine.Fire(e); err != nil {
		panic(err)
	}
}

func (q *request) serve() {
	if err := q.match(); err != nil {
		q.fire(eventReject)
		q.reject(err)
		return
	}
	q.fire(eventMatch)
	ctx, cancel := context.WithTimeout(q.in.Context(), q.timeout())
	defer cancel()
	body, err := newSource(q.in, http.MaxBytesReader(q.w, q.in.Body, q.plan.Match().Policy().MaxBody()))
	if err != nil {
		q.fire(eventExhausted)
		q.refuse(outcome.NewNotRun("request body was cut").Permanent())
		return
	}
	answer, err := q.try(ctx, body)
	if err != nil {
		q.refuse(err)
		return
	}
	q.fire(eventAnswer)
	q.answer(answer)
}

func (q *request) match() error {
	d, err := readDemands(q.in.Header)
	q.demands = d
	if err != nil {
		return err
	}
	if d.depth > q.handler.maxDepth {
		return &BadRequestError{field: server.HeaderDepth, reason: "is above the greatest depth of nested calls"}
	}
	q.plan, err = q.handler.router.PlanRequest(q.in.Context(), q.in.Host, q.in.Method, q.in.URL.Path, d.key, d.created)
	if err != nil {
		return err
	}
	policy := q.plan.Match().Policy()
	if q.in.ContentLength > policy.MaxBody() {
		return &http.MaxBytesError{Limit: policy.MaxBody()}
	}
	if policy.KeyRequired() && d.key == "" && !policy.Idempotent(q.in.Method) {
		return &BadRequestError{field: server.HeaderKey, reason: "is missing; the rule \"" + policy.Rule() + "\" requires it"}
	}
	return nil
}

func (q *request) timeout() time.Duration {
	policy := q.plan.Match().Policy().Timeout()
	if q.demands.timeout > 0 {
		return min(policy, q.demands.timeout)
	}
	return policy
}

func (q *request) idempotent() bool {
	return q.plan.Match().Policy().Idempotent(q.in.Method)
}

// try tries targets until one answers, the outcome forbids another try,
// or no target or budget is left.
func (q *request) try(ctx context.Context, body *source) (*attempt.Response, error) {
	target, found := q.plan.Target()
	last := q.plan.Last()
	if !found {
		q.fire(eventExhausted)
		return nil, outcome.NewNotRun("no target")
	}
	for {
		q.fire(eventSend)
		answer, err := q.one(ctx, target, last, body)
		if err == nil {
			return answer, nil
		}
		next, lastNext, ok := q.another(ctx, err, body)
		if !ok {
			return nil, err
		}
		target, last = next, lastNext
	}
}

// another decides whether err is followed by a further attempt.
func (q *request) another(ctx context.Context, err error, body *source) (balance.Target, bool, bool) {
	policy := q.plan.Match().Policy()
	notRun, isNotRun := outcome.AsNotRun(err)
	reason := ""
	if isNotRun {
		reason = notRun.Reason()
	}
	room := q.notRuns-q.homeless+q.retries < policy.Retries()
	if reason == server.ReasonNotHome {
		room = q.homeless < maxHomePauses
		q.homeless++
	}
	allowed := retry.Allowed(err, q.idempotent()) && body.replayable() && ctx.Err() == nil && room
	var choice route.NextTarget
	if allowed {
		choice = q.handler.router.NextAttempt(ctx, q.ask(ctx, reason))
	}
	target, found := choice.Target()
	switch {
	case found && isNotRun:
		q.fire(eventNotRun)
	case found:
		q.fire(eventRetry)
	case isNotRun:
		q.fire(eventExhausted)
	default:
		q.fire(eventUnknown)
	}
	return target, choice.Last(), found
}

// ask describes the further attempt that follows a refusal for the reason
// given.
func (q *request) ask(ctx context.Context, reason string) route.AttemptRequest {
	if reason == server.ReasonNotHome {
		q.tried = nil
		select {
		case <-ctx.Done():
		case <-q.handler.clock.After(homePause):
		}
	}
	ask := route.NewAttemptRequest(q.plan.Match().Service(), q.demands.depth, q.tried)
	if reason == admission.ReasonBusy.String() || reason == server.ReasonNotHome {
		ask = ask.AsReroute()
	}
	if q.keyed() {
		ask = ask.WithKey(q.demands.key, q.demands.created)
	}
	return ask
}

func (q *request) keyed() bool { return q.demands.key != "" && !q.idempotent() }

// one makes an attempt, with a second one beside it when it is slow and the
// rule allows that.
func (q *request) one(ctx context.Context, t balance.Target, last bool, body *source) (*attempt.Response, error) {
	if q.plan.HedgeDelay() == 0 || body.length != 0 || q.attempts > 1 {
		q.tried = append(q.tried, t.ID())
		return q.single(ctx, t, last, body)
	}
	return q.hedged(ctx, t, last, body)
}

// single makes one attempt and settles it with the router when it ends.
func (q *request) single(ctx context.Context, t balance.Target, last bool, body *source) (*attempt.Response, error) {
	sent := q.handler.clock.Now()
	answer, err := q.handler.run(ctx, t, q.call(ctx, t, last, body), body.open())
	latency := q.handler.clock.Now().Sub(sent)
	settlement := route.NewAttemptResult(q.plan.Match().Service(), t.ID(), endingOf(ctx, err), latency)
	if err != nil {
		if notRun, ok := outcome.AsNotRun(err); ok {
			if report, ok := notRun.Report(); ok {
				settlement = settlement.WithReport(report)
			}
		}
		q.handler.router.RecordResult(settlement)
		return nil, err
	}
	return q.settling(answer, settlement), nil
}

// settling returns the answer with the settlement of its attempt bound to its
// end.
func (q *request) settling(a *attempt.Response, s route.AttemptResult) *attempt.Response {
	finish := func(bodyErr error) load.Report {
		report := a.Finish(bodyErr)
		q.handler.router.RecordResult(s.WithReport(report))
		return report
	}
	return attempt.NewResponse(a.Status(), a.Header(), a.Length(), a.Body(), a.Trailer, a.Report, finish)
}

func endingOf(ctx context.Context, err error) balance.Result {
	notRun, isNotRun := outcome.AsNotRun(err)
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Cancelled
	case !isNotRun:
		return balance.OutcomeUnknown
	}
	if _, reported := notRun.Report(); reported {
		return balance.Refused
	}
	return balance.Unreachable
}

func (q *request) call(ctx context.Context, t balance.Target, last bool, body *source) attempt.Call {
	policy := q.plan.Match().Policy()
	deadline, _ := ctx.Deadline()
	remaining := deadline.Sub(q.handler.clock.Now())
	c := attempt.NewCall(q.demands.requestID, q.plan.Match().Service(), t.ID().Address(), remaining).
		WithRequest(q.in.Method, q.in.URL.RequestURI(), q.in.Host, forwarded(q.in.Header), body.length).
		WithPriority(policy.Class(), q.demands.depth+1, policy.Short(), !last).
		WithRevision(q.plan.Revision())
	if body.streams() {
		c = c.WithExpectContinue()
	}
	if len(q.in.Trailer) > 0 {
		c = c.WithTrailers(slices.Sorted(maps.Keys(q.in.Trailer)), func() http.Header { return q.in.Trailer })
	}
	if q.keyed() {
		c = c.WithKey(q.demands.key, q.demands.created)
	}
	return c
}
