package limiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/limiter"
)

// healthCheckShare is the part of a stated limit that is left to health checks.
const healthCheckShare = 0.05

// TestRateLimit_IsNeverExceeded makes, starts, withdraws and releases slot requests at
// random, and changes the limit on the way. It guards against a server in need that
// gets more requests in 4 s than the limit that it states.
func TestRateLimit_IsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const window = 4 * time.Second
		rate := rapid.Float64Range(0, 40).Draw(r, "rate")
		l := limiter.New(rapid.IntRange(1, 40).Draw(r, "slots"))
		l.SetRateLimit(at(0), rate)
		var sent []time.Time
		var offered []limiter.Key
		now := 0
		for n := range rapid.IntRange(1, 400).Draw(r, "steps") {
			now += rapid.IntRange(0, 60).Draw(r, "pause")
			if rapid.IntRange(0, 9).Draw(r, "restate") == 0 {
				l.SetRateLimit(at(now), rate)
			}
			for _, d := range l.Advance(at(now)) {
				if d.Status() == limiter.Granted {
					offered = append(offered, d.Key())
				}
			}
			if l.Reserve(at(now), key(n), limiter.NewRequest(rapid.IntRange(0, 3).Draw(r, "priority"), rapid.Bool().Draw(r, "nested"), 100*time.Millisecond)).Status() == limiter.Granted {
				offered = append(offered, key(n))
			}
			if len(offered) == 0 {
				continue
			}
			switch rapid.IntRange(0, 3).Draw(r, "operation") {
			case 0, 1:
				if l.Start(at(now), offered[0]) {
					sent = append(sent, at(now))
				}
				l.Release(offered[0])
				offered = offered[1:]
			case 2:
				l.Withdraw(offered[0])
				offered = offered[1:]
			}
		}
		for i := range sent {
			count := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < window; j++ {
				count++
			}
			if most := rate*window.Seconds() + max(1, rate/2); float64(count) > most+1e-6 {
				r.Fatalf("got %d requests within %s at %f a second, want at most %f", count, window, rate, most)
			}
		}
	})
}

// TestRateLimit_IsUsedUnderLoad has twice as many requests as the server takes. Callers
// must get all of the limit but the share of health checks.
func TestRateLimit_IsUsedUnderLoad(t *testing.T) {
	const seconds = 10
	for _, rate := range []float64{0.5, 1, 6.1, 10, 80} {
		l := limiter.New(100)
		l.SetRateLimit(at(0), rate)
		sent, next := 0, 0.0
		for ms := range 1000 * seconds {
			for _, d := range l.Advance(at(ms)) {
				if d.Status() == limiter.Granted {
					l.Start(at(ms), d.Key())
					l.Release(d.Key())
					sent++
				}
			}
			for ; next <= float64(ms); next += 500 / rate {
				l.Reserve(at(ms), key(ms), queueable(1))
			}
		}
		must.GreaterEq(t, int(rate*(1-healthCheckShare)*seconds)-1, sent, must.Sprint(rate))
	}
}

// TestRateLimit_HopelessRequestIsDeniedAtOnce guards against a request that waits for
// its whole time although no token comes before its end.
func TestRateLimit_HopelessRequestIsDeniedAtOnce(t *testing.T) {
	l := limiter.New(10)
	l.SetRateLimit(at(0), 1)
	must.Eq(t, limiter.Denied, l.Reserve(at(0), key(1), queueable(1)).Status())
	must.Eq(t, limiter.Queued, l.Reserve(at(100), key(2), queueable(1)).Status())
	must.Eq(t, limiter.Queued, l.Reserve(at(110), key(3), queueable(1)).Status())
	decisions := l.Advance(at(1060))
	must.Eq(t, 1, len(decisions))
	must.Eq(t, limiter.Granted, decisions[0].Status())
	must.Eq(t, key(3), decisions[0].Key())
	must.True(t, l.Start(at(1060), key(3)))
	decisions = l.Advance(at(1061))
	must.Eq(t, 1, len(decisions))
	must.Eq(t, limiter.Denied, decisions[0].Status())
}

// TestRateLimit_NewLimitAllowsNoBurst guards against a restarted limiter that grants a
// second's requests at once, right after those that were sent before the limit.
func TestRateLimit_NewLimitAllowsNoBurst(t *testing.T) {
	l := limiter.New(10)
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(1), ordinary()).Status())
	l.SetRateLimit(at(0), 10)
	must.True(t, l.Start(at(1), key(1)))
	must.Eq(t, limiter.Denied, l.Reserve(at(1), key(2), ordinary()).Status())
	must.Eq(t, limiter.Denied, l.Reserve(at(150), key(3), ordinary()).Status())
	must.Eq(t, limiter.Granted, l.Reserve(at(220), key(4), ordinary()).Status())
	l.ClearRateLimit()
	must.Eq(t, limiter.Granted, l.Reserve(at(221), key(5), ordinary()).Status())
}

// TestRateLimit_RaisesCost has callers prefer a server without a limit.
func TestRateLimit_RaisesCost(t *testing.T) {
	l := limiter.New(10)
	free := l.Cost(at(0))
	l.SetRateLimit(at(0), 5)
	must.Greater(t, free, l.Cost(at(0)))
	must.Less(t, 211*time.Millisecond, l.RateWait(at(10)))
	l.SetRateLimit(at(20), 0)
	must.Eq(t, 2*time.Second, l.RateWait(at(20)))
}

func TestHealthCheckInterval_StaysWithinItsShare(t *testing.T) {
	l := limiter.New(10)
	must.Eq(t, 0, l.HealthCheckInterval())
	l.SetRateLimit(at(0), 100)
	must.Eq(t, 200*time.Millisecond, l.HealthCheckInterval().Round(time.Millisecond))
}
