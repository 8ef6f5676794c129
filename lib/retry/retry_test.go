package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/outcome"
	"savorygap.example/lib/retry"
)

func TestAllowed(t *testing.T) {
	cases := map[string]struct {
		err        error
		idempotent bool
		want       bool
	}{
		"not run":                     {outcome.NewNotRun("x"), false, true},
		"not run, permanent":          {outcome.NewNotRun("x").Permanent(), true, false},
		"unknown, idempotent":         {outcome.NewUnknown("x", nil), true, true},
		"unknown, not idempotent":     {outcome.NewUnknown("x", nil), false, false},
		"unknown caused by a refusal": {outcome.NewUnknown("x", outcome.NewNotRun("y")), false, false},
		"truncated body":              {outcome.NewTruncated(5, nil), true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, retry.Allowed(c.err, c.idempotent))
		})
	}
}

// During a full outage each of twelve levels retries as often as its budget
// allows. The load on the last level must not grow by more than
// MaxAmplification. The tokens of the initial burst are used up first, so that
// they do not count.
func TestBudget_BoundsAmplificationOverTwelveLevels(t *testing.T) {
	const requests, levels = 20_000, 12
	sent := float64(requests)
	for depth := range levels {
		b := retry.NewBudget(retry.RetryRatio, retry.RetryBurst)
		for b.TryWithdraw(depth) {
			continue
		}
		retried := 0
		for range int(sent) {
			b.Deposit()
			for range 2 {
				if b.TryWithdraw(depth) {
					retried++
				}
			}
		}
		sent += float64(retried)
	}
	must.LessEq(t, retry.MaxAmplification()*1.01, sent/requests)
	must.Less(t, 1.5, retry.MaxAmplification())
	must.Greater(t, 1.1, sent/requests)
}

func TestLatencyQuantile_HedgeDelayFollows95thPercentile(t *testing.T) {
	q := &retry.LatencyQuantile{}
	_, ok := q.HedgeDelay()
	must.False(t, ok)
	for i := range 5000 {
		q.Add(time.Duration(1+i%100) * time.Millisecond)
	}
	delay, ok := q.HedgeDelay()
	must.True(t, ok)
	must.Between(t, 80*time.Millisecond, delay, 130*time.Millisecond)
}
