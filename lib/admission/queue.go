package admission

import (
	"time"

	"savorygap.example/lib/document"
)

const (
	queuePerSlot   = 2  // queued requests per slot and class
	maxPassed      = 16 // grants to others before a class head goes first
	maxDepth       = 12
	nestedWait     = 100 * time.Millisecond
	impatientMin   = 2 * time.Millisecond
	impatientShare = 2 // an impatient ticket waits up to 1/2 of a usual answer
	recentlySeen   = 5 * time.Second
	bulkShare      = 0.75 // of the limit, for uploads and background together
	urgentReserve  = 1    // slots
	reserveMin     = 4    // smallest limit from which slots are reserved
)

// queue holds the waiting tickets by class.
type queue struct {
	capacity int
	waiting  [document.NumClasses][]Request
}

func (q *queue) len() int {
	n := 0
	for _, list := range q.waiting {
		n += len(list)
	}
	return n
}

func (q *queue) lenOf(c document.Class) int { return len(q.waiting[c]) }

// full reports whether t finds no place. Nested calls have places of their
// own, so that a queue of new requests does not shut them out.
func (q *queue) full(t Request) bool {
	n := 0
	for _, other := range q.waiting[t.class] {
		if (other.depth > 0) == (t.depth > 0) {
			n++
		}
	}
	return n >= q.capacity
}

// anyFits reports whether the head of any class could be granted.
func (q *queue) anyFits(fits func(Request) bool) bool {
	for _, list := range q.waiting {
		if len(list) > 0 && fits(list[0]) {
			return true
		}
	}
	return false
}

func (q *queue) push(t Request) {
	list := q.waiting[t.class]
	at := len(list)
	for at > 0 && goesBefore(t, list[at-1]) {
		at--
	}
	list = append(list, Request{})
	copy(list[at+1:], list[at:])
	list[at] = t
	q.waiting[t.class] = list
}

// goesBefore orders tickets of one class: deeper calls first, since each holds
// a slot at every level above; then cheap ones; then by arrival. A ticket that
// was passed often keeps its place.
func goesBefore(a, b Request) bool {
	if b.passed >= maxPassed {
		return false
	}
	if a.passed >= maxPassed {
		return true
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	if a.short != b.short {
		return a.short
	}
	return a.offered.Before(b.offered)
}

// ahead counts the waiting tickets that would be granted before t.
func (q *queue) ahead(t Request) int {
	n := 0
	for c := range q.waiting {
		if document.Class(c) < t.class {
			n += len(q.waiting[c])
		}
	}
	for _, other := range q.waiting[t.class] {
		if !goesBefore(t, other) {
			n++
		}
	}
	return n
}

// pop removes the next ticket that fits: the head of a class that was passed
// too often, otherwise the head of the most pressing class.
func (q *queue) pop(fits func(Request) bool) (Request, bool) {
	for c := range q.waiting {
		if list := q.waiting[c]; len(list) > 0 && list[0].passed >= maxPassed && fits(list[0]) {
			return q.take(c), true
		}
	}
	for c := range q.waiting {
		if list := q.waiting[c]; len(list) > 0 && fits(list[0]) {
			return q.take(c), true
		}
	}
	return Request{}, false
}

func (q *queue) take(c int) Request {
	t := q.waiting[c][0]
	q.waiting[c] = q.waiting[c][1:]
	for other := c + 1; other < len(q.waiting); other++ {
		if len(q.waiting[other]) > 0 {
			q.waiting[other][0].passed++
		}
	}
	return t
}

func (q *queue) remove(id ID) bool {
	removed := q.expire(func(t Request) bool { return t.id == id })
	return len(removed) > 0
}

// expire removes the tickets for which over is true and returns their ids.
func (q *queue) expire(over func(Request) bool) []ID {
	var ids []ID
	for c, list := range q.waiting {
		kept := list[:0]
		for _, t := range list {
			if over(t) {
				ids = append(ids, t.id)
				continue
			}
			kept = append(kept, t)
		}
		q.waiting[c] = kept
	}
	return ids
}

// shares keeps slots free for urgent requests and for deeper calls, and bounds
// what bulk classes hold.
type shares struct {
	urgentSeen time.Time
	depthSeen  [maxDepth + 1]time.Time
}

func (s *shares) see(now time.Time, t Request) {
	if t.class == document.ClassUrgent {
		s.urgentSeen = now
	}
	s.depthSeen[t.depth] = now
}

// allow reports whether t may take one more of the limit's slots.
func (s *shares) allow(now time.Time, t Request, limit, inFlight int, holding map[ID]running) bool {
	if limit < reserveMin {
		return true
	}
	reserved := s.deeperLevels(now, t.depth)
	if t.class != document.ClassUrgent && seenRecently(now, s.urgentSeen) {
		reserved += urgentReserve
	}
	if inFlight >= limit-min(reserved, limit/2) {
		return false
	}
	if isBulk(t.class) {
		return bulkHeld(holding) < int(bulkShare*float64(limit))
	}
	return true
}

// deeperLevels counts the distinct depths below depth that asked for this
// server lately. Each keeps one slot, so that the deepest call of a ring of
// services always finds one.
func (s *shares) deeperLevels(now time.Time, depth int) int {
	n := 0
	for d := depth + 1; d <= maxDepth; d++ {
		if seenRecently(now, s.depthSeen[d]) {
			n++
		}
	}
	return n
}

func seenRecently(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < recentlySeen
}

func isBulk(c document.Class) bool {
	return c == document.ClassUpload || c == document.ClassBackground
}

func bulkHeld(holding map[ID]running) int {
	n := 0
	for _, r := range holding {
		if isBulk(r.ticket.class) {
			n++
		}
	}
	return n
}
