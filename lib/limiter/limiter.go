// Package place decides which requests the server beside a node may hold.
//
// Every request to the server passes its node, so the book's count is exact. A
// place is offered before the request is sent and lapses when the request does
// not follow; askers that find no place may wait in line, the most urgent
// first. A cold server gets no more requests in any second than it bears.
//
// # Usage
//
//	b := place.NewBook(slots)
//	v := b.Ask(now, key, place.NewClaim(rank, nested, patience))
//	b.Begin(now, key)
//	b.Finish(now, key)
//	for _, d := range b.Next(now) { ... }
//
// A Book has no clock and no goroutine; the task that owns it passes the time.
package limiter

import (
	"math"
	"time"
)

const (
	// comfortableShare is the part of the slots that ordinary requests use: from
	// 0.8 of them on many servers work markedly slower.
	comfortableShare = 0.8
	// offerLasts bounds how long an offered place is held for its asker: a body
	// of 360 KB takes 260 ms over a link of 11 Mbit/s.
	offerLasts = 400 * time.Millisecond
	// coldWindow is the span over which a cold server's requests are counted: a
	// second, and what the loopback may compress.
	coldWindow = 1050 * time.Millisecond
	// failureHalfLife is how fast failures are forgiven, so that a server that
	// recovered is tried again.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of the newest result among the recent ones.
	failureWeight = 0.25
	// failurePenalty multiplies the cost of a server that fails all requests.
	failurePenalty = 12.0
	// crowdWeight is the cost of a full server against an empty one.
	crowdWeight = 0.6
	// reportSlack is how far a load report may be off through requests that began
	// or ended while it was on its way.
	reportSlack = 2
)

type hold struct {
	begun   bool
	expires time.Time
}

type waiting struct {
	key     Key
	claim   Request
	expires time.Time
}

// Limiter holds the places of one server.
type Limiter struct {
	slots     int
	held      map[Key]hold
	line      []waiting
	sent      []time.Time
	coldUntil time.Time
	coldRate  float64
	slowness  float64
	foreign   int
	failing   float64
	failedAt  time.Time
}

// New returns the book of a server with the given number of slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), held: map[Key]hold{}, slowness: 1}
}

// SetSlots changes the number of slots.
func (b *Limiter) SetSlots(slots int) { b.slots = max(slots, 1) }

// SetColdStart says until when the server is cold and how many requests a second it
// bears meanwhile; a rate of 0 is no limit.
func (b *Limiter) SetColdStart(until time.Time, rate float64) {
	b.coldUntil = until
	b.coldRate = rate
}

// Cold reports whether the server is cold.
func (b *Limiter) Cold(now time.Time) bool { return b.coldRate > 0 && now.Before(b.coldUntil) }

// Slots returns the number of slots.
func (b *Limiter) Slots() int { return b.slots }

// InUse returns how many places are held.
func (b *Limiter) InUse() int { return len(b.held) }

// QueueLen returns how many asks wait.
func (b *Limiter) QueueLen() int { return len(b.line) }

// Slowness returns how many times longer than usual work takes.
func (b *Limiter) Slowness() float64 { return b.slowness }

// ReportLoad records what the server says of its load: the requests that it holds,
// and how many times longer than usual work takes, 0 when it does not say.
func (b *Limiter) ReportLoad(holding int, slowness float64) {
	if slowness > 0 {
		b.slowness = slowness
	}
	b.foreign = max(0, holding-b.begun()-reportSlack)
}

func (b *Limiter) begun() int {
	n := 0
	for _, h := range b.held {
		if h.begun {
			n++
		}
	}
	return n
}

// RecordResult records whether the server failed a request.
func (b *Limiter) RecordResult(now time.Time, failed bool) {
	rate := b.failureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	b.failing = rate + (sample-rate)*failureWeight
	b.failedAt = now
}

func (b *Limiter) failureRate(now time.Time) float64 {
	if b.failing == 0 {
		return 0
	}
	halves := now.Sub(b.failedAt).Seconds() / failureHalfLife.Seconds()
	return b.failing * math.Exp2(-halves)
}

// Cost returns the expected slowness of one more request.
func (b *Limiter) Cost(now time.Time) float64 {
	crowd := 1 + crowdWeight*float64(len(b.held)+b.foreign)/float64(b.roof())
	failure := 1 + failurePenalty*math.Max(0, b.failureRate(now)-failureWeight/2)
	return b.slowness * crowd * failure
}

// roof is the number of places for ordinary requests.
func (b *Limiter) roof() int { return max(1, int(comfortableShare*float64(b.slots))) }

// Reserve asks for a place.
func (b *Limiter) Reserve(now time.Time, key Key, c Request) Decision {
	if b.fits(now, c) && !b.outranked(now, c) {
		return b.grant(now, key)
	}
	if c.patience <= 0 {
		return Decision{key: key, verdict: Denied}
	}
	b.enqueue(waiting{key: key, claim: c, expires: now.Add(c.patience)})
	return Decision{key: key, verdict: Queued}
}

func (b *Limiter) grant(now time.Time, key Key) Decision {
	d := Decision{key: key, verdict: Granted, cost: b.Cost(now)}
	b.held[key] = hold{expires: now.Add(offerLasts)}
	return d
}

// fits reports whether one more request may be held. A nested call may use all
// slots, since refusing it wastes the place of its parent.
func (b *Limiter) fits(now time.Time, c Request) bool {
	limit := b.roof()
	if c.nested {
		limit = b.slots
	}
	if c.ceiling > 0 && b.slowness > c.ceiling {
		return false
	}
	return len(b.held)+b.foreign < limit && b.coldAllows(now)
}

// coldAllows reports whether a cold server bears one more request now. Offers
// count, since their requests are about to be sent.
func (b *Limiter) coldAllows(now time.Time) bool {
	if !b.Cold(now) {
		return true
	}
	recent := 0
	for i := len(b.sent) - 1; i >= 0 && now.Sub(b.sent[i]) < coldWindow; i-- {
		recent++
	}
	return recent+len(b.held)-b.begun() < int(b.coldRate)
}

// outranked reports whether an ask in line that could be granted goes before c.
func (b *Limiter) outranked(now time.Time, c Request) bool {
	for _, w := range b.line {
		if before(w.claim, c) && b.fits(now, w.claim) {
			return true
		}
	}
	return false
}

func before(a, b Request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	return a.rank < b.rank
}

// enqueue puts an ask in line: the most urgent first, among equals the newest.
// While there is more work than the server bears, the newest can still be
// answered in time, and the oldest are told to come back.
func (b *Limiter) enqueue(w waiting) {
	at := len(b.line)
	for at > 0 && !before(b.line[at-1].claim, w.claim) {
		at--
	}
	b.line = append(b.line, waiting{})
	copy(b.line[at+1:], b.line[at:])
	b.line[at] = w
}

// Start turns an offered place into a held one as the request is sent. It
// reports false when the offer has lapsed or was withdrawn.
func (b *Limiter) Start(now time.Time, key Key) bool {
	h, ok := b.held[key]
	if !ok || h.begun {
		return false
	}
	b.held[key] = hold{begun: true}
	b.RecordSent(now)
	return true
}

// RecordSent counts a request that reaches the server, also one of the node's own.
func (b *Limiter) RecordSent(now time.Time) {
	keep := 0
	for keep < len(b.sent) && now.Sub(b.sent[keep]) >= coldWindow {
		keep++
	}
	b.sent = append(b.sent[:0], b.sent[keep:]...)
	b.sent = append(b.sent, now)
}

// Release frees the place of a request that has ended.
func (b *Limiter) Release(key Key) { delete(b.held, key) }

// Withdraw gives up an ask in line or an offer; it leaves a request that has
// begun.
func (b *Limiter) Withdraw(key Key) {
	if h, ok := b.held[key]; ok && !h.begun {
		delete(b.held, key)
		return
	}
	for i, w := range b.line {
		if w.key == key {
			b.line = append(b.line[:i], b.line[i+1:]...)
			return
		}
	}
}

// Advance returns the decisions that follow from places that came free and from
// time that passed.
func (b *Limiter) Advance(now time.Time) []Decision {
	var decisions []Decision
	for key, h := range b.held {
		if !h.begun && !now.Before(h.expires) {
			delete(b.held, key)
			decisions = append(decisions, Decision{key: key, verdict: Denied})
		}
	}
	kept := b.line[:0]
	for _, w := range b.line {
		switch {
		case !now.Before(w.expires):
			decisions = append(decisions, Decision{key: w.key, verdict: Denied})
		case b.fits(now, w.claim):
			decisions = append(decisions, b.grant(now, w.key))
		default:
			kept = append(kept, w)
		}
	}
	b.line = kept
	return decisions
}

// DenyPending denies every ask in line and every offer; requests that have begun go
// on.
func (b *Limiter) DenyPending() []Decision {
	var decisions []Decision
	for key, h := range b.held {
		if !h.begun {
			delete(b.held, key)
			decisions = append(decisions, Decision{key: key, verdict: Denied})
		}
	}
	for _, w := range b.line {
		decisions = append(decisions, Decision{key: w.key, verdict: Denied})
	}
	b.line = nil
	return decisions
}
