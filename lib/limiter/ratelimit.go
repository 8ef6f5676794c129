package limiter

import (
	"math"
	"time"
)

const (
	// healthCheckShare is the fraction of a stated rate limit left to health checks.
	// A server may not count them, but they are work for it like any other request.
	healthCheckShare = 0.05
	// burstPeriod bounds how many requests may follow each other without delay: those
	// of this period at the stated rate, and at least one.
	burstPeriod = 500 * time.Millisecond
	// rateWaitCost is the cost of waiting one second for the rate limit: a wait of
	// 200 ms costs as much as a server at twice its normal latency.
	rateWaitCost = 5.0
	// maxRateWait bounds the stated wait, since the server may lift its limit any time.
	maxRateWait = 2 * time.Second
)

// tokenBucket spaces out requests to the rate that the server states. The zero value
// does not limit. Unlike rate.Limiter of golang.org/x/time, it starts empty, and its
// capacity follows a rate that may change with each response.
type tokenBucket struct {
	limited   bool
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// SetRateLimit limits how many requests per second are granted to what the server
// states, less the share of health checks. The tokens of a new limit start at zero,
// because the server has just received requests at a higher rate.
func (l *Limiter) SetRateLimit(now time.Time, perSecond float64) {
	tokens := 0.0
	if l.rate.limited {
		tokens = l.rate.available(now)
	}
	l.rate = tokenBucket{limited: true, perSecond: perSecond * (1 - healthCheckShare), tokens: tokens, updatedAt: now}
}

// ClearRateLimit lifts the rate limit.
func (l *Limiter) ClearRateLimit() { l.rate = tokenBucket{} }

// HealthCheckInterval returns the interval of health checks that stays within their
// share of the rate limit, or 0 without a limit.
func (l *Limiter) HealthCheckInterval() time.Duration {
	if !l.rate.limited {
		return 0
	}
	checksPerSecond := l.rate.perSecond / (1 - healthCheckShare) * healthCheckShare
	return durationOf(1 / checksPerSecond)
}

// available returns the tokens at now. They are negative after requests that were
// granted before the limit was stated.
func (b *tokenBucket) available(now time.Time) float64 {
	capacity := max(1, b.perSecond*burstPeriod.Seconds())
	return min(capacity, b.tokens+b.perSecond*now.Sub(b.updatedAt).Seconds())
}

// spend takes a token for a request that is sent.
func (b *tokenBucket) spend(now time.Time) {
	if b.limited {
		b.tokens, b.updatedAt = b.available(now)-1, now
	}
}

// wait returns how long it takes until n tokens are available.
func (b *tokenBucket) wait(now time.Time, n int) time.Duration {
	missing := float64(n) - b.available(now)
	if !b.limited || missing <= 0 {
		return 0
	}
	return durationOf(missing / b.perSecond)
}

// durationOf converts seconds, which may be infinite, to a duration.
func durationOf(seconds float64) time.Duration {
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// rateAllows reports whether one more request stays within the rate limit. Offers
// count as well, since their requests are about to be sent.
func (l *Limiter) rateAllows(now time.Time) bool {
	return !l.rate.limited || l.rate.wait(now, 1+len(l.reservations)-l.startedCount()) == 0
}

// RateWait returns how long the rate limit delays a request that is not queued yet
// behind those that are, up to maxRateWait.
func (l *Limiter) RateWait(now time.Time) time.Duration {
	return min(maxRateWait, l.rate.wait(now, 1+len(l.queue)))
}

// isTooLate reports whether the rate limit holds a request back until after it
// expires. Requests ahead of it in the queue do not count, because they may be served
// elsewhere.
func (l *Limiter) isTooLate(now, expires time.Time) bool {
	return l.rate.wait(now, 1) > expires.Sub(now)
}
