package serverproxy

import (
	"time"

	"savorygap.example/lib/upstream"
)

// reasonStopping is the reason for refusing a request that may outlive this process.
const reasonStopping = "node stopping"

// newPendingRequest returns the state of a slot request that arrives now.
func newPendingRequest(now time.Time, m *reserveMessage) pendingRequest {
	pending := pendingRequest{request: m.request, reply: m.reply}
	if left := m.request.TimeLeft(); left > 0 {
		pending.deadline = now.Add(left)
	}
	return pending
}

// handleStop records when this process ends.
func (p *Proxy) handleStop(s upstream.Shutdown) {
	p.shutdown = s
	p.refuseOutliving(p.clock.Now())
}

// outlivesProcess reports whether the server, if it started on the request now, could not
// be expected to end it before this process ends. Its sender would learn nothing but that
// the link is lost, and must not repeat most requests after that.
func (p *Proxy) outlivesProcess(now time.Time, r pendingRequest) bool {
	latest, limited := p.shutdown.LatestStart(r.deadline, max(r.request.ExpectedLatency(), p.expectedLatency()))
	return limited && !now.Before(latest)
}

// refuseOutliving refuses the queued requests and unused offers that may outlive this
// process.
func (p *Proxy) refuseOutliving(now time.Time) {
	for key, r := range p.requests {
		if _, running := p.forwarded[key]; running || !p.outlivesProcess(now, r) {
			continue
		}
		delete(p.requests, key)
		p.slotLimiter.Withdraw(key)
		r.reply(upstream.NewEvent(upstream.Refused, key.Number()).WithReason(reasonStopping).WithRetryAfter(p.retryAfter()))
	}
}
