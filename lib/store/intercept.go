package store

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Intercept returns a client that runs before ahead of every call and passes the
// call's error to after. A non-nil error from before ends the call.
func Intercept(c *Client, before func(context.Context, Call) error, after func(Call, error)) *Client {
	return &Client{
		get: func(ctx context.Context, key string) (Entry, error) {
			return around(ctx, CallGet, before, after, func() (Entry, error) { return c.get(ctx, key) })
		},
		list: func(ctx context.Context, prefix string) ([]Entry, error) {
			return around(ctx, CallList, before, after, func() ([]Entry, error) { return c.list(ctx, prefix) })
		},
		swap: func(ctx context.Context, w Write) (Entry, error) {
			return around(ctx, CallCompareAndSwap, before, after, func() (Entry, error) { return c.swap(ctx, w) })
		},
		watch: func(ctx context.Context, key string, v Version, wait time.Duration) (Entry, error) {
			return around(ctx, CallWatch, before, after, func() (Entry, error) { return c.watch(ctx, key, v, wait) })
		},
		grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			return around(ctx, CallGrant, before, after, func() (LeaseID, error) { return c.grant(ctx, ttl) })
		},
		renew: func(ctx context.Context, id LeaseID) error {
			_, err := around(ctx, CallRenew, before, after, func() (LeaseID, error) { return id, c.renew(ctx, id) })
			return err
		},
		revoke: func(ctx context.Context, id LeaseID) error {
			_, err := around(ctx, CallRevoke, before, after, func() (LeaseID, error) { return id, c.revoke(ctx, id) })
			return err
		},
	}
}

func around[T any](ctx context.Context, call Call, before func(context.Context, Call) error, after func(Call, error), run func() (T, error)) (T, error) {
	if err := before(ctx, call); err != nil {
		var zero T
		unavailable := &UnavailableError{call: call, cause: err}
		after(call, unavailable)
		return zero, unavailable
	}
	v, err := run()
	after(call, err)
	return v, err
}

// WithObserver returns a client that reports every call and its error to count.
func WithObserver(c *Client, count func(Call, error)) *Client {
	return Intercept(c, func(context.Context, Call) error { return nil }, count)
}

// RateLimits bounds the calls of one process to the service.
type RateLimits struct {
	reads  float64
	writes float64
	burst  int
}

// NewRateLimits returns a budget of reads and writes per second with a burst in
// calls.
func NewRateLimits(reads, writes float64, burst int) RateLimits {
	return RateLimits{reads: reads, writes: writes, burst: burst}
}

// DefaultRateLimits returns the budget of one node: 2 reads and 0.5 writes a
// second, in bursts of up to 8.
func DefaultRateLimits() RateLimits { return NewRateLimits(2, 0.5, 8) }

// WithRateLimit returns a client whose calls wait for their budget, or fail when the
// context would end first. The wait runs on clock.
func WithRateLimit(c *Client, b RateLimits, clock clockwork.Clock) *Client {
	reads := rate.NewLimiter(rate.Limit(b.reads), b.burst)
	writes := rate.NewLimiter(rate.Limit(b.writes), b.burst)
	before := func(ctx context.Context, call Call) error {
		limiter := reads
		if call.Writes() {
			limiter = writes
		}
		return waitFor(ctx, limiter, clock)
	}
	return Intercept(c, before, func(Call, error) {})
}

func waitFor(ctx context.Context, limiter *rate.Limiter, clock clockwork.Clock) error {
	now := clock.Now()
	reservation := limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	select {
	case <-clock.After(delay):
		return nil
	case <-ctx.Done():
		reservation.CancelAt(clock.Now())
		return ctx.Err()
	}
}
