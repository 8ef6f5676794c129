package limiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
)

// TestIsBusy_AboveTheSlotsOfOrdinaryRequests guards against a server that is taken for
// free although nested calls use the slots beyond 0.8.
func TestIsBusy_AboveTheSlotsOfOrdinaryRequests(t *testing.T) {
	l, now := limiter.New(10), time.Unix(1000, 0)
	for n := range uint64(10) {
		must.Eq(t, n > 8, l.IsBusy(), must.Sprint(n))
		must.Eq(t, limiter.Granted, l.Reserve(now, limiter.NewKey(1, n), limiter.NewRequest(1, true, time.Second)).Status())
	}
	must.True(t, l.IsBusy())
}
