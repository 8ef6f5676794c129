// Package retry decides whether an attempt is followed by another, and when a
// slow read is sent a second time.
//
// Retries spend from a budget per service that fills with ordinary requests.
// A retry of a nested call costs one more token for each level above it: over
// twelve levels a full outage then multiplies the load by less than
// MaxGrowth, where three plain attempts a level would multiply it by 3^12.
//
// # Usage
//
//	b := retry.NewBudget(retry.RetryRatio, retry.RetryBurst)
//	b.Earn()
//	if retry.Allowed(err, idempotent) && b.Spend(depth) { ... }
package retry

import (
	"errors"
	"math"
	"time"

	"savorygap.example/lib/outcome"
)

const (
	// RetryRatio is the number of tokens that a request adds for retries.
	RetryRatio = 0.1
	// RetryBurst is the largest number of retry tokens.
	RetryBurst = 20.0
	// HedgeRatio is the number of tokens that a request adds for hedges.
	HedgeRatio = 0.05
	// HedgeBurst is the largest number of hedge tokens.
	HedgeBurst = 5.0

	maxDepth = 12
)

// MaxAmplification is the factor by which retries multiply the load of a full outage
// when requests pass maxDepth levels: the product over the levels of
// 1 + RetryRatio/(depth+1).
func MaxAmplification() float64 {
	growth := 1.0
	for depth := range maxDepth {
		growth *= 1 + RetryRatio/float64(depth+1)
	}
	return growth
}

// Budget holds the tokens of one service. It belongs to one goroutine.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit adds the tokens of one ordinary request.
func (b *Budget) Deposit() { b.tokens = math.Min(b.tokens+b.ratio, b.burst) }

// TryWithdraw takes the tokens of one retry, depth calls deep, if they are there.
func (b *Budget) TryWithdraw(depth int) bool {
	cost := float64(min(max(depth, 0), maxDepth) + 1)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Tokens returns the tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Allowed reports whether err may be followed by another attempt: when the
// request was certainly not run and another target may take it, or when its
// outcome is unknown and the request is idempotent.
func Allowed(err error, idempotent bool) bool {
	if notRun, ok := outcome.AsNotRun(err); ok {
		return notRun.Retryable()
	}
	var unknown *outcome.UnknownError
	return errors.As(err, &unknown) && idempotent
}

const (
	hedgeQuantile  = 0.95
	quantileStep   = 0.05
	minHedgeDelay  = 2 * time.Millisecond
	hedgeAfterSeen = 50 // answers
)

// LatencyQuantile follows a high quantile of latency by stochastic approximation.
type LatencyQuantile struct {
	estimate float64
	count    int
}

// Add records one latency.
func (q *LatencyQuantile) Add(latency time.Duration) {
	seconds := latency.Seconds()
	q.count++
	if q.count == 1 {
		q.estimate = seconds
		return
	}
	step := quantileStep * math.Max(q.estimate, 1e-6)
	if seconds > q.estimate {
		q.estimate += step * hedgeQuantile
	} else {
		q.estimate -= step * (1 - hedgeQuantile)
	}
}

// HedgeDelay returns after how long a second attempt is worth it. It reports
// false while too little is known.
func (q *LatencyQuantile) HedgeDelay() (time.Duration, bool) {
	if q.count < hedgeAfterSeen {
		return 0, false
	}
	return max(time.Duration(q.estimate*float64(time.Second)), minHedgeDelay), true
}
