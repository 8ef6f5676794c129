package serverproxy

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	// nonIdempotentMaxIdle is the maximum idle time of a connection that is
	// reused for methods other than GET and HEAD. If the server has already
	// dropped the connection, the outcome of such a request is unknown and it
	// cannot be retried.
	nonIdempotentMaxIdle = time.Second
	// maxIdleConns bounds the idle connections to a server; each one holds a
	// buffer of 4 KB.
	maxIdleConns = 32
	// healthCheckConns is the number of connections used for health checks.
	healthCheckConns = 1
	// minRetryAfter is the shortest retry delay suggested to a refused caller.
	minRetryAfter = 40 * time.Millisecond
	// defaultLatency is the assumed latency until the first request has
	// finished.
	defaultLatency = 100 * time.Millisecond
	// slowdownFactor is the factor by which slowness must have risen since the
	// start of a request for its caller to be notified.
	slowdownFactor = 2.0
	// latencyWeight is the weight of the newest sample in the moving average of
	// the latency.
	latencyWeight = 0.1
)

// forwardedRequest is a request in flight to the server. notified is whether
// its caller was sent a Slowed event.
type forwardedRequest struct {
	request         *upstream.Request
	cancel          context.CancelFunc
	started         time.Time
	slownessAtStart float64
	generation      uint64
	notified        bool
	slot            upstream.SlotRequest
	judged          bool
}

func (p *Proxy) handleReserve(m *reserveMessage) {
	if !p.admits() || m.request.Service() != p.latest.service {
		m.reply(upstream.NewEvent(upstream.Refused, m.key.Number()).WithReason(p.refusalReason(m.request)))
		return
	}
	if reason := p.versionRefusal(m.request); reason != "" {
		m.reply(upstream.NewEvent(upstream.Refused, m.key.Number()).WithReason(reason))
		return
	}
	now := p.clock.Now()
	pending := newPendingRequest(now, m)
	if p.outlivesProcess(now, pending) {
		m.reply(upstream.NewEvent(upstream.Refused, m.key.Number()).WithReason(reasonStopping).WithRetryAfter(p.retryAfter()))
		return
	}
	if p.refusesStart(now, m) {
		return
	}
	p.health.recordRequest(now)
	p.requests[m.key] = pending
	p.reportDecision(p.slotLimiter.Reserve(now, m.key, limiter.NewRequest(m.request.Priority(), m.request.IsNested(), m.request.MaxWait()).
		WithMaxSlowness(m.request.MaxSlowness()).WithTenant(m.request.Tenant()).WithWeight(p.tenantWeight(m.request.Tenant()))))
}

func (p *Proxy) refusalReason(r upstream.SlotRequest) string {
	if r.Service() != p.latest.service {
		return "no server of the service here"
	}
	return p.unavailableReason()
}

// reportDecision passes the limiter's decision to the requester.
func (p *Proxy) reportDecision(d limiter.Decision) {
	pending, ok := p.requests[d.Key()]
	if !ok {
		return
	}
	number := d.Key().Number()
	switch d.Status() {
	case limiter.Granted:
		pending.reply(p.withPressure(upstream.NewEvent(upstream.Offered, number).WithCost(d.Cost()).WithBusy(p.slotLimiter.IsBusy()), pending.request))
	case limiter.Queued:
		pending.reply(p.withPressure(upstream.NewEvent(upstream.Queued, number).WithCost(p.slotLimiter.Cost(p.clock.Now())), pending.request))
	case limiter.Denied:
		delete(p.requests, d.Key())
		reason := "no place"
		if !p.admits() {
			reason = p.unavailableReason()
		}
		pending.reply(p.withPressure(upstream.NewEvent(upstream.Refused, number).WithReason(reason).WithRetryAfter(p.retryAfter()), pending.request))
	}
}

// retryAfter estimates when one more request can be sent: when a slot will be free,
// which is the queued requests plus one, divided by the number of slots, times half the
// expected latency; or when the server's rate limit allows it, if that is later.
func (p *Proxy) retryAfter() time.Duration {
	batches := math.Ceil(float64(p.slotLimiter.QueueLen()+1) / float64(p.slotLimiter.Slots()))
	return max(minRetryAfter, time.Duration(batches*float64(p.expectedLatency())/2), p.slotLimiter.RateWait(p.clock.Now()))
}

func (p *Proxy) expectedLatency() time.Duration {
	if p.meanLatency == 0 {
		return defaultLatency
	}
	return p.meanLatency
}

func (p *Proxy) withdraw(key limiter.Key) {
	if _, running := p.forwarded[key]; running {
		return
	}
	delete(p.requests, key)
	p.slotLimiter.Withdraw(key)
	p.advanceQueue(p.clock.Now())
}

func (p *Proxy) handleSubmit(ctx context.Context, m *submitMessage) {
	now := p.clock.Now()
	p.noticePause(now)
	pending, ok := p.requests[m.key]
	remaining := m.request.Deadline().Sub(now)
	if !ok {
		return
	}
	if !p.admits() || remaining <= 0 || p.outlivesProcess(now, pending) || p.config.heldFor(m.request) > 0 || !p.slotLimiter.Start(now, m.key) {
		delete(p.requests, m.key)
		p.slotLimiter.Withdraw(m.key)
		pending.reply(upstream.NewEvent(upstream.NotRun, m.key.Number()).WithReason("the place was given up").WithRetryAfter(minRetryAfter))
		return
	}
	requestCtx, cancel := context.WithDeadline(ctx, m.request.Deadline())
	p.inFlight.Add(1)
	p.forwarded[m.key] = &forwardedRequest{request: m.request, cancel: cancel, started: now, slownessAtStart: p.slotLimiter.Slowness(), generation: p.generation, slot: pending.request}
	p.stated.requests++
	p.publishRunning()
	p.countRun(now, pending.request)
	conn := p.takeIdleConn(now, m.request)
	if conn == nil {
		p.evictIdleConn()
	}
	go p.forward(requestCtx, m.key, conn, m.request, p.instance, p.latest.address)
}

// forward sends one request to the server and reports the outcome to the
// proxy's task. It runs on its own goroutine, which owns the connection until
// it reports.
func (p *Proxy) forward(ctx context.Context, key limiter.Key, conn *httpclient.Conn, r *upstream.Request, instance, address string) {
	dialled := conn == nil
	defer task.Catch(func(e *task.PanicError) {
		p.inbox.Send(message{finished: &finishedMessage{key: key, result: httpclient.NewUnknown("unexpected error", e), dialled: dialled}})
		p.log.WritePanic("forward", e)
	})
	if dialled {
		var err error
		if conn, err = p.config.dial(ctx, address); err != nil {
			p.inbox.Send(message{finished: &finishedMessage{key: key, result: httpclient.NewDialFailure(err), dialled: true}})
			return
		}
	}
	remaining := r.Deadline().Sub(p.clock.Now())
	if remaining <= 0 {
		p.inbox.Send(message{finished: &finishedMessage{key: key, result: httpclient.NewNotSent("its time was over before it was sent"), conn: conn, dialled: dialled}})
		return
	}
	result := conn.Exchange(ctx, p.config.names, instance, r, remaining)
	if !result.Reusable() {
		conn = nil
	}
	p.inbox.Send(message{finished: &finishedMessage{key: key, result: result, conn: conn, dialled: dialled}})
}

func (p *Proxy) handleFinished(ctx context.Context, m *finishedMessage) {
	r, ok := p.forwarded[m.key]
	if !ok {
		return
	}
	cancelled := errors.Is(m.result.Err(), context.Canceled)
	r.cancel()
	delete(p.forwarded, m.key)
	p.inFlight.Add(-1)
	p.publishRunning()
	lost := isLost(m.result) && r.generation == p.generation
	if !lost {
		p.slotLimiter.Release(m.key)
	}
	p.keepIdle(m.conn)
	now := p.clock.Now()
	if m.dialled {
		p.observer.dialled()
	}
	if a, ok := m.result.Advisory(); ok {
		p.handleAdvisory(now, r.started, sourceRequest, r.generation, a)
	}
	p.judgeFinished(now, r, m.result)
	p.recordResult(now, m.result, now.Sub(r.started), cancelled)
	if lost {
		p.awaitVerdict(m)
		p.recordLoss(ctx, now, m.key, r.request)
	}
	p.reportIfGathered(now)
	p.endFinished(m)
	p.logRequest(now, r, m.result, cancelled)
	p.advanceQueue(now)
}

// endUnsent reports that a request was not run, unless it was sent.
func (p *Proxy) endUnsent(key limiter.Key) {
	pending, ok := p.requests[key]
	if _, running := p.forwarded[key]; running || !ok {
		return
	}
	p.withdraw(key)
	pending.reply(upstream.NewEvent(upstream.NotRun, key.Number()).WithReason("unexpected error").WithRetryAfter(minRetryAfter))
}

// endFinished passes on the outcome of a request whose slot is free already.
func (p *Proxy) endFinished(m *finishedMessage) {
	if pending, ok := p.requests[m.key]; ok {
		delete(p.requests, m.key)
		pending.reply(p.finalEvent(m.key, m.result))
	}
}

// recordResult updates the server's load, failure rate and mean latency from a
// finished request.
func (p *Proxy) recordResult(now time.Time, result *httpclient.Result, latency time.Duration, cancelled bool) {
	if report, ok := result.LoadReport(); ok {
		p.handleLoadReport(now, report)
	}
	switch {
	case cancelled:
	case result.Outcome() == httpclient.NotRun && result.Instance() != "" && result.Instance() != p.instance:
		p.fireIfAccepted(eventUnreachable)
	case result.DialFailed():
		p.slotLimiter.RecordResult(now, true)
		p.recordEnd(now)
		p.fireIfAccepted(eventUnreachable)
	case result.Outcome() == httpclient.Answered && result.Response().Status() < http.StatusInternalServerError:
		p.slotLimiter.RecordResult(now, false)
		p.meanLatency += time.Duration(latencyWeight * float64(latency-p.expectedLatency()))
		if p.meanLatency <= 0 {
			p.meanLatency = latency
		}
	default:
		p.slotLimiter.RecordResult(now, true)
	}
}

// handleLoadReport applies a load report and notifies the callers whose
// requests have become markedly slower since they started.
func (p *Proxy) handleLoadReport(now time.Time, report httpclient.LoadReport) {
	p.slotLimiter.ReportLoad(report.Outstanding(), report.Slowness())
	p.health.recordReport(now)
	slowness := p.slotLimiter.Slowness()
	for key, r := range p.forwarded {
		pending, ok := p.requests[key]
		if !ok || r.notified || !pending.request.WantsSlowdownNotice() || slowness < slowdownFactor*r.slownessAtStart {
			continue
		}
		r.notified = true
		pending.reply(upstream.NewEvent(upstream.Slowed, key.Number()).WithCost(slowness))
	}
}

func (p *Proxy) finalEvent(key limiter.Key, result *httpclient.Result) upstream.Event {
	switch result.Outcome() {
	case httpclient.Answered:
		return upstream.NewEvent(upstream.Answered, key.Number()).WithResponse(result.Response())
	case httpclient.NotRun:
		return upstream.NewEvent(upstream.NotRun, key.Number()).WithReason(result.Reason()).WithRetryAfter(minRetryAfter)
	case httpclient.Unknown:
	}
	return upstream.NewEvent(upstream.Unknown, key.Number()).WithReason(result.Reason())
}

var outcomeLabels = map[httpclient.Outcome]string{httpclient.Answered: "answered", httpclient.NotRun: "not-run", httpclient.Unknown: "unknown"}

func (p *Proxy) logRequest(now time.Time, r *forwardedRequest, result *httpclient.Result, cancelled bool) {
	outcome := outcomeLabels[result.Outcome()]
	if cancelled {
		outcome = "caller-left"
	}
	p.observer.served(p.latest.service, outcome, now.Sub(r.started))
	fields := []any{
		"request", r.request.ID(), "outcome", outcome, "took_ms", now.Sub(r.started).Milliseconds(),
		"instance", p.instance, "in_use", p.slotLimiter.InUse(), "slots", p.slotLimiter.Slots(), "slowness", p.slotLimiter.Slowness(),
	}
	if r.slot.Tenant() != "" {
		fields = append(fields, "tenant", r.slot.Tenant())
	}
	if result.Response() != nil {
		fields = append(fields, "status", result.Response().Status())
	}
	if result.Reason() != "" {
		fields = append(fields, "reason", result.Reason())
	}
	if result.Err() != nil {
		fields = append(fields, "error", result.Err().Error())
	}
	p.log.Write("server-request", fields...)
}

func (p *Proxy) cancel(key limiter.Key) {
	r, running := p.forwarded[key]
	if !running {
		p.withdraw(key)
		return
	}
	delete(p.requests, key)
	r.cancel()
}

// handleReleaseLink cancels all requests that arrived over a link that is down,
// including those in flight, because no one is left to receive their responses.
func (p *Proxy) handleReleaseLink(link uint64) {
	for key := range p.requests {
		if key.Link() == link {
			p.cancel(key)
		}
	}
}
