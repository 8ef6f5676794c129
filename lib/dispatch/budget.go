package dispatch

import (
	"math"
	"time"
)

const (
	// budgetCaution is the part of the permitted further attempts that nodes use:
	// calls made by a repeated request count as repeats too, and no node knows
	// exactly how many share the budget.
	budgetCaution = 0.35
)

// RetryLimits are the operators' bounds on further attempts, over all nodes.
type RetryLimits struct {
	ratio  float64
	least  float64
	window time.Duration
}

// NewRetryLimits returns terms by which, in any window, a service gets at most ratio
// further attempts a request, and least more.
func NewRetryLimits(ratio, least float64, window time.Duration) RetryLimits {
	return RetryLimits{ratio: ratio, least: least, window: window}
}

// budget is this node's part of one service's further attempts. It fills with
// time, by the node's part of the least, and with each request.
type budget struct {
	tokens float64
	at     time.Time
}

func (t RetryLimits) burst(nodes int) float64 {
	return budgetCaution * t.least / float64(max(nodes, 1))
}

// earn adds what a request and the time since the last one allow.
func (b *budget) earn(now time.Time, t RetryLimits, nodes int, requests int) {
	burst := t.burst(nodes)
	if b.at.IsZero() {
		b.tokens = burst
	} else if t.window > 0 {
		b.tokens += burst * now.Sub(b.at).Seconds() / t.window.Seconds()
	}
	b.at = now
	b.tokens = math.Min(b.tokens+budgetCaution*t.ratio*float64(requests), math.Max(burst, 1)+budgetCaution*t.ratio*burstRequests)
}

// burstRequests is for how many requests the earned tokens are saved up.
const burstRequests = 5

// spend takes one token if it is there.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
