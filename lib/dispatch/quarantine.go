package dispatch

import (
	"context"
	"time"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

// verdictDelay is how long a request waits before it is sent to another server if the node
// beside the first one has not stated whether that has ended: the link was lost, or the node
// is of an earlier release. The node finds out meanwhile, and tells all nodes.
const verdictDelay = 20 * time.Millisecond

// holds are the requests that are held, and until when. A map is not changed once it is
// published.
type holds map[quarantine.Fingerprint]time.Time

// ApplySuspicions applies what this node or another one has seen of requests under which
// servers ended.
func (r *Router) ApplySuspicions(records []quarantine.Record) {
	r.inbox.Send(message{suspicions: records})
}

// HeldRequests returns the requests that are held, for a node that has just been linked.
func (r *Router) HeldRequests() []quarantine.Record {
	now := r.clock.Now()
	var records []quarantine.Record
	for f, until := range *r.held.Load() {
		if until.After(now) {
			records = append(records, quarantine.NewRecord(f, quarantine.Held, until.Sub(now)))
		}
	}
	return records
}

// HeldFor returns how long the request is still held, 0 if it is not.
func (r *Router) HeldFor(request *upstream.Request) time.Duration {
	held := *r.held.Load()
	if len(held) == 0 {
		return 0
	}
	return max(0, held[quarantine.FingerprintOf(request)].Sub(r.clock.Now()))
}

// applySuspicions updates the ledger and publishes what is held.
func (r *Router) applySuspicions(records []quarantine.Record) {
	now := r.clock.Now()
	held, refuted := r.ledger.Apply(now, records)
	for _, f := range held {
		r.log.Write("request-held", "fingerprint", uint64(f), "suspects", r.ledger.Suspects())
	}
	r.publishHolds(now)
	for _, f := range refuted {
		r.observer.cleared(quarantine.NewRecord(f, quarantine.Cleared, 0))
	}
}

// recordSuccess records that a server has finished a request, and tells the other nodes if
// it was suspected.
func (r *Router) recordSuccess(f quarantine.Fingerprint) {
	now := r.clock.Now()
	if !r.ledger.RecordSuccess(now, f) {
		return
	}
	r.log.Write("request-cleared", "fingerprint", uint64(f), "suspects", r.ledger.Suspects())
	r.publishHolds(now)
	r.observer.cleared(quarantine.NewRecord(f, quarantine.Cleared, 0))
}

func (r *Router) publishHolds(now time.Time) {
	held := holds(r.ledger.Held(now))
	r.held.Store(&held)
	ambiguous := holds(r.ledger.Ambiguous(now))
	r.ambiguous.Store(&ambiguous)
}

// isHeld reports whether the call is held, and if so, records why and until when.
func (p *pendingCall) isHeld() bool {
	left := p.router.HeldFor(p.call.request)
	if left > 0 {
		p.reason, p.retryAfter = "held: servers ended while they were at work on it", left
	}
	return left > 0
}

// awaitVerdict waits for verdictDelay. It returns false if the call's time is over.
func (p *pendingCall) awaitVerdict(ctx context.Context) bool {
	timer := p.router.clock.NewTimer(verdictDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
