package dispatch

import (
	"context"

	"savorygap.example/lib/downstream"
	"savorygap.example/lib/upstream"
)

// WithDownstream returns the settings with downstream admission. callingRun returns the
// route and the priority of the run, on this host, that makes the nested call id to a
// service; reportPressure is called with the pressure that servers of the service replied
// with.
func (c Config) WithDownstream(callingRun func(ctx context.Context, id, service string) (route string, priority int, ok bool), reportPressure func(route, service string, pressure float64)) Config {
	c.callingRun, c.reportPressure = callingRun, reportPressure
	return c
}

// findCallingRun finds the run that makes a nested call. The call takes the priority of
// that run, since it is as urgent as the request that waits for it.
func (p *pendingCall) findCallingRun(ctx context.Context) {
	if !p.call.nested || p.router.config.callingRun == nil {
		return
	}
	if route, priority, ok := p.router.config.callingRun(ctx, p.call.request.ID(), p.plan.service); ok {
		p.callerRoute, p.callerPriority = route, priority
	}
}

// reportPressure passes on the mean pressure that the servers asked replied with.
func (p *pendingCall) reportPressure(s *slotSearch) {
	if p.callerRoute != "" && s.pressureReplies > 0 {
		p.router.config.reportPressure(p.callerRoute, p.plan.service, s.pressureSum/float64(s.pressureReplies))
	}
}

// minFinalReplies is how many servers must refuse a request because a called service is
// short of room before the search ends: a single node may see more pressure than others.
const minFinalReplies = 2

// isFinalRefusal reports whether a refusal holds at all servers of the service, so that
// asking others would only cost messages.
func isFinalRefusal(e upstream.Event) bool {
	return e.Kind() == upstream.Refused && e.Reason() == downstream.Reason
}
