// Package downstream decides how many runs of a route the node beside a server starts
// while a service that these runs call is short of room.
//
// The node learns from the calls that its server makes which services the runs of a route
// call, and how often. The replies to these calls carry the pressure at the called
// service. Each route has an allowance, the share of its requests that are started.
//
// # Usage
//
//	c := downstream.New()
//	c.RecordRun(now, route)
//	c.RecordCall(now, route, "stock")
//	c.RecordPressure(now, route, "stock", pressure)
//	if !c.Admits(now, route, requestID) { refuse(downstream.Reason, c.RetryAfter(now, route)) }
//
// A Controller reads no clock and starts no goroutine: the task that owns it passes the
// time to each call.
package downstream

import (
	"math"
	"time"
)

// Reason is the reason of a refusal because a called service is short of room. It holds at
// all servers of the calling service alike, so no other one is asked.
const Reason = "called service is short of room"

const (
	// minAllowance bounds what a route loses. Operators count a kind of request as starved
	// that is served less than a quarter as often as others, and without runs nothing
	// would be heard of the called service.
	minAllowance = 0.3
	// minPressure is the pressure up to which nothing is reduced: callers tolerate that a
	// less urgent kind is served more often by 5 in 100, and single refusals are noise.
	minPressure = 0.05
	// decreaseRate and increase are how fast the allowance moves: down by a factor of e in
	// 1/decreaseRate seconds, up by increase a second. Pressure is counted over a second
	// and smoothed for about another, so a faster decrease would act twice on the same
	// pressure, and a faster increase lets the reports of many nodes get ahead. Waves of
	// load with a period of 15 s can be followed. Figures: docs/design/downstream-admission.md.
	decreaseRate = 0.8
	increase     = 0.3
	// maxElapsed bounds the time that one step accounts for.
	maxElapsed = time.Second
	// pressureHalfLife is the time in which reported pressure loses half its weight, and
	// pressureMemory the time after the last report in which the pressure counts as gone,
	// however many reports there were before.
	pressureHalfLife = 500 * time.Millisecond
	pressureMemory   = 2 * time.Second
	// countHalfLife is the time in which counted runs and calls lose half their weight: a
	// route with one request a second still has some ten to count.
	countHalfLife = 10 * time.Second
	// idleAfter is when a route without runs and requests is forgotten.
	idleAfter = time.Minute
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told
	// to return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
)

// Controller holds the allowance of each route.
type Controller struct {
	routes map[string]*route
}

type route struct {
	allowance float64
	steppedAt time.Time
	runs      fadingSum
	services  map[string]*calledService
}

type calledService struct {
	calls            fadingSum
	pressure, weight fadingSum
}

// New returns a controller in which every route has an allowance of 1.
func New() *Controller { return &Controller{routes: map[string]*route{}} }

// RecordRun counts a run of the route that was sent to the server.
func (c *Controller) RecordRun(now time.Time, name string) {
	r, ok := c.routes[name]
	if !ok {
		c.forgetIdle(now)
		r = &route{allowance: 1, steppedAt: now, services: map[string]*calledService{}}
		c.routes[name] = r
	}
	r.runs.add(now, 1, countHalfLife)
}

// forgetIdle removes routes of earlier configurations.
func (c *Controller) forgetIdle(now time.Time) {
	for name, r := range c.routes {
		if now.Sub(r.runs.at) > idleAfter {
			delete(c.routes, name)
		}
	}
}

// RecordCall counts a call to the service by a run of the route.
func (c *Controller) RecordCall(now time.Time, name, service string) {
	if r, ok := c.routes[name]; ok {
		r.called(service).calls.add(now, 1, countHalfLife)
	}
}

func (r *route) called(service string) *calledService {
	s, ok := r.services[service]
	if !ok {
		s = &calledService{}
		r.services[service] = s
	}
	return s
}

// RecordPressure records the pressure at the service that the replies to a call by a run
// of the route stated. A sum that once held NaN or infinity would hold it for ever, so a number
// that is no share counts as the nearest one, and NaN not at all.
func (c *Controller) RecordPressure(now time.Time, name, service string, pressure float64) {
	r, ok := c.routes[name]
	if !ok || math.IsNaN(pressure) {
		return
	}
	pressure = max(0, min(pressure, 1))
	r.step(now)
	s := r.called(service)
	s.pressure.add(now, pressure, pressureHalfLife)
	s.weight.add(now, 1, pressureHalfLife)
}

// Allowance returns the share of the route's requests that are started.
func (c *Controller) Allowance(now time.Time, name string) float64 {
	r, ok := c.routes[name]
	if !ok {
		return 1
	}
	r.step(now)
	return r.allowance
}

// Admits reports whether a run of the route is started for the request. A request is
// placed in [0, 1) by its id and started if its place is below the allowance. All servers
// of the service that are asked for it so decide alike, as far as their allowances agree:
// were each to count on its own, one of five would nearly always accept.
func (c *Controller) Admits(now time.Time, name, requestID string) bool {
	allowance := c.Allowance(now, name)
	return allowance >= 1 || place(requestID) < allowance
}

// RetryAfter returns when a refused caller is told to return: later the more are refused.
func (c *Controller) RetryAfter(now time.Time, name string) time.Duration {
	return min(maxRetryAfter, time.Duration(float64(minRetryAfter)/c.Allowance(now, name)))
}

// Pressure returns the highest pressure at a service that runs of the route call, less if
// not every run calls it, and that service.
func (c *Controller) Pressure(now time.Time, name string) (pressure float64, service string) {
	if r, ok := c.routes[name]; ok {
		return r.pressure(now)
	}
	return 0, ""
}

func (r *route) pressure(now time.Time) (highest float64, service string) {
	runs := max(1, r.runs.value(now, countHalfLife))
	for name, s := range r.services {
		weight := s.weight.value(now, pressureHalfLife)
		if weight == 0 || now.Sub(s.weight.at) >= pressureMemory {
			continue
		}
		callsPerRun := s.calls.value(now, countHalfLife) / runs
		if p := min(1, callsPerRun) * s.pressure.value(now, pressureHalfLife) / weight; p > highest {
			highest, service = p, name
		}
	}
	return highest, service
}

// step moves the allowance by the time since the last step. Under pressure it falls to the
// share that the called service's own requests are served by, and not below, so that both
// share the shortage alike.
func (r *route) step(now time.Time) {
	elapsed := min(now.Sub(r.steppedAt), maxElapsed).Seconds()
	r.steppedAt = now
	pressure, _ := r.pressure(now)
	ceiling := 1.0
	if pressure > minPressure {
		ceiling = max(minAllowance, 1-pressure)
	}
	if r.allowance > ceiling {
		r.allowance = max(ceiling, r.allowance*math.Exp(-decreaseRate*elapsed))
		return
	}
	r.allowance = min(ceiling, r.allowance+increase*elapsed)
}

// place maps an id to [0, 1), evenly and the same on all nodes: FNV-1a, whose upper bits
// are mixed since similar ids differ in the lower ones only.
func place(id string) float64 {
	const offset, prime, mix = 14695981039346656037, 1099511628211, 0xbf58476d1ce4e5b9
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	h = (h ^ h>>30) * mix
	h ^= h >> 31
	return float64(h>>11) / (1 << 53)
}

// fadingSum is a sum whose samples lose half their weight in each half-life.
type fadingSum struct {
	sum float64
	at  time.Time
}

func (s *fadingSum) add(now time.Time, value float64, halfLife time.Duration) {
	s.sum, s.at = s.value(now, halfLife)+value, now
}

func (s *fadingSum) value(now time.Time, halfLife time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp2(-now.Sub(s.at).Seconds()/halfLife.Seconds())
}
