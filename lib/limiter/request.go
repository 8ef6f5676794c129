package limiter

import (
	"time"
)

// Key names one ask: the link that it came by, and its number there.
type Key struct {
	link   uint64
	number uint64
}

// NewKey returns a key.
func NewKey(link, number uint64) Key { return Key{link: link, number: number} }

// Link returns the link that the ask came by.
func (k Key) Link() uint64 { return k.link }

// Number returns the number of the ask on its link.
func (k Key) Number() uint64 { return k.number }

// Request is what an ask says of its request.
type Request struct {
	rank     int
	nested   bool
	patience time.Duration
	ceiling  float64
}

// NewRequest returns a claim. Rank 0 is the most urgent; a nested call is one that
// a running request waits for.
func NewRequest(rank int, nested bool, patience time.Duration) Request {
	return Request{rank: rank, nested: nested, patience: patience}
}

// WithMaxSlowness returns the claim with the largest slowness at which the request is worth
// starting; 0 means any.
func (c Request) WithMaxSlowness(ceiling float64) Request {
	c.ceiling = ceiling
	return c
}

// Verdict is what the book decided on an ask.
type Verdict uint8

// The verdicts.
const (
	// Granted means that a place is held for the asker.
	Granted Verdict = iota
	// Queued means that the ask waits in line.
	Queued
	// Denied means that there is no place.
	Denied
)

// Decision is a verdict on one ask.
type Decision struct {
	key     Key
	verdict Verdict
	cost    float64
}

// Key returns the ask that the decision is about.
func (d Decision) Key() Key { return d.key }

// Verdict returns the verdict.
func (d Decision) Verdict() Verdict { return d.verdict }

// Cost returns the expected slowness of the request at this server.
func (d Decision) Cost() float64 { return d.cost }
