package store

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Intercept returns a client that calls before at the start and after at the end
// of every call to c, with the call's error. If before returns an error, c is
// not called, and the call fails with an *UnavailableError.
func Intercept(c *Client, before func(context.Context, Call) error, after func(Call, error)) *Client {
	return &Client{
		get: func(ctx context.Context, key string) (Entry, error) {
			return intercept(ctx, CallGet, before, after, func() (Entry, error) { return c.get(ctx, key) })
		},
		list: func(ctx context.Context, prefix string) ([]Entry, error) {
			return intercept(ctx, CallList, before, after, func() ([]Entry, error) { return c.list(ctx, prefix) })
		},
		compareAndSwap: func(ctx context.Context, w Write) (Entry, error) {
			return intercept(ctx, CallCompareAndSwap, before, after, func() (Entry, error) { return c.compareAndSwap(ctx, w) })
		},
		watch: func(ctx context.Context, key string, v Version, wait time.Duration) (Entry, error) {
			return intercept(ctx, CallWatch, before, after, func() (Entry, error) { return c.watch(ctx, key, v, wait) })
		},
		grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			return intercept(ctx, CallGrant, before, after, func() (LeaseID, error) { return c.grant(ctx, ttl) })
		},
		renew: func(ctx context.Context, id LeaseID) error {
			_, err := intercept(ctx, CallRenew, before, after, func() (LeaseID, error) { return id, c.renew(ctx, id) })
			return err
		},
		revoke: func(ctx context.Context, id LeaseID) error {
			_, err := intercept(ctx, CallRevoke, before, after, func() (LeaseID, error) { return id, c.revoke(ctx, id) })
			return err
		},
	}
}

func intercept[T any](ctx context.Context, call Call, before func(context.Context, Call) error, after func(Call, error), run func() (T, error)) (T, error) {
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

// WithObserver returns a client that reports every call and its error to
// observe.
func WithObserver(c *Client, observe func(Call, error)) *Client {
	return Intercept(c, func(context.Context, Call) error { return nil }, observe)
}

// RateLimits limits the rate of a client's calls to the service.
type RateLimits struct {
	reads  float64
	writes float64
	burst  int
}

// NewRateLimits returns limits in reads and writes per second. Both permit
// bursts of the given number of calls.
func NewRateLimits(reads, writes float64, burst int) RateLimits {
	return RateLimits{reads: reads, writes: writes, burst: burst}
}

// DefaultRateLimits returns the limits of one node: 2 reads and 0.5 writes per
// second, with bursts of up to 8 calls.
func DefaultRateLimits() RateLimits { return NewRateLimits(2, 0.5, 8) }

// WithRateLimit returns a client whose calls wait until the limits permit them.
// A call fails with an *UnavailableError if its context ends first.
func WithRateLimit(c *Client, limits RateLimits, clock clockwork.Clock) *Client {
	reads := rate.NewLimiter(rate.Limit(limits.reads), limits.burst)
	writes := rate.NewLimiter(rate.Limit(limits.writes), limits.burst)
	before := func(ctx context.Context, call Call) error {
		limiter := reads
		if call.Writes() {
			limiter = writes
		}
		return waitForLimiter(ctx, limiter, clock)
	}
	return Intercept(c, before, func(Call, error) {})
}

func waitForLimiter(ctx context.Context, limiter *rate.Limiter, clock clockwork.Clock) error {
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
