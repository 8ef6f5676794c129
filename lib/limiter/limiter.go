// Package limiter bounds how many requests the server next to a node runs at
// once, and at what rate it gets them during a cold start or while it states a rate
// limit.
//
// All requests to the server pass through its node, so the limiter's count is
// exact. A slot is reserved before the request is sent, and the reservation
// expires if the request does not follow in time. Requests that find no free
// slot may queue: nested calls first, then by priority.
//
// # Usage
//
//	l := limiter.New(slots)
//	d := l.Reserve(now, key, limiter.NewRequest(priority, nested, maxWait))
//	l.Start(now, key)
//	l.Release(key)
//	for _, d := range l.Advance(now) { ... }
//
// A Limiter reads no clock and starts no goroutine: the task that owns it
// passes the time to each call.
package limiter

import (
	"math"
	"time"
)

const (
	// ordinaryShare is the fraction of the slots open to ordinary requests, that
	// is, those that are not nested: with more than 0.8 of their slots in use,
	// many servers become markedly slower.
	ordinaryShare = 0.8
	// offerTTL bounds how long an offered slot stays reserved: sending a body
	// of 360 KB takes 260 ms on a link of 11 Mbit/s.
	offerTTL = 400 * time.Millisecond
	// coldPeriod is the period of a cold server's rate. Requests are also counted over
	// coldHistory, so that the fraction of a rate is not lost.
	coldPeriod  = time.Second
	coldHistory = 2 * coldPeriod
	// coldMargin is added to both, because requests may reach the server closer
	// together over loopback than they were sent.
	coldMargin = 50 * time.Millisecond
	// failureHalfLife is the time in which the failure rate falls by half
	// without new results, so that a recovered server is tried again.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of the newest result in the moving average
	// of failures.
	failureWeight = 0.25
	// failurePenalty is about the factor by which the cost of a server rises if
	// it fails every request.
	failurePenalty = 12.0
	// loadWeight is the relative cost that a fully loaded server has above an
	// idle one.
	loadWeight = 0.6
	// reportSlack is how many requests a load report may be off by, because
	// requests started or ended while it was in transit.
	reportSlack = 2
)

// reservation is a reserved slot. It is released at expires unless its request
// has started.
type reservation struct {
	started bool
	expires time.Time
	tenant  string
	nested  bool
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	key     Key
	request Request
	expires time.Time
}

// Limiter tracks the reserved slots of one server and the queue for them.
type Limiter struct {
	slots            int
	reservations     map[Key]reservation
	queue            []queuedRequest
	sentAt           []time.Time
	coldUntil        time.Time
	coldRate         float64
	rate             tokenBucket
	slowness         float64
	externalRequests int
	failureRate      float64
	failureRateAt    time.Time
	shares           tenantShares
	latestAt         time.Time                  // of the latest call of Reserve or Advance
	outcomes         map[requestClass]*outcomes // nil unless tracked
}

// New returns a limiter for a server with the given number of slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), reservations: map[Key]reservation{}, slowness: 1}
}

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) { l.slots = max(slots, 1) }

// SetColdStart sets until when the server is cold and how many requests per
// second it can take until then; a rate of 0 means no limit.
func (l *Limiter) SetColdStart(until time.Time, rate float64) {
	l.coldUntil = until
	l.coldRate = rate
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold(now time.Time) bool { return l.coldRate > 0 && now.Before(l.coldUntil) }

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.slots }

// InUse returns the number of reserved slots.
func (l *Limiter) InUse() int { return len(l.reservations) }

// IsBusy reports whether more slots are reserved than ordinary requests may use.
func (l *Limiter) IsBusy() bool { return len(l.reservations) > l.ordinarySlots() }

// QueueLen returns the number of queued requests.
func (l *Limiter) QueueLen() int { return len(l.queue) }

// Slowness returns the ratio of the server's current processing time to its
// normal one.
func (l *Limiter) Slowness() float64 { return l.slowness }

// startedCount returns the number of requests that were sent to the server and
// have not ended.
func (l *Limiter) startedCount() int {
	n := 0
	for _, rv := range l.reservations {
		if rv.started {
			n++
		}
	}
	return n
}

// ordinarySlots returns the number of slots open to requests that are not
// nested.
func (l *Limiter) ordinarySlots() int { return max(1, int(ordinaryShare*float64(l.slots))) }

// Reserve reserves a slot for the request, queues it if it may wait, or denies
// it.
func (l *Limiter) Reserve(now time.Time, key Key, r Request) Decision {
	l.latestAt = now
	if l.canReserve(now, r) && !l.outranked(now, r) {
		l.countFound(now, r)
		return l.grant(now, key, r)
	}
	if r.maxWait <= 0 || l.isTooLate(now, now.Add(r.maxWait)) {
		l.countDenied(now, r)
		return Decision{key: key, status: Denied}
	}
	l.enqueue(queuedRequest{key: key, request: r, expires: now.Add(r.maxWait)})
	return Decision{key: key, status: Queued}
}

func (l *Limiter) grant(now time.Time, key Key, r Request) Decision {
	d := Decision{key: key, status: Granted, cost: l.Cost(now)}
	l.reservations[key] = reservation{expires: now.Add(offerTTL), tenant: r.tenant, nested: r.nested}
	return d
}

// canReserve reports whether a slot is available for the request. A nested
// call may use every slot, because refusing it wastes the slot of the request
// that waits for it.
func (l *Limiter) canReserve(now time.Time, r Request) bool {
	limit := l.ordinarySlots()
	if r.nested {
		limit = l.slots
	}
	if r.maxSlowness > 0 && l.slowness > r.maxSlowness {
		return false
	}
	return len(l.reservations)+l.externalRequests < limit && l.coldStartAllows(now) && l.rateAllows(now)
}

// coldStartAllows reports whether one more request stays within the rate of a
// cold server. Offers count as well, since their requests are about to be
// sent.
func (l *Limiter) coldStartAllows(now time.Time) bool {
	if !l.Cold(now) {
		return true
	}
	offered := len(l.reservations) - l.startedCount()
	perPeriod := int(math.Ceil(l.coldRate))
	perHistory := max(1, int(l.coldRate*coldHistory.Seconds()))
	return l.sentWithin(now, coldPeriod+coldMargin)+offered < perPeriod && l.sentWithin(now, coldHistory+coldMargin)+offered < perHistory
}

// sentWithin returns how many requests were sent in the last period.
func (l *Limiter) sentWithin(now time.Time, period time.Duration) int {
	n := 0
	for i := len(l.sentAt) - 1; i >= 0 && now.Sub(l.sentAt[i]) < period; i-- {
		n++
	}
	return n
}

// precedes reports whether a is served before b: nested calls go first, then
// the higher priority.
func precedes(a, b Request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	return a.priority < b.priority
}

// enqueue inserts a request into the queue by precedence and, among equals,
// newest first: under overload the newest requests can still be answered in
// time, while the oldest time out and are told to retry later.
func (l *Limiter) enqueue(q queuedRequest) {
	at := len(l.queue)
	for at > 0 && !precedes(l.queue[at-1].request, q.request) {
		at--
	}
	l.queue = append(l.queue, queuedRequest{})
	copy(l.queue[at+1:], l.queue[at:])
	l.queue[at] = q
}

// Start marks the offered slot as in use when its request is sent. It reports
// false if the offer has expired or was withdrawn.
func (l *Limiter) Start(now time.Time, key Key) bool {
	rv, ok := l.reservations[key]
	if !ok || rv.started || !now.Before(rv.expires) {
		return false
	}
	l.reservations[key] = reservation{started: true}
	if rv.tenant != "" || !rv.nested {
		l.shares.record(now, rv.tenant)
	}
	l.rate.spend(now)
	l.RecordSent(now)
	return true
}

// RecordSent counts a request sent to the server, which includes the node's
// own health checks.
func (l *Limiter) RecordSent(now time.Time) {
	expired := 0
	for expired < len(l.sentAt) && now.Sub(l.sentAt[expired]) >= coldHistory+coldMargin {
		expired++
	}
	l.sentAt = append(l.sentAt[:0], l.sentAt[expired:]...)
	l.sentAt = append(l.sentAt, now)
}

// Release frees the slot of a request that has ended.
func (l *Limiter) Release(key Key) { delete(l.reservations, key) }

// Withdraw removes a queued request or releases an offered slot. It does not
// affect a request that has started.
func (l *Limiter) Withdraw(key Key) {
	if rv, ok := l.reservations[key]; ok && !rv.started {
		delete(l.reservations, key)
		return
	}
	for i, q := range l.queue {
		if q.key == key {
			l.countFound(l.latestAt, q.request)
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// Advance expires offers and queued requests that are due at now and grants
// free slots to queued requests. It returns the resulting decisions.
func (l *Limiter) Advance(now time.Time) []Decision {
	l.latestAt = now
	var decisions []Decision
	for key, rv := range l.reservations {
		if !rv.started && !now.Before(rv.expires) {
			delete(l.reservations, key)
			decisions = append(decisions, Decision{key: key, status: Denied})
		}
	}
	if l.hasQueuedTenant() {
		return l.advanceShared(now, decisions)
	}
	kept := l.queue[:0]
	for _, q := range l.queue {
		switch {
		case !now.Before(q.expires) || l.isTooLate(now, q.expires):
			l.countDenied(now, q.request)
			decisions = append(decisions, Decision{key: q.key, status: Denied})
		case l.canReserve(now, q.request):
			l.countFound(now, q.request)
			decisions = append(decisions, l.grant(now, q.key, q.request))
		default:
			kept = append(kept, q)
		}
	}
	l.queue = kept
	return decisions
}

// DenyPending denies all queued requests and offers. Requests that have
// started keep their slots.
func (l *Limiter) DenyPending() []Decision {
	var decisions []Decision
	for key, rv := range l.reservations {
		if !rv.started {
			delete(l.reservations, key)
			decisions = append(decisions, Decision{key: key, status: Denied})
		}
	}
	for _, q := range l.queue {
		decisions = append(decisions, Decision{key: q.key, status: Denied})
	}
	l.queue = nil
	return decisions
}
