// Package admission implements admission control for one server.
//
// A Controller runs on the server's host, in the only node that sends requests
// to the server, so it knows the exact number of requests in flight. It adapts a
// concurrency limit to the server's latency and failures, and keeps a bounded
// priority queue that takes deadlines into account. A refused request was
// definitely not run.
//
// The server's life cycle is the state chart "server". The controller fires
// its events and checks its tags, so the chart file decides in which states
// requests are admitted.
//
// # Usage
//
//	c, err := admission.New(serverChart, slots, now)
//	d := c.Submit(now, admission.NewRequest(id, class, depth, deadline))
//	for _, d := range c.Finish(now, id, admission.ResultSuccess, latency) { ... }
//	for _, d := range c.Tick(now) { ... }
//
// A Controller has no clock and no goroutine: the task that owns it passes the
// time to every method.
//
// Cheap requests bypass other queued requests. This follows the cost threshold
// of M. Kirkwood, "Statement Queuing (Take II)", 2006.
package admission

import (
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
)

// Events of the chart "server" that other packages pass to HandleEvent.
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

// Controller limits the number of concurrent requests to one server.
type Controller struct {
	machine           *chart.Machine
	limiter           *limiter
	queue             queue
	inFlight          map[ID]inFlightRequest
	reservations      reservations
	invariantBreaches int
}

type inFlightRequest struct {
	request   Request
	grantedAt time.Time
}

// New returns a controller for a server that declared the given number of
// slots. The server starts in the state cold.
func New(serverChart *chart.Chart, slots int, now time.Time) (*Controller, error) {
	c := &Controller{limiter: newLimiter(max(slots, 1)), inFlight: map[ID]inFlightRequest{}}
	c.queue.capacity = queueCapacityPerSlot * max(slots, 1)
	c.limiter.lastIncrease = now
	machine, err := serverChart.NewMachine(chart.Actions{"toFloor": c.limiter.resetToFloor})
	if err != nil {
		return nil, err
	}
	c.machine = machine
	return c, nil
}

// State returns the state of the server's life cycle.
func (c *Controller) State() chart.State { return c.machine.State() }

// InFlight returns the number of granted requests that have not finished.
func (c *Controller) InFlight() int { return len(c.inFlight) }

// Limit returns the current concurrency limit.
func (c *Controller) Limit() int { return c.limiter.current() }

// Slots returns the declared number of slots.
func (c *Controller) Slots() int { return c.limiter.slots }

// QueueLen returns the number of queued requests.
func (c *Controller) QueueLen() int { return c.queue.len() }

// Admits reports whether the current state admits new requests.
func (c *Controller) Admits() bool { return c.machine.HasTag(tagAdmitting) }

// InvariantBreaches returns how often a check of the controller's invariants
// failed. Any value but 0 is a bug.
func (c *Controller) InvariantBreaches() int { return c.invariantBreaches }

// Report returns the load report to send with the next response.
func (c *Controller) Report() load.Report {
	latency := time.Duration(c.limiter.recentLatency.value * float64(time.Second))
	return load.NewReport(c.Limit(), c.InFlight(), c.QueueLen(), latency).
		WithFailing(c.limiter.failing()).WithClosed(!c.Admits())
}

// Submit requests a slot. The decision is final unless its status is Queued;
// the final decision on a queued request is returned by a later call of Finish,
// HandleEvent or Tick.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	if !c.Admits() {
		return refuse(r.id, ReasonClosed)
	}
	r.submittedAt = now
	c.reservations.recordArrival(now, r)
	canGrant := func(r Request) bool { return c.canGrant(now, r) }
	if c.canGrant(now, r) && !c.queue.anyGrantable(canGrant) {
		c.grant(now, r)
		return Decision{id: r.id, status: Granted}
	}
	if reason := c.queueRefusalReason(now, r); reason != ReasonNone {
		return refuse(r.id, reason)
	}
	c.queue.push(r)
	return Decision{id: r.id, status: Queued}
}

// queueRefusalReason returns why a request cannot be queued, or ReasonNone.
func (c *Controller) queueRefusalReason(now time.Time, r Request) Reason {
	if c.queue.full(r) {
		return ReasonQueueFull
	}
	wait := c.expectedWait(r)
	if now.Add(wait + c.limiter.expectedLatency(r)).After(r.deadline) {
		return ReasonDeadline
	}
	if r.failFast && wait > max(failFastMinWait, c.limiter.expectedLatency(r)/failFastWaitDivisor) {
		return ReasonBusy
	}
	return ReasonNone
}

// expectedWait estimates the queueing time of a request: the number of requests
// ahead of it, times the recent latency, divided by the limit.
func (c *Controller) expectedWait(r Request) time.Duration {
	ahead := c.queue.countAhead(r) + 1
	latency := time.Duration(c.limiter.recentLatency.value * float64(time.Second))
	return latency * time.Duration(ahead) / time.Duration(max(c.Limit(), 1))
}

// canGrant reports whether r may take a slot now, given the limit and the
// reservations.
func (c *Controller) canGrant(now time.Time, r Request) bool {
	inFlight := len(c.inFlight)
	if inFlight >= c.Limit() {
		return false
	}
	return c.reservations.allows(now, r, c.Limit(), inFlight, c.inFlight)
}

func (c *Controller) grant(now time.Time, r Request) {
	c.inFlight[r.id] = inFlightRequest{request: r, grantedAt: now}
	c.checkInvariants()
}

func (c *Controller) checkInvariants() {
	withinLimits := len(c.inFlight) <= c.Limit() && c.Limit() <= c.Slots()
	withinFloor := !c.machine.HasTag(tagFloor) || float64(c.Limit()) <= c.limiter.floor
	if !withinLimits || !withinFloor || !c.Admits() {
		c.invariantBreaches++
	}
}

// Finish releases the slot of a granted request and adapts the limit. latency
// is the time until the response head arrived. It returns the resulting
// decisions on queued requests.
func (c *Controller) Finish(now time.Time, id ID, result Result, latency time.Duration) []Decision {
	r, ok := c.inFlight[id]
	if !ok {
		return nil
	}
	highUse := float64(len(c.inFlight)) >= highUseRatio*c.limiter.limit
	delete(c.inFlight, id)
	bad := c.limiter.record(r.request, result, latency)
	c.adjustLimit(now, result, bad, highUse)
	return c.grantQueued(now)
}

// adjustLimit adapts the limit after a result. highUse tells whether the request
// finished while at least highUseRatio of the limit was in use; only then does a
// good response raise the limit.
func (c *Controller) adjustLimit(now time.Time, result Result, bad, highUse bool) {
	switch {
	case c.limiter.shouldCollapse():
		c.collapse()
	case result == ResultOverload:
		c.reduceLimit(overloadBackoffRatio)
	case result == ResultIgnored || bad:
	case c.limiter.reduceOnHighLatency():
		c.fireIfAccepted(eventShrink)
	case highUse:
		c.increaseLimit(now)
	}
}

// collapse fires the event that resets the limit to the floor. It also slows down
// later increases, unless the server was cold already.
func (c *Controller) collapse() {
	if !c.machine.HasTag(tagFloor) {
		c.limiter.backOffIncrease()
	}
	c.fireIfAccepted(eventCollapse)
}

func (c *Controller) reduceLimit(factor float64) {
	if c.limiter.reduce(factor) {
		c.fireIfAccepted(eventShrink)
	}
}

// increaseLimit counts a good response at high use towards the end of the cold
// state, and raises the limit while the server ramps up.
func (c *Controller) increaseLimit(now time.Time) {
	c.limiter.goodResponses++
	if c.machine.HasTag(tagFloor) && c.limiter.goodResponses >= rampUpResponses {
		c.fireIfAccepted(eventEvidence)
	}
	if c.machine.HasTag(tagGrowing) && c.limiter.increase(now) && c.limiter.atMaximum() {
		c.limiter.increaseInterval = minIncreaseInterval
		c.fireIfAccepted(eventFull)
	}
}

// fireIfAccepted fires an event unless the current state has no transition for
// it. Such an event carries no new information in that state.
func (c *Controller) fireIfAccepted(e chart.Event) {
	if c.machine.Accepts(e) {
		_ = c.machine.Fire(e)
	}
}

// HandleEvent fires an event that came from the server or the configuration. If
// the new state admits no requests, all queued requests are refused. It returns
// *chart.UnexpectedEventError if the current state does not accept the event.
func (c *Controller) HandleEvent(now time.Time, e chart.Event) ([]Decision, error) {
	if err := c.machine.Fire(e); err != nil {
		return nil, err
	}
	if e == EventRestart || e == EventResume {
		c.limiter.lastIncrease = now
	}
	if !c.Admits() {
		return c.refuseQueued(ReasonClosed), nil
	}
	return c.grantQueued(now), nil
}

// Cancel removes a request from the queue, for example when its caller
// disconnected. It reports whether the request was queued.
func (c *Controller) Cancel(id ID) bool { return c.queue.remove(id) }

// Tick collapses the limit when requests are stuck, refuses queued requests that
// can no longer finish in time, and grants those that fit within the limit.
func (c *Controller) Tick(now time.Time) []Decision {
	if c.countStuck(now) >= stuckCollapseThreshold && !c.machine.HasTag(tagFloor) {
		c.collapse()
	}
	return c.grantQueued(now)
}

func (c *Controller) countStuck(now time.Time) int {
	n := 0
	for _, r := range c.inFlight {
		if now.Sub(r.grantedAt) > c.limiter.stuckThreshold(r.request) {
			n++
		}
	}
	return n
}

func (c *Controller) grantQueued(now time.Time) []Decision {
	decisions := c.refuseExpired(now)
	for {
		r, ok := c.nextGrantable(now)
		if !ok {
			return decisions
		}
		c.grant(now, r)
		decisions = append(decisions, Decision{id: r.id, status: Granted})
	}
}

func (c *Controller) nextGrantable(now time.Time) (Request, bool) {
	if len(c.inFlight) >= c.Limit() {
		return Request{}, false
	}
	return c.queue.pop(func(r Request) bool { return c.canGrant(now, r) })
}

func (c *Controller) refuseExpired(now time.Time) []Decision {
	var decisions []Decision
	for _, id := range c.queue.removeIf(func(r Request) bool { return c.expired(now, r) }) {
		decisions = append(decisions, refuse(id, ReasonDeadline))
	}
	return decisions
}

// expired reports whether a queued request can no longer finish in time. The
// caller of a nested call holds a slot of another server, so nested calls wait
// for at most maxNestedWait. This resolves cyclic waits between services.
func (c *Controller) expired(now time.Time, r Request) bool {
	if now.Add(c.limiter.expectedLatency(r)).After(r.deadline) {
		return true
	}
	return r.depth > 0 && now.Sub(r.submittedAt) > maxNestedWait
}

func (c *Controller) refuseQueued(reason Reason) []Decision {
	var decisions []Decision
	for _, id := range c.queue.removeIf(func(Request) bool { return true }) {
		decisions = append(decisions, refuse(id, reason))
	}
	return decisions
}

func refuse(id ID, reason Reason) Decision {
	return Decision{id: id, status: Refused, reason: reason}
}

// ClassQueueLen returns the number of queued requests of a class.
func (c *Controller) ClassQueueLen(class document.Class) int { return c.queue.lenOf(class) }
