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

// homeRetryDelay is the delay before a retry after ReasonNotHome. It gives the
// nodes time to agree on the home of the key.
const homeRetryDelay = 150 * time.Millisecond

// maxHomeRetries limits the retries after ReasonNotHome. They count neither as
// retries nor against the retry budget, because they cause no load on servers.
// On a busy machine the nodes take more than a second to agree.
const maxHomeRetries = 20

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

// AttemptFunc makes one attempt at a target, which is on this host or on another
// one.
type AttemptFunc func(ctx context.Context, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error)

// RequestSummary describes a finished request for logs and metrics.
type RequestSummary struct {
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

// RequestID returns the ID of the request, which is the same in the logs of all
// nodes.
func (s RequestSummary) RequestID() string { return s.requestID }

// Service returns the name of the service, or "" if no route matched.
func (s RequestSummary) Service() string { return s.service }

// Class returns the priority class of the request.
func (s RequestSummary) Class() document.Class { return s.class }

// Method returns the HTTP method.
func (s RequestSummary) Method() string { return s.method }

// State returns the final state of the request's state chart.
func (s RequestSummary) State() chart.State { return s.state }

// Status returns the HTTP status code sent to the caller.
func (s RequestSummary) Status() int { return s.status }

// Attempts returns the number of attempts.
func (s RequestSummary) Attempts() int { return s.attempts }

// Duration returns the time from the arrival of the request to its end.
func (s RequestSummary) Duration() time.Duration { return s.duration }

// Reason returns why the request has no complete response from a server.
func (s RequestSummary) Reason() string { return s.reason }

// Handler is the HTTP handler for callers.
type Handler struct {
	clock      clockwork.Clock
	chart      *chart.Chart
	router     *route.Router
	runAttempt AttemptFunc
	observe    func(RequestSummary)
	maxDepth   int
}

// NewHandler returns a handler that makes attempts with runAttempt. It calls
// observe at the end of every request, from the goroutine of the request.
func NewHandler(clock clockwork.Clock, requestChart *chart.Chart, router *route.Router, runAttempt AttemptFunc, observe func(RequestSummary)) *Handler {
	return &Handler{clock: clock, chart: requestChart, router: router, runAttempt: runAttempt, observe: observe, maxDepth: maxDepth}
}

// request is the state of a caller's request. It is owned by the goroutine of
// the request.
type request struct {
	handler     *Handler
	machine     *chart.Machine
	w           http.ResponseWriter
	r           *http.Request
	params      requestParams
	plan        route.Plan
	startedAt   time.Time
	tried       []balance.TargetID
	homeRetries int
	attempts    int
	notRuns     int
	retries     int
	status      int
	reason      string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{handler: h, w: w, r: r, startedAt: h.clock.Now()}
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
	h.observe(q.summary())
	if machine.State() == "truncated" {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) summary() RequestSummary {
	return RequestSummary{
		requestID: q.params.requestID, service: q.plan.Match().Service(), class: q.plan.Match().Policy().Class(),
		method: q.r.Method, state: q.machine.State(), status: q.status, attempts: q.attempts,
		duration: q.handler.clock.Now().Sub(q.startedAt), reason: q.reason,
	}
}

// fire fires an event of the chart. It panics if the current state does not
// accept the event, which is a bug.
func (q *request) fire(e chart.Event) {
	if err := q.machine.Fire(e); err != nil {
		panic(err)
	}
}

func (q *request) serve() {
	if err := q.planRoute(); err != nil {
		q.fire(eventReject)
		q.writeRejection(err)
		return
	}
	q.fire(eventMatch)
	ctx, cancel := context.WithTimeout(q.r.Context(), q.timeout())
	defer cancel()
	body, err := newRequestBody(q.r, http.MaxBytesReader(q.w, q.r.Body, q.plan.Match().Policy().MaxBody()))
	if err != nil {
		q.fire(eventExhausted)
		q.writeAttemptError(outcome.NewNotRun("request body was cut").Permanent())
		return
	}
	response, err := q.runAttempts(ctx, body)
	if err != nil {
		q.writeAttemptError(err)
		return
	}
	q.fire(eventAnswer)
	q.writeResponse(response)
}

// planRoute parses and validates the request and plans its route.
func (q *request) planRoute() error {
	params, err := parseRequestParams(q.r.Header)
	q.params = params
	if err != nil {
		return err
	}
	if params.depth > q.handler.maxDepth {
		return &BadRequestError{field: server.HeaderDepth, reason: "is above the greatest depth of nested calls"}
	}
	q.plan, err = q.handler.router.PlanRequest(q.r.Context(), q.r.Host, q.r.Method, q.r.URL.Path, params.key, params.keyCreated)
	if err != nil {
		return err
	}
	policy := q.plan.Match().Policy()
	if q.r.ContentLength > policy.MaxBody() {
		return &http.MaxBytesError{Limit: policy.MaxBody()}
	}
	if policy.KeyRequired() && params.key == "" && !policy.Idempotent(q.r.Method) {
		return &BadRequestError{field: server.HeaderIdempotencyKey, reason: "is missing; the rule \"" + policy.Rule() + "\" requires it"}
	}
	return nil
}

func (q *request) timeout() time.Duration {
	timeout := q.plan.Match().Policy().Timeout()
	if q.params.timeout > 0 {
		return min(timeout, q.params.timeout)
	}
	return timeout
}

func (q *request) idempotent() bool {
	return q.plan.Match().Policy().Idempotent(q.r.Method)
}

// runAttempts makes attempts until one gets a response, the outcome permits no
// retry, or no target or retry budget is left.
func (q *request) runAttempts(ctx context.Context, body *requestBody) (*attempt.Response, error) {
	target, found := q.plan.Target()
	last := q.plan.Last()
	if !found {
		q.fire(eventExhausted)
		return nil, outcome.NewNotRun("no target")
	}
	for {
		q.fire(eventSend)
		response, err := q.runAttempt(ctx, target, last, body)
		if err == nil {
			return response, nil
		}
		next, nextLast, ok := q.nextAttempt(ctx, err, body)
		if !ok {
			return nil, err
		}
		target, last = next, nextLast
	}
}

// nextAttempt decides whether to make another attempt after err. It returns the
// target, whether it is the last one to try, and whether there is one.
func (q *request) nextAttempt(ctx context.Context, err error, body *requestBody) (balance.Target, bool, bool) {
	policy := q.plan.Match().Policy()
	notRun, isNotRun := outcome.AsNotRun(err)
	reason := ""
	if isNotRun {
		reason = notRun.Reason()
	}
	retriesLeft := q.notRuns-q.homeRetries+q.retries < policy.Retries()
	if reason == server.ReasonNotHome {
		retriesLeft = q.homeRetries < maxHomeRetries
		q.homeRetries++
	}
	allowed := retry.Allowed(err, q.idempotent()) && body.replayable() && ctx.Err() == nil && retriesLeft
	var next route.NextTarget
	if allowed {
		next = q.handler.router.NextAttempt(ctx, q.newAttemptRequest(ctx, reason))
	}
	target, found := next.Target()
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
	return target, next.Last(), found
}

// newAttemptRequest returns the request to the router for the attempt after a
// refusal with the given reason. After ReasonNotHome, it first waits for
// homeRetryDelay and makes all targets eligible again.
func (q *request) newAttemptRequest(ctx context.Context, reason string) route.AttemptRequest {
	if reason == server.ReasonNotHome {
		q.tried = nil
		select {
		case <-ctx.Done():
		case <-q.handler.clock.After(homeRetryDelay):
		}
	}
	attemptRequest := route.NewAttemptRequest(q.plan.Match().Service(), q.params.depth, q.tried)
	if reason == admission.ReasonBusy.String() || reason == server.ReasonNotHome {
		attemptRequest = attemptRequest.AsReroute()
	}
	if q.usesKey() {
		attemptRequest = attemptRequest.WithKey(q.params.key, q.params.keyCreated)
	}
	return attemptRequest
}

func (q *request) usesKey() bool { return q.params.key != "" && !q.idempotent() }

// runAttempt makes an attempt. The first attempt is hedged if the route permits
// it and the request has no body.
func (q *request) runAttempt(ctx context.Context, t balance.Target, last bool, body *requestBody) (*attempt.Response, error) {
	if q.plan.HedgeDelay() == 0 || body.length != 0 || q.attempts > 1 {
		q.tried = append(q.tried, t.ID())
		return q.runSingle(ctx, t, last, body)
	}
	return q.hedged(ctx, t, last, body)
}

// runSingle makes one attempt and records its result at the router.
func (q *request) runSingle(ctx context.Context, t balance.Target, last bool, body *requestBody) (*attempt.Response, error) {
	started := q.handler.clock.Now()
	response, err := q.handler.runAttempt(ctx, t, q.newCall(ctx, t, last, body), body.newReader())
	latency := q.handler.clock.Now().Sub(started)
	result := route.NewAttemptResult(q.plan.Match().Service(), t.ID(), resultOf(ctx, err), latency)
	if err != nil {
		if notRun, ok := outcome.AsNotRun(err); ok {
			if report, ok := notRun.Report(); ok {
				result = result.WithReport(report)
			}
		}
		q.handler.router.RecordResult(result)
		return nil, err
	}
	return q.withRecordedResult(response, result), nil
}

// withRecordedResult returns a response that records the attempt's result at the
// router when it finishes.
func (q *request) withRecordedResult(response *attempt.Response, result route.AttemptResult) *attempt.Response {
	finish := func(bodyErr error) load.Report {
		report := response.Finish(bodyErr)
		q.handler.router.RecordResult(result.WithReport(report))
		return report
	}
	return attempt.NewResponse(response.Status(), response.Header(), response.Length(), response.Body(), response.Trailer, response.Report, finish)
}

func resultOf(ctx context.Context, err error) balance.Result {
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

func (q *request) newCall(ctx context.Context, t balance.Target, last bool, body *requestBody) attempt.Call {
	policy := q.plan.Match().Policy()
	deadline, _ := ctx.Deadline()
	remaining := deadline.Sub(q.handler.clock.Now())
	c := attempt.NewCall(q.params.requestID, q.plan.Match().Service(), t.ID().Address(), remaining).
		WithRequest(q.r.Method, q.r.URL.RequestURI(), q.r.Host, forwardedHeader(q.r.Header), body.length).
		WithPriority(policy.Class(), q.params.depth+1, policy.Short(), !last).
		WithRevision(q.plan.Revision())
	if body.streaming() {
		c = c.WithExpectContinue()
	}
	if len(q.r.Trailer) > 0 {
		c = c.WithTrailers(slices.Sorted(maps.Keys(q.r.Trailer)), func() http.Header { return q.r.Trailer })
	}
	if q.usesKey() {
		c = c.WithKey(q.params.key, q.params.keyCreated)
	}
	return c
}
