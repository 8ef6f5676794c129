package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket.
type Bucket struct {
	rate      float64
	capacity  float64
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns a bucket that gains rate tokens a second up to its capacity.
func NewBucket(now time.Time, rate, capacity, tokens float64) Bucket {
	return Bucket{rate: rate, capacity: capacity, tokens: min(tokens, capacity), updatedAt: now}
}

func (b *Bucket) refill(now time.Time) {
	if passed := now.Sub(b.updatedAt); passed > 0 {
		b.tokens = min(b.tokens+b.rate*passed.Seconds(), b.capacity)
		b.updatedAt = now
	}
}

// Tokens returns the number of tokens.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Take takes up to n whole tokens and returns how many it took.
func (b *Bucket) Take(now time.Time, n int) int {
	b.refill(now)
	taken := max(0, min(n, int(b.tokens)))
	b.tokens -= float64(taken)
	return taken
}

// Reconfigure changes the rate and the capacity. Tokens above the new capacity are lost.
func (b *Bucket) Reconfigure(now time.Time, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// add changes the tokens by n, within 0 and the capacity.
func (b *Bucket) add(now time.Time, n float64) {
	b.refill(now)
	b.tokens = max(0, min(b.tokens+n, b.capacity))
}

// maxUntilToken bounds the time that UntilToken returns.
const maxUntilToken = time.Minute

// UntilToken returns the time until the bucket holds a whole token.
func (b *Bucket) UntilToken(now time.Time) time.Duration {
	b.refill(now)
	return untilToken(b.tokens, b.rate)
}

func untilToken(tokens, rate float64) time.Duration {
	missing := 1 - tokens
	if missing <= 0 {
		return 0
	}
	seconds := missing / rate
	if math.IsNaN(seconds) || seconds > maxUntilToken.Seconds() {
		return maxUntilToken
	}
	return time.Duration(seconds * float64(time.Second))
}
