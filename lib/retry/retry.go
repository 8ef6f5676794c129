// Package retry decides whether a failed attempt is retried and when a slow
// read is hedged with a second attempt.
//
// Each service has a budget of tokens, to which every request adds a fraction of
// a token. A retry takes one token, and one more for each level that the call is
// nested below. During a full outage, retries over twelve levels therefore
// multiply the load by at most MaxAmplification, apart from the initial tokens;
// three attempts at every level would multiply it by 3^12.
//
// # Usage
//
//	b := retry.NewBudget(retry.RetryRatio, retry.RetryBurst)
//	b.Deposit()
//	if retry.Allowed(err, idempotent) && b.TryWithdraw(depth) { ... }
package retry

import (
	"errors"
	"math"
	"time"

	"savorygap.example/lib/outcome"
)

const (
	// RetryRatio is the number of retry tokens that each request deposits.
	RetryRatio = 0.1
	// RetryBurst is the maximum number of retry tokens.
	RetryBurst = 20.0
	// HedgeRatio is the number of hedge tokens that each request deposits.
	HedgeRatio = 0.05
	// HedgeBurst is the maximum number of hedge tokens.
	HedgeBurst = 5.0

	maxDepth = 12 // levels of nested calls
)

// MaxAmplification returns the factor by which retries multiply the load during
// a full outage when requests pass through maxDepth levels. It is the product,
// over the levels, of 1+RetryRatio/(depth+1).
func MaxAmplification() float64 {
	factor := 1.0
	for depth := range maxDepth {
		factor *= 1 + RetryRatio/float64(depth+1)
	}
	return factor
}

// Budget is a token bucket that limits the retries or hedges of one service. It
// belongs to one goroutine.
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

// TryWithdraw takes the tokens for one retry: one plus one for each of the
// depth levels above it, of which at most maxDepth count. It returns false and
// takes none if the budget holds fewer.
func (b *Budget) TryWithdraw(depth int) bool {
	cost := float64(min(max(depth, 0), maxDepth) + 1)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Allowed reports whether an attempt that failed with err may be retried:
// either the request was not run and another target may accept it, or its
// outcome is unknown and it is idempotent.
func Allowed(err error, idempotent bool) bool {
	if notRun, ok := outcome.AsNotRun(err); ok {
		return notRun.Retryable()
	}
	var unknown *outcome.UnknownError
	return errors.As(err, &unknown) && idempotent
}

const (
	hedgeQuantile   = 0.95
	stepRatio       = 0.05 // of the estimate, for each recorded latency
	minHedgeDelay   = 2 * time.Millisecond
	minHedgeSamples = 50 // responses
)

// LatencyQuantile estimates the quantile hedgeQuantile of latency by stochastic
// approximation.
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
	step := stepRatio * math.Max(q.estimate, 1e-6)
	if seconds > q.estimate {
		q.estimate += step * hedgeQuantile
	} else {
		q.estimate -= step * (1 - hedgeQuantile)
	}
}

// HedgeDelay returns how long to wait for a response before sending a second
// attempt. It returns false until minHedgeSamples latencies were recorded.
func (q *LatencyQuantile) HedgeDelay() (time.Duration, bool) {
	if q.count < minHedgeSamples {
		return 0, false
	}
	return max(time.Duration(q.estimate*float64(time.Second)), minHedgeDelay), true
}
