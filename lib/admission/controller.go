// Package admission decides which requests a server may hold at once.
//
// A Gate belongs to the one node beside the server. It keeps the exact count
// of requests in flight, a limit that adapts to the server, and a bounded,
// deadline-aware queue by class. Every request passes it, so its counts are
// never stale. A refusal is certain: a refused request was not run.
//
// The life of the server is the chart "server"; the gate fires its events and
// asks its tags, so that the file decides in which states requests are
// admitted.
//
// # Usage
//
//	g, err := admission.New(serverChart, slots, now)
//	d := g.Offer(now, admission.NewTicket(id, class, depth, deadline))
//	for _, d := range g.Finish(now, id, admission.ResultGood, latency) { ... }
//	for _, d := range g.Tick(now) { ... }
//
// A Gate has no clock and no goroutine: every method takes the time, and the
// task that owns the gate calls it. The idea that cheap requests bypass queued
// ones is the cost threshold of M. Kirkwood, "Statement Queuing (Take II)",
// 2006.
package admission

import (
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
)

// Events of the chart "server" that other packages fire through Signal.
const (
	EventDrain   chart.Event = "drain"
	EventSilent  chart.Event = "silent"
	EventLeave   chart.Event = "leave"
	EventSuspend chart.Event = "suspend"
	EventResume  chart.Event = "resume"
	EventRestart chart.Event = "restart"
	EventExpire  chart.Event = "expire"
)

const (
	eventEvidence chart.Event = "evidence"
	eventCollapse chart.Event = "collapse"
	eventFull     chart.Event = "full"
	eventShrink   chart.Event = "shrink"

	tagAdmitting chart.Tag = "admitting"
	tagFloor     chart.Tag = "floor"
	tagGrowing   chart.Tag = "growing"
)

// Controller guards one server.
type Controller struct {
	machine  *chart.Machine
	limiter  *limiter
	queue    queue
	running  map[ID]running
	shares   shares
	breaches int
}

type running struct {
	ticket  Request
	granted time.Time
}

// New returns a gate for a server with the declared number of slots. The
// server starts cold.
func New(serverChart *chart.Chart, slots int, now time.Time) (*Controller, error) {
	g := &Controller{limiter: newLimiter(max(slots, 1)), running: map[ID]running{}}
	g.queue.capacity = queuePerSlot * max(slots, 1)
	g.limiter.lastGrown = now
	machine, err := serverChart.Start(chart.Actions{"toFloor": g.limiter.toFloor})
	if err != nil {
		return nil, err
	}
	g.machine = machine
	return g, nil
}

// State returns the state of the server's life cycle.
func (g *Controller) State() chart.State { return g.machine.State() }

// InFlight returns the exact number of requests that the server holds.
func (g *Controller) InFlight() int { return len(g.running) }

// Limit returns how many requests the server may hold now.
func (g *Controller) Limit() int { return g.limiter.current() }

// Slots returns the declared number of slots.
func (g *Controller) Slots() int { return g.limiter.slots }

// QueueLen returns how many requests wait.
func (g *Controller) QueueLen() int { return g.queue.len() }

// Admits reports whether new requests are taken in the current state.
func (g *Controller) Admits() bool { return g.machine.Has(tagAdmitting) }

// InvariantBreaches returns how often an invariant of the gate did not hold; it is 0 in
// a sound program.
func (g *Controller) InvariantBreaches() int { return g.breaches }

// Report returns what travels with the next answer.
func (g *Controller) Report() load.Report {
	latency := time.Duration(g.limiter.recent.value * float64(time.Second))
	return load.NewReport(g.Limit(), g.InFlight(), g.QueueLen(), latency).
		WithFailing(g.limiter.failing()).WithClosed(!g.Admits())
}

// Submit asks for a slot. The decision is final unless it is Queued.
func (g *Controller) Submit(now time.Time, t Request) Decision {
	if !g.Admits() {
		return refuse(t.id, ReasonClosed)
	}
	t.offered = now
	g.shares.see(now, t)
	fits := func(t Request) bool { return g.fits(now, t) }
	if g.fits(now, t) && !g.queue.anyFits(fits) {
		g.grant(now, t)
		return Decision{id: t.id, verdict: Granted}
	}
	if reason := g.mayWait(now, t); reason != ReasonNone {
		return refuse(t.id, reason)
	}
	g.queue.push(t)
	return Decision{id: t.id, verdict: Queued}
}

// mayWait returns why a ticket cannot join the queue, or ReasonNone.
func (g *Controller) mayWait(now time.Time, t Request) Reason {
	if g.queue.full(t) {
		return ReasonQueueFull
	}
	wait := g.expectedWait(t)
	if now.Add(wait + g.limiter.typical(t.class)).After(t.deadline) {
		return ReasonDeadline
	}
	if t.impatient && wait > max(impatientMin, g.limiter.typical(t.class)/impatientShare) {
		return ReasonBusy
	}
	return ReasonNone
}

// expectedWait estimates how long a ticket would queue: the work ahead of it
// divided by the limit.
func (g *Controller) expectedWait(t Request) time.Duration {
	ahead := g.queue.ahead(t) + 1
	service := time.Duration(g.limiter.recent.value * float64(time.Second))
	return service * time.Duration(ahead) / time.Duration(max(g.Limit(), 1))
}

func (g *Controller) fits(now time.Time, t Request) bool {
	inFlight := len(g.running)
	if inFlight >= g.Limit() {
		return false
	}
	return g.shares.allow(now, t, g.Limit(), inFlight, g.running)
}

func (g *Controller) grant(now time.Time, t Request) {
	g.running[t.id] = running{ticket: t, granted: now}
	g.checkInvariants()
}

func (g *Controller) checkInvariants() {
	sound := len(g.running) <= g.Limit() && g.Limit() <= g.Slots()
	cold := !g.machine.Has(tagFloor) || float64(g.Limit()) <= g.limiter.floor
	if !sound || !cold || !g.Admits() {
		g.breaches++
	}
}

// Finish ends a granted request. latency is the time to the head of the
// server's answer. The result holds the decisions on queued requests that
// follow.
func (g *Controller) Finish(now time.Time, id ID, result Result, latency time.Duration) []Decision {
	r, ok := g.running[id]
	if !ok {
		return nil
	}
	busy := float64(len(g.running)) >= busyShare*g.limiter.limit
	delete(g.running, id)
	bad := g.limiter.observe(r.ticket.class, result, latency)
	g.adapt(now, result, bad, busy)
	return g.drainQueue(now)
}

func (g *Controller) adapt(now time.Time, result Result, bad, busy bool) {
	switch {
	case g.limiter.mustCollapse():
		g.collapse()
	case result == ResultOverload:
		g.shrink(shedDecrease)
	case result == ResultIgnored || bad:
	case g.limiter.ease():
		g.fire(eventShrink)
	case busy:
		g.advance(now)
	}
}

func (g *Controller) collapse() {
	if !g.machine.Has(tagFloor) {
		g.limiter.slowDown()
	}
	g.fire(eventCollapse)
}

func (g *Controller) shrink(factor float64) {
	if g.limiter.lower(factor) {
		g.fire(eventShrink)
	}
}

// advance counts a good answer at high use as evidence that the server bears
// more.
func (g *Controller) advance(now time.Time) {
	g.limiter.evidence++
	if g.machine.Has(tagFloor) && g.limiter.evidence >= evidenceAnswers {
		g.fire(eventEvidence)
	}
	if g.machine.Has(tagGrowing) && g.limiter.grow(now) && g.limiter.full() {
		g.limiter.growInterval = minGrowInterval
		g.fire(eventFull)
	}
}

// fire fires an event that the current state may not take; such events say
// nothing new in that state.
func (g *Controller) fire(e chart.Event) {
	if g.machine.Accepts(e) {
		_ = g.machine.Fire(e)
	}
}

// HandleEvent fires an event that came from the server or the configuration. When
// the gate closes, all queued requests are refused. It returns
// *chart.UnexpectedEventError for an event that does not fit the state.
func (g *Controller) HandleEvent(now time.Time, e chart.Event) ([]Decision, error) {
	if err := g.machine.Fire(e); err != nil {
		return nil, err
	}
	if e == EventRestart || e == EventResume {
		g.limiter.lastGrown = now
	}
	if !g.Admits() {
		return g.refuseAll(ReasonClosed), nil
	}
	return g.drainQueue(now), nil
}

// Cancel removes a queued ticket whose caller left. It reports whether the
// ticket was queued.
func (g *Controller) Cancel(id ID) bool { return g.queue.remove(id) }

// Tick refuses queued requests whose time is over, collapses the limit when
// requests are stuck, and grants what fits.
func (g *Controller) Tick(now time.Time) []Decision {
	if g.stuck(now) >= stuckForCollapse && !g.machine.Has(tagFloor) {
		g.collapse()
	}
	return g.drainQueue(now)
}

func (g *Controller) stuck(now time.Time) int {
	n := 0
	for _, r := range g.running {
		if now.Sub(r.granted) > g.limiter.stuckAfter(r.ticket.class) {
			n++
		}
	}
	return n
}

func (g *Controller) drainQueue(now time.Time) []Decision {
	decisions := g.expire(now)
	for {
		t, ok := g.pop(now)
		if !ok {
			return decisions
		}
		g.grant(now, t)
		decisions = append(decisions, Decision{id: t.id, verdict: Granted})
	}
}

func (g *Controller) pop(now time.Time) (Request, bool) {
	if len(g.running) >= g.Limit() {
		return Request{}, false
	}
	return g.queue.pop(func(t Request) bool { return g.fits(now, t) })
}

func (g *Controller) expire(now time.Time) []Decision {
	var decisions []Decision
	for _, id := range g.queue.expire(func(t Request) bool { return g.tooLate(now, t) }) {
		decisions = append(decisions, refuse(id, ReasonDeadline))
	}
	return decisions
}

// tooLate reports whether a queued ticket can no longer finish in time. A
// nested call waits for a bounded time, since its caller holds a slot of
// another server: this ends rings of services that wait for each other.
func (g *Controller) tooLate(now time.Time, t Request) bool {
	if now.Add(g.limiter.typical(t.class)).After(t.deadline) {
		return true
	}
	return t.depth > 0 && now.Sub(t.offered) > nestedWait
}

func (g *Controller) refuseAll(reason Reason) []Decision {
	var decisions []Decision
	for _, id := range g.queue.expire(func(Request) bool { return true }) {
		decisions = append(decisions, refuse(id, reason))
	}
	return decisions
}

func refuse(id ID, reason Reason) Decision {
	return Decision{id: id, verdict: Refused, reason: reason}
}

// ClassQueueLen returns how many requests of a class wait.
func (g *Controller) ClassQueueLen(class document.Class) int { return g.queue.lenOf(class) }
