package dispatch

import (
	"context"
	"net/http"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/quota/controller"
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

	// maxReservations bounds how many slots a call reserves if its offers are
	// lost; nothing reaches a server in that case.
	maxReservations = 4
	// notReadyRetryAfter is the Retry-After time of a node that has no
	// configuration yet or is stopping.
	notReadyRetryAfter = 300 * time.Millisecond
	// minRefusedRetryAfter and refusedRetryJitter spread out the retries of
	// refused callers, so that they do not all come back at once.
	minRefusedRetryAfter = 60 * time.Millisecond
	refusedRetryJitter   = 80 * time.Millisecond
	// defaultTimeLeft is the assumed waiting time of a caller that states none.
	defaultTimeLeft = 30 * time.Second
)

// Call is one request of a caller.
type Call struct {
	request  *upstream.Request
	path     string
	received time.Time
	timeLeft time.Duration
	nested   bool
	apiKey   string
}

// NewCall returns a call received at the given time. timeLeft is how long the
// caller waits from then on, 0 if it does not say.
func NewCall(r *upstream.Request, path string, received time.Time, timeLeft time.Duration) Call {
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}
	return Call{request: r, path: path, received: received, timeLeft: timeLeft}
}

// Request returns the request.
func (c Call) Request() *upstream.Request { return c.request }

// WithNested returns the call with whether a running request waits for it.
func (c Call) WithNested(nested bool) Call {
	c.nested = nested
	return c
}

// WithAPIKey returns the call with the API key that it carries, "" for none.
func (c Call) WithAPIKey(key string) Call {
	c.apiKey = key
	return c
}

// APIKey returns the API key that the call carries, "" for none. It must not be logged.
func (c Call) APIKey() string { return c.apiKey }

// pendingCall is the state of one call; the goroutine that serves the call
// owns it.
type pendingCall struct {
	router       *Router
	call         Call
	plan         plan
	machine      *chart.Machine
	deadline     time.Time
	attempts     int
	tried        []string
	node         string
	cost         float64
	serversAsked int
	searchTime   time.Duration
	reason       string
	retryAfter   time.Duration
	budgetDenied bool
	hedgeCause   hedgeCause
	// isUnauthorized is whether the call ends for want of a valid API key.
	isUnauthorized bool
	// isOverQuota is whether the call ends since it is above the limit of its tenant.
	isOverQuota bool
	claim       controller.Claim
	// callerRoute and callerPriority are those of the run that makes this nested call, ""
	// if it is not known.
	callerRoute    string
	callerPriority int
	// onTrial is whether the call is sent to the server for its trial only.
	onTrial bool
	// hedgeTaken is whether a hedge was taken from the share and is not sent yet, and
	// hedgeSent whether the second send is one.
	hedgeTaken  bool
	hedgeSent   bool
	hedgeWon    bool
	hedgeDenied string
	// failedResponse is the error response of an earlier attempt, and
	// uncertainReason the reason why the outcome of an earlier attempt is
	// unknown. The call ends with them if no further slot is found.
	failedResponse  *upstream.Response
	uncertainReason string
}

// Serve handles a call and returns the response for the caller, or nil if the
// caller has disconnected.
func (r *Router) Serve(ctx context.Context, c Call) (response *upstream.Response) {
	r.active.Add(1)
	defer r.active.Add(-1)
	p := &pendingCall{router: r, call: c}
	defer task.Catch(func(e *task.PanicError) {
		response = p.endAfterPanic(e)
		r.log.WritePanic("call", e)
	})
	machine, err := r.requestChart.NewMachine(chart.Actions{"countAttempt": p.countAttempt, "countNotRun": func() {}, "countRetry": p.countRetry})
	if err != nil {
		return p.errorResponse(http.StatusInternalServerError, "chart", err.Error())
	}
	p.machine = machine
	response = p.serve(ctx)
	p.logEnd(ctx, response)
	if ctx.Err() != nil {
		return nil
	}
	return response
}

func (p *pendingCall) countAttempt() { p.attempts++ }

func (p *pendingCall) countRetry() { p.router.observer.retried(p.plan.service) }

func (p *pendingCall) fire(e chart.Event) {
	if err := p.machine.Fire(e); err != nil {
		p.router.log.Write("chart-error", "request", p.call.request.ID(), "error", err.Error())
	}
}

// serve matches the call and makes attempts until one of them settles it.
func (p *pendingCall) serve(ctx context.Context) *upstream.Response {
	if err := p.matchRoute(ctx); err != nil {
		p.fire(eventReject)
		return p.reject(err)
	}
	p.fire(eventMatch)
	route := p.plan.route
	p.findCallingRun(ctx)
	p.deadline = p.call.received.Add(p.call.timeLeft)
	if route.Timeout() > 0 && route.Timeout() < p.call.timeLeft {
		p.deadline = p.call.received.Add(route.Timeout())
	}
	if p.comesTooLate() {
		p.reason = ErrStopping.Error()
		return p.endWithoutSlot()
	}
	if p.isHeld() {
		return p.endWithoutSlot()
	}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	p.beginClaim()
	defer p.endClaim()
	if p.claim.IsDoubtful() {
		// A call that is likely to be refused takes no slot.
		if response, ok := p.awaitCredit(ctx); !ok {
			return response
		}
	}
	candidates := p.plan.candidates
	for reservations := 0; ; reservations++ {
		offer, ok := p.findPermittedSlot(ctx, candidates)
		if !ok {
			return p.endWithoutSlot()
		}
		if response, ok := p.awaitCredit(ctx); !ok {
			offer.event.Endpoint().Withdraw(offer.event.Number())
			return response
		}
		// Checked last: a request may be held, and its key removed, while it waits.
		if p.isHeld() || !p.mayStillBeSent() {
			offer.event.Endpoint().Withdraw(offer.event.Number())
			return p.endWithoutSlot()
		}
		if p.isAmbiguous() && !p.onTrial {
			// Its last server ended during the search.
			offer.event.Endpoint().Withdraw(offer.event.Number())
			continue
		}
		p.fire(eventSend)
		end := p.execute(ctx, offer)
		response, again := p.handleAttemptEnd(ctx, end, reservations)
		if !again {
			return response
		}
		candidates = p.untriedCandidates(ctx)
	}
}

// matchRoute asks the router for the plan of the call.
func (p *pendingCall) matchRoute(ctx context.Context) error {
	m := &planMessage{call: p.call, reply: task.NewReply[planResult]()}
	if !p.router.inbox.Send(message{plan: m}) {
		return ErrStopping
	}
	result, ok := m.reply.Wait(ctx, p.router.inbox.Done())
	if !ok {
		return ErrNoPlan
	}
	p.plan = result.plan
	if result.err == nil {
		p.applyTenant()
	}
	return result.err
}

// untriedCandidates returns the candidates that were not tried yet.
func (p *pendingCall) untriedCandidates(ctx context.Context) []candidate {
	p.leaveTarget(ctx)
	return p.candidatesExcept(ctx, p.tried, p.plan.release)
}

// candidatesExcept returns the candidates of a version except those of the excluded nodes.
func (p *pendingCall) candidatesExcept(ctx context.Context, exclude []string, release string) []candidate {
	m := &candidatesMessage{service: p.plan.service, latency: p.plan.meanLatency, exclude: exclude, release: release, reply: task.NewReply[[]candidate]()}
	if !p.router.inbox.Send(message{candidates: m}) {
		return nil
	}
	list, _ := m.reply.Wait(ctx, p.router.inbox.Done())
	return list
}

// spendRetry takes a retry from the budget. It reports false if the budget
// allows none, the request is held, or its API key is no longer valid.
func (p *pendingCall) spendRetry(ctx context.Context) bool {
	if p.isHeld() || p.keyState() != keyValid {
		return false
	}
	m := &retryMessage{service: p.plan.service, reply: task.NewReply[bool]()}
	if !p.router.inbox.Send(message{retry: m}) {
		return false
	}
	ok, _ := m.reply.Wait(ctx, p.router.inbox.Done())
	p.budgetDenied = !ok
	return ok
}

// handleAttemptEnd decides what follows an attempt: a response to the caller,
// or another attempt when it returns true.
func (p *pendingCall) handleAttemptEnd(ctx context.Context, end upstream.Event, reservations int) (*upstream.Response, bool) {
	p.reason, p.retryAfter = end.Reason(), end.RetryAfter()
	// The node beside the server ends the request at the same time as this one. Which
	// of the two is noticed first says nothing.
	timeOver := ctx.Err() != nil || !p.router.clock.Now().Before(p.deadline)
	if timeOver && end.Kind() != upstream.Answered {
		p.fire(eventUnknown)
		return p.errorResponse(http.StatusGatewayTimeout, "timeout", "the request took longer than the route or its caller allows"), false
	}
	idempotent := p.plan.route.Kind().Idempotent()
	switch end.Kind() {
	case upstream.Answered:
		return p.handleResponse(ctx, end.Response(), idempotent)
	case upstream.Refused:
		// The offer was lost before anything reached the server.
		p.attempts--
		p.fire(eventNotRun)
		return p.retryOrEnd(reservations+1 < maxReservations)
	case upstream.NotRun:
		p.tried = append(p.tried, p.node)
		if p.mayRetry(ctx) {
			p.fire(eventNotRun)
			return nil, true
		}
		p.fire(eventNotRun)
		return p.endWithoutSlot(), false
	case upstream.Offered, upstream.Queued, upstream.Slowed, upstream.Silent, upstream.Lost, upstream.Unknown:
	}
	p.tried = append(p.tried, p.node)
	p.uncertainReason = p.reason
	if idempotent && (end.HasVerdict() || p.awaitVerdict(ctx)) && p.mayRetry(ctx) {
		p.fire(eventRetry)
		return nil, true
	}
	p.fire(eventUnknown)
	return p.errorResponse(http.StatusBadGateway, "unknown", "the outcome is not known: "+p.reason), false
}

// retryOrEnd returns true, for another attempt, if again is set, and otherwise
// ends the call.
func (p *pendingCall) retryOrEnd(again bool) (*upstream.Response, bool) {
	if again {
		return nil, true
	}
	return p.endWithoutSlot(), false
}

// handleResponse returns the server's response to the caller, unless it is an
// error that a retry at another server may avoid.
func (p *pendingCall) handleResponse(ctx context.Context, response *upstream.Response, idempotent bool) (*upstream.Response, bool) {
	failed := response.Status() == http.StatusInternalServerError || response.Status() == http.StatusBadGateway
	if failed && idempotent {
		p.tried = append(p.tried, p.node)
		if p.mayRetry(ctx) {
			p.failedResponse = response
			p.fire(eventRetry)
			return nil, true
		}
	}
	p.fire(eventAnswer)
	p.fire(eventComplete)
	return response, false
}

// mayRetry reports whether the request may be sent to another server: the
// route allows another attempt, time is left, and the budget grants a retry,
// which is then spent.
func (p *pendingCall) mayRetry(ctx context.Context) bool {
	if p.attempts >= p.plan.route.MaxAttempts() || ctx.Err() != nil {
		return false
	}
	return p.spendRetry(ctx)
}
