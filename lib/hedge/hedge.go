// Package hedge decides when a request that may be repeated is sent to a second server as
// well, within a share of all requests that operators set.
//
// The delay before a second send is a quantile of the recent latencies of the route. The
// second sends of a service stay within the share of the requests that this node sends to
// it, and there are none while the service is past its knee. A call that belongs to a
// hedge is not hedged.
//
// A Controller reads no clock and starts no goroutine; the task that owns it passes the
// time to each call.
//
// # Usage
//
//	c := hedge.New(0.02, 0.95, isNestedIn)
//	c.RecordLatency(now, route, latency)
//	c.RecordSent(now, service)
//	if delay, ok := c.Delay(now, route); ok { ... }
//	if denial := c.Take(now, service, id, nested); denial == hedge.Granted { ... }
package hedge

import "time"

const (
	// kneeShare is the share of searches for a slot that may be short of one before the
	// knee. The share of extra sends is of that order: beyond it they would take the
	// slots that requests look for.
	kneeShare = 0.02
	// kneeSlot is a quarter of the second over which searches are counted.
	kneeSlot  = 250 * time.Millisecond
	kneeSlots = 4
	// maxTokens is the capacity of the budget of a service, in sends. One keeps the share
	// over any interval, but for a single send.
	maxTokens = 1
	// serviceMemory is how long a service without requests is remembered. Its budget of at most
	// one hedge, and its searches of the last second, are then of no use.
	serviceMemory = time.Minute
	// maxRunning bounds the hedges at the server on this host that are remembered. A
	// server has far fewer slots.
	maxRunning = 1024
)

// Denial is why a hedge is not sent.
type Denial string

// The denials.
const (
	// Granted is no denial.
	Granted Denial = ""
	// DeniedShare means that the share of the service is used up.
	DeniedShare Denial = "share"
	// DeniedKnee means that the service is past its knee.
	DeniedKnee Denial = "knee"
	// DeniedChain means that the call belongs to a request that is a hedge itself.
	DeniedChain Denial = "chain"
)

// Controller holds the latencies of the routes and the budgets of the services of a node.
type Controller struct {
	share      float64
	quantile   float64
	isNestedIn func(id, parent string) bool
	routes     map[string]*sketch
	services   map[string]*service
	running    map[string]time.Time // ids of hedges at the server on this host, until when
}

// service holds the budget of a service and its recent searches for slots.
type service struct {
	tokens   float64
	searches [kneeSlots]searchCount
	usedAt   time.Time
}

// searchCount counts searches in one slot of time.
type searchCount struct {
	slot  int64
	total int
	short int
}

// New returns a controller. share is the largest number of hedges for each request that
// is sent to a service; a request is hedged after the given quantile of the latencies of
// its route. isNestedIn reports whether the id of a call says that the request with the id
// parent makes it while it runs.
func New(share, quantile float64, isNestedIn func(id, parent string) bool) *Controller {
	return &Controller{share: share, quantile: quantile, isNestedIn: isNestedIn, routes: map[string]*sketch{}, services: map[string]*service{}, running: map[string]time.Time{}}
}

// RecordLatency records how long a server took for a request of a route, or, if a hedge
// has replaced it, how long it had taken by then.
func (c *Controller) RecordLatency(now time.Time, route string, latency time.Duration) {
	s, ok := c.routes[route]
	if !ok {
		c.forgetRoutes(now)
		s = newSketch(now, c.quantile)
		c.routes[route] = s
	}
	s.record(now, latency)
}

// forgetRoutes drops the routes without recent requests, which may not exist any more.
func (c *Controller) forgetRoutes(now time.Time) {
	for route, s := range c.routes {
		if now.Sub(s.startedAt) > 2*maxSketchWindow {
			delete(c.routes, route)
		}
	}
}

// Delay returns how long a request of a route runs before it is hedged. It reports false
// while too little is known of the route.
func (c *Controller) Delay(now time.Time, route string) (time.Duration, bool) {
	s, ok := c.routes[route]
	if !ok {
		return 0, false
	}
	return s.quantile(now, c.quantile)
}

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// forgetServices drops the services without recent requests, which may not exist any more.
func (c *Controller) forgetServices(now time.Time) {
	for name, s := range c.services {
		if now.Sub(s.usedAt) > serviceMemory {
			delete(c.services, name)
		}
	}
}

// RememberedServices returns how many services have their hedges counted.
func (c *Controller) RememberedServices() int { return len(c.services) }

// RecordSent records that a request is sent to a service, other than by a hedge.
func (c *Controller) RecordSent(now time.Time, service string) {
	s := c.service(service)
	isFirst := s.usedAt.IsZero()
	s.usedAt = now
	if isFirst {
		c.forgetServices(now)
	}
	s.tokens = min(s.tokens+c.share, maxTokens)
}

// RecordSearch records a search for a slot of a service. short reports whether it found
// none at once, or only at a server with more than 0.8 of its slots in use.
func (c *Controller) RecordSearch(now time.Time, service string, short bool) {
	slot := now.UnixNano() / int64(kneeSlot)
	count := &c.service(service).searches[slot%kneeSlots]
	if count.slot != slot {
		*count = searchCount{slot: slot}
	}
	count.total++
	if short {
		count.short++
	}
}

// pastKnee reports whether more than kneeShare of the searches of the last second were
// short of a slot. One alone says little where a node searches some ten times a second.
func (s *service) pastKnee(now time.Time) bool {
	slot := now.UnixNano() / int64(kneeSlot)
	total, short := 0, 0
	for _, count := range s.searches {
		if slot-count.slot < kneeSlots {
			total, short = total+count.total, short+count.short
		}
	}
	return short > 1 && float64(short) > kneeShare*float64(total)
}

// Take spends a hedge of the request with the given id to a service, or returns why there
// is none. nested reports whether another request waits for this one.
func (c *Controller) Take(now time.Time, service, id string, nested bool) Denial {
	s := c.service(service)
	switch {
	case nested && c.belongsToHedge(now, id):
		return DeniedChain
	case s.pastKnee(now):
		return DeniedKnee
	case s.tokens < 1:
		return DeniedShare
	}
	s.tokens--
	return Granted
}

// Refund returns a hedge that was taken and not sent.
func (c *Controller) Refund(service string) {
	s := c.service(service)
	s.tokens = min(s.tokens+1, maxTokens)
}

// RecordRunning records that the request with the given id runs at the server on this host
// as a hedge, at most until the given time.
func (c *Controller) RecordRunning(now time.Time, id string, until time.Time) {
	if len(c.running) >= maxRunning {
		for other, end := range c.running {
			if !end.After(now) {
				delete(c.running, other)
			}
		}
	}
	if id != "" && len(c.running) < maxRunning {
		c.running[id] = until
	}
}

// belongsToHedge reports whether the id of a nested call extends that of a hedge that runs
// at the server on this host.
func (c *Controller) belongsToHedge(now time.Time, id string) bool {
	for hedge, until := range c.running {
		if !until.After(now) {
			delete(c.running, hedge)
			continue
		}
		if c.isNestedIn(id, hedge) {
			return true
		}
	}
	return false
}
