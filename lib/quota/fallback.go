package quota

import "time"

const (
	// noticePeriod is how long the other nodes may take to notice that this node is cut
	// off: a ping after 4 s of silence, 1 s for its reply, and 1 s between two checks.
	noticePeriod = 6 * time.Second
	// noticeShare is the fraction of its part of the rate that a fallback grants during
	// noticePeriod, while the owner may still grant that part to others. A third of all nodes
	// then adds at most 0.09 of the rate.
	noticeShare = 0.25
	// fallbackPeriod is the time of its part of the rate that a fallback holds.
	fallbackPeriod = 250 * time.Millisecond
)

// fallback is the bucket that a node uses for a tenant while no owner answers. Its tokens
// stay as they are while one answers. It begins with the phase of the node and the
// tenant, so that of many nodes that are cut off at once each grants a request of a small
// tenant at another time.
type fallback struct {
	tokens    float64
	updatedAt time.Time
	since     time.Time // zero while an owner answers
	isUsed    bool
}

// begin starts a period without an owner.
func (f *fallback) begin(since time.Time, phase float64) {
	if !f.isUsed {
		f.isUsed, f.tokens = true, phase
	}
	if f.since.IsZero() {
		f.since, f.updatedAt = since, since
	}
}

// end ends the period.
func (f *fallback) end() { f.since = time.Time{} }

// take takes a token. rate is the part of the rate of this node. It returns the time
// until the next token.
func (f *fallback) take(now time.Time, rate float64) (bool, time.Duration) {
	noticed := f.since.Add(noticePeriod)
	if early := minTime(now, noticed).Sub(f.updatedAt); early > 0 {
		f.tokens += noticeShare * rate * early.Seconds()
	}
	if late := now.Sub(maxTime(f.updatedAt, noticed)); late > 0 {
		f.tokens += rate * late.Seconds()
	}
	f.tokens, f.updatedAt = min(f.tokens, max(1, rate*fallbackPeriod.Seconds())), maxTime(now, f.updatedAt)
	if f.tokens < 1 {
		return false, untilToken(f.tokens, rate)
	}
	f.tokens--
	return true, 0
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
