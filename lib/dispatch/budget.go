package dispatch

import (
	"math"
	"time"
)

const (
	// budgetFraction is the fraction of the permitted retries that nodes use:
	// calls made by a retried request count as retries too, and no node knows
	// exactly how many others share the budget.
	budgetFraction = 0.35
)

// RetryLimits bounds the retries of a service, summed over all nodes. Hedges
// count as retries.
type RetryLimits struct {
	ratio   float64
	minimum float64
	window  time.Duration
}

// NewRetryLimits returns limits under which, in any window, a service gets at
// most ratio retries per request, plus the minimum.
func NewRetryLimits(ratio, minimum float64, window time.Duration) RetryLimits {
	return RetryLimits{ratio: ratio, minimum: minimum, window: window}
}

// budget is a token bucket that holds this node's share of the retries of one
// service. The node's share of the minimum is added over time, and a fraction
// of a token with each request.
type budget struct {
	tokens    float64
	updatedAt time.Time
}

// nodeShare returns this node's share of the minimum, 0 while the number of nodes is not
// known.
func (l RetryLimits) nodeShare(nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	return budgetFraction * l.minimum / float64(nodes)
}

// deposit adds the tokens for new requests and for the time since the last
// call.
func (b *budget) deposit(now time.Time, limits RetryLimits, nodes int, requests int) {
	share := limits.nodeShare(nodes)
	if b.updatedAt.IsZero() {
		b.tokens = share
	} else if limits.window > 0 {
		b.tokens += share * now.Sub(b.updatedAt).Seconds() / limits.window.Seconds()
	}
	b.updatedAt = now
	b.tokens = math.Min(b.tokens+budgetFraction*limits.ratio*float64(requests), math.Max(share, 1)+budgetFraction*limits.ratio*maxSavedRequests)
}

// maxSavedRequests is the number of requests whose tokens may accumulate on top
// of the node's share of the minimum.
const maxSavedRequests = 5

// tryWithdraw takes one token. It reports false if there is none.
func (b *budget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
