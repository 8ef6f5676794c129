package dispatch

import "time"

// comesTooLate reports whether the node stops and no longer accepts the call. The time at
// which it was read counts, which for a long body is later than that of its header.
func (p *pendingCall) comesTooLate() bool {
	stop := p.router.stop.Load()
	return stop != nil && p.router.clock.Now().After(stop.lastAccepted) && stop.shutdown.Outlives(p.deadline)
}

// latestStart returns the last time at which a server may start on the call, because
// this process ends. It reports false if there is no such limit.
func (p *pendingCall) latestStart() (time.Time, bool) {
	stop := p.router.stop.Load()
	if stop == nil {
		return time.Time{}, false
	}
	return stop.shutdown.LatestStart(p.deadline, p.expectedLatency())
}

// expectedLatency returns how long a server is expected to take for the call.
func (p *pendingCall) expectedLatency() time.Duration {
	switch {
	case p.plan.meanLatency > 0:
		return p.plan.meanLatency
	case p.plan.route.LatencyObjective() > 0:
		return p.plan.route.LatencyObjective()
	}
	return p.deadline.Sub(p.call.received)
}
