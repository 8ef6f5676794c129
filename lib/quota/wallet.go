package quota

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time over which the rate of a tenant at this node is averaged.
	demandPeriod = time.Second
	// batchPeriod is the time whose demand a question covers. It is half of
	// creditLifetime, so that credits are used before they lapse.
	batchPeriod = creditLifetime / 2
	// pausePeriod bounds how long a refusal of the owner stands for further requests. In
	// a flood a node then asks at most 20 times a second.
	pausePeriod = 50 * time.Millisecond
	// probeInterval is the time between two questions to an owner that does not answer.
	probeInterval = 100 * time.Millisecond
	// movedPeriod is how long after a grant of another owner a question says so. It is
	// the window of the bounds in use.
	movedPeriod = 5 * time.Second
)

// wallet is what a node keeps of one tenant: its credits, its demand, and what the owner
// last answered.
type wallet struct {
	limit       Limit
	account     *Account
	fallback    fallback
	rate        float64 // requests a second at this node
	rateAt      time.Time
	pausedUntil time.Time
	retryAt     time.Time // when the owner expects the next credit
	grantedAt   time.Time
	grantedBy   string
	granted     int
	question    *openQuestion // the last one, nil once it is answered or no longer waited for
	askedAt     time.Time
	askedNode   string
	// isSilent reports that no owner answers, so that requests do not wait for one.
	isSilent bool
	waiting  []uint64 // requests without a verdict, in order of arrival
}

// openQuestion is a question without an answer.
type openQuestion struct {
	number   uint64
	tenant   string
	to       string
	askedAt  time.Time
	timedOut bool // after answerTimeout
}

// updateRate averages the arrivals since the last call.
func (w *wallet) updateRate(now time.Time) {
	arrivals := float64(w.account.arrivals.Swap(0))
	passed := now.Sub(w.rateAt).Seconds()
	if w.rateAt.IsZero() {
		w.rateAt = now
		return
	}
	if passed <= 0 {
		w.account.arrivals.Add(int64(arrivals))
		return
	}
	weight := 1 - math.Exp(-passed/demandPeriod.Seconds())
	w.rate += weight * (arrivals/passed - w.rate)
	w.rateAt = now
}

// wanted returns how many credits to ask for.
func (w *wallet) wanted(now time.Time, needed int) int {
	w.updateRate(now)
	return max(needed, int(w.rate*batchPeriod.Seconds()))
}

// movedFrom reports whether another node than the given one has lately granted credits.
func (w *wallet) movedFrom(now time.Time, owner string) bool {
	return w.grantedBy != "" && w.grantedBy != owner && now.Sub(w.grantedAt) < movedPeriod
}

// verdict returns a verdict with what is known of the tenant's share.
func (w *wallet) verdict(now time.Time, admitted bool, source Source, owner string, retryAfter time.Duration) Verdict {
	v := Verdict{admitted: admitted, source: source, owner: owner, share: w.granted, retryAfter: retryAfter, expiresAt: now.Add(creditLifetime)}
	if !w.grantedAt.IsZero() {
		v.age = now.Sub(w.grantedAt)
	}
	if !admitted {
		w.account.refusedAt.Store(now.Sub(w.account.base).Milliseconds())
	}
	return v
}
