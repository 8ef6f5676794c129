package serverproxy

import (
	"context"
	"math"
	"time"

	"savorygap.example/lib/downstream"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// notedStep is the change of a route's allowance that is logged and reported.
const notedStep = 0.1

// startLimits is how many runs of each route are started while services that they call are
// short of room. It exists only with the setting admission.downstream.
type startLimits struct {
	controller *downstream.Controller
	noted      map[string]float64
}

// runQuery asks which run makes a call, and counts the call.
type runQuery struct {
	id      string
	service string
	reply   task.Reply[callingRun]
}

// callingRun is a request that the server runs.
type callingRun struct {
	route    string
	priority int
}

// pressureReport is the pressure at a service that a run of a route has called.
type pressureReport struct {
	route    string
	service  string
	pressure float64
}

// WithDownstream returns the settings with downstream admission: the proxy limits how many
// runs it starts while a service that they call is short of room, and states the pressure
// at its own server. extends reports whether id is that of a call made by the run of the
// request whose id is of.
func (c Config) WithDownstream(extends func(id, of string) bool) Config {
	c.extends = extends
	return c
}

// WithAllowance returns the observer with a function that is called when the share of a
// route's requests that are started has changed markedly.
func (o Observer) WithAllowance(allowance func(route string, share float64)) Observer {
	o.allowance = allowance
	return o
}

func newStartLimits(config Config) *startLimits {
	if config.extends == nil {
		return nil
	}
	return &startLimits{controller: downstream.New(), noted: map[string]float64{}}
}

// newLimiter returns the limiter of an instance.
func (p *Proxy) newLimiter(slots int) *limiter.Limiter {
	l := limiter.New(slots)
	if p.config.extends != nil {
		l.TrackPressure()
	}
	return l
}

// refusesStart refuses a request whose run would call a service that is short of room. A
// nested call belongs to a run that has begun, so it is never refused for this reason.
func (p *Proxy) refusesStart(now time.Time, m *reserveMessage) bool {
	if p.starts == nil || m.request.IsNested() {
		return false
	}
	route := m.request.Route()
	p.noteAllowance(now, route)
	if p.starts.controller.Admits(now, route, m.request.RequestID()) {
		return false
	}
	m.reply(upstream.NewEvent(upstream.Refused, m.key.Number()).WithReason(downstream.Reason).WithRetryAfter(p.starts.controller.RetryAfter(now, route)))
	return true
}

// noteAllowance logs and reports the allowance of a route if it has changed markedly.
func (p *Proxy) noteAllowance(now time.Time, route string) {
	allowance := p.starts.controller.Allowance(now, route)
	before, noted := p.starts.noted[route]
	if !noted {
		before = 1
	}
	if math.Abs(allowance-before) < notedStep && (allowance < 1 || before == 1) {
		return
	}
	p.starts.noted[route] = allowance
	if allowance == 1 {
		delete(p.starts.noted, route)
	}
	pressure, service := p.starts.controller.Pressure(now, route)
	p.log.Write("start-allowance", "route", route, "allowance", allowance, "before", before, "pressure", pressure, "service", service)
	if p.observer.allowance != nil {
		p.observer.allowance(route, allowance)
	}
}

// countRun counts a run that was sent to the server.
func (p *Proxy) countRun(now time.Time, r upstream.SlotRequest) {
	if p.starts != nil {
		p.starts.controller.RecordRun(now, r.Route())
	}
}

// withPressure adds the pressure at the server to a reply to a nested call.
func (p *Proxy) withPressure(e upstream.Event, r upstream.SlotRequest) upstream.Event {
	if p.starts == nil || !r.IsNested() {
		return e
	}
	return e.WithPressure(p.slotLimiter.Pressure(p.clock.Now(), r.Priority()))
}

// handleRunQuery finds the run whose id the call extends: the longest, since runs may be
// nested calls themselves.
func (p *Proxy) handleRunQuery(q *runQuery) {
	var found *forwardedRequest
	var run callingRun
	for key, r := range p.forwarded {
		pending, ok := p.requests[key]
		if !ok || p.config.extends == nil || !p.config.extends(q.id, r.request.ID()) || (found != nil && len(found.request.ID()) >= len(r.request.ID())) {
			continue
		}
		found, run = r, callingRun{route: pending.request.Route(), priority: pending.request.Priority()}
	}
	if found != nil {
		p.starts.controller.RecordCall(p.clock.Now(), run.route, q.service)
	}
	q.reply <- run
}

// handlePressure applies the pressure at a called service.
func (p *Proxy) handlePressure(m *pressureReport) {
	if p.starts != nil {
		now := p.clock.Now()
		p.starts.controller.RecordPressure(now, m.route, m.service, m.pressure)
		p.noteAllowance(now, m.route)
	}
}

// CallingRun returns the route and the priority of the run that makes the nested call id to
// the service. It returns false if the server runs no such request, for example because an
// earlier process of this node has sent it.
func (p *Proxy) CallingRun(ctx context.Context, id, service string) (route string, priority int, ok bool) {
	reply := task.NewReply[callingRun]()
	if !p.inbox.Send(message{runQuery: &runQuery{id: id, service: service, reply: reply}}) {
		return "", 0, false
	}
	run, ok := reply.Wait(ctx, p.inbox.Done())
	return run.route, run.priority, ok && run.route != ""
}

// ReportPressure states the pressure at a service that a run of the route has called.
func (p *Proxy) ReportPressure(route, service string, pressure float64) {
	p.inbox.TrySend(message{pressure: &pressureReport{route: route, service: service, pressure: pressure}})
}
