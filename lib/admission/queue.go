package admission

import (
	"time"

	"savorygap.example/lib/document"
)

const (
	queueCapacityPerSlot    = 4  // queued requests of each class per slot; nested and top-level calls count separately
	maxBypasses             = 16 // grants to higher classes, after which the first request of a class goes next
	maxDepth                = 12 // levels of nested calls; deeper requests count as this deep
	maxNestedWait           = 100 * time.Millisecond
	failFastMinWait         = 2 * time.Millisecond
	failFastWaitDivisor     = 2 // a fail-fast request waits for up to 1/2 of the expected latency
	reservationPeriod       = 5 * time.Second
	bulkLimitRatio          = 0.75 // of the limit, for uploads and background requests together
	urgentReservedSlots     = 1
	minLimitForReservations = 4 // slots
)

// queue holds the waiting requests by class.
type queue struct {
	capacity int
	byClass  [document.NumClasses][]Request
}

func (q *queue) len() int {
	n := 0
	for _, list := range q.byClass {
		n += len(list)
	}
	return n
}

func (q *queue) lenOf(c document.Class) int { return len(q.byClass[c]) }

// full reports whether the queue has no capacity left for r. Nested calls have
// their own capacity, so that queued top-level requests do not block them.
func (q *queue) full(r Request) bool {
	n := 0
	for _, other := range q.byClass[r.class] {
		if (other.depth > 0) == (r.depth > 0) {
			n++
		}
	}
	return n >= q.capacity
}

// anyGrantable reports whether the first request of any class could be granted.
func (q *queue) anyGrantable(canGrant func(Request) bool) bool {
	for _, list := range q.byClass {
		if len(list) > 0 && canGrant(list[0]) {
			return true
		}
	}
	return false
}

// push inserts a request at its position in its class, as given by ordersBefore.
func (q *queue) push(r Request) {
	list := q.byClass[r.class]
	at := len(list)
	for at > 0 && ordersBefore(r, list[at-1]) {
		at--
	}
	list = append(list, Request{})
	copy(list[at+1:], list[at:])
	list[at] = r
	q.byClass[r.class] = list
}

// ordersBefore reports whether a goes before b, which is of the same class. Deeper
// calls go first, since each holds a slot at every level above it, then cheap
// requests, then earlier ones. A request that was bypassed maxBypasses times goes
// before all that were not.
func ordersBefore(a, b Request) bool {
	if b.bypasses >= maxBypasses {
		return false
	}
	if a.bypasses >= maxBypasses {
		return true
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	if a.short != b.short {
		return a.short
	}
	return a.submittedAt.Before(b.submittedAt)
}

// countAhead counts the queued requests that would be granted before r.
func (q *queue) countAhead(r Request) int {
	n := 0
	for c := range q.byClass {
		if document.Class(c) < r.class {
			n += len(q.byClass[c])
		}
	}
	for _, other := range q.byClass[r.class] {
		if !ordersBefore(r, other) {
			n++
		}
	}
	return n
}

// pop removes the next grantable request: the first of a class that was
// bypassed maxBypasses times, otherwise the first of the class with the highest
// priority.
func (q *queue) pop(canGrant func(Request) bool) (Request, bool) {
	for c := range q.byClass {
		if list := q.byClass[c]; len(list) > 0 && list[0].bypasses >= maxBypasses && canGrant(list[0]) {
			return q.removeHead(c), true
		}
	}
	for c := range q.byClass {
		if list := q.byClass[c]; len(list) > 0 && canGrant(list[0]) {
			return q.removeHead(c), true
		}
	}
	return Request{}, false
}

// removeHead removes the first request of class c and counts a bypass for the
// first request of each lower class.
func (q *queue) removeHead(c int) Request {
	r := q.byClass[c][0]
	q.byClass[c] = q.byClass[c][1:]
	for other := c + 1; other < len(q.byClass); other++ {
		if len(q.byClass[other]) > 0 {
			q.byClass[other][0].bypasses++
		}
	}
	return r
}

func (q *queue) remove(id ID) bool {
	removed := q.removeIf(func(r Request) bool { return r.id == id })
	return len(removed) > 0
}

// removeIf removes the requests for which match is true and returns their ids.
func (q *queue) removeIf(match func(Request) bool) []ID {
	var ids []ID
	for c, list := range q.byClass {
		kept := list[:0]
		for _, r := range list {
			if match(r) {
				ids = append(ids, r.id)
				continue
			}
			kept = append(kept, r)
		}
		q.byClass[c] = kept
	}
	return ids
}

// reservations keeps slots free for urgent requests and for deeper calls, and
// limits how many slots the bulk classes hold.
type reservations struct {
	urgentSeen time.Time
	depthSeen  [maxDepth + 1]time.Time
}

func (s *reservations) recordArrival(now time.Time, r Request) {
	if r.class == document.ClassUrgent {
		s.urgentSeen = now
	}
	s.depthSeen[r.depth] = now
}

// allows reports whether r may take another slot within the limit.
func (s *reservations) allows(now time.Time, r Request, limit, inFlight int, running map[ID]inFlightRequest) bool {
	if limit < minLimitForReservations {
		return true
	}
	reserved := s.activeDeeperLevels(now, r.depth)
	if r.class != document.ClassUrgent && seenRecently(now, s.urgentSeen) {
		reserved += urgentReservedSlots
	}
	if inFlight >= limit-min(reserved, limit/2) {
		return false
	}
	if isBulk(r.class) {
		return countBulk(running) < int(bulkLimitRatio*float64(limit))
	}
	return true
}

// activeDeeperLevels counts the levels below depth that recently sent requests
// to this server. One slot is reserved for each, so that the deepest call in a
// cycle of services can always run.
func (s *reservations) activeDeeperLevels(now time.Time, depth int) int {
	n := 0
	for d := depth + 1; d <= maxDepth; d++ {
		if seenRecently(now, s.depthSeen[d]) {
			n++
		}
	}
	return n
}

func seenRecently(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < reservationPeriod
}

func isBulk(c document.Class) bool {
	return c == document.ClassUpload || c == document.ClassBackground
}

func countBulk(running map[ID]inFlightRequest) int {
	n := 0
	for _, r := range running {
		if isBulk(r.request.class) {
			n++
		}
	}
	return n
}
