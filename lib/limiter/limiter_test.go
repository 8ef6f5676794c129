package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func key(n int) limiter.Key { return limiter.NewKey(1, uint64(n)) }

func ordinary() limiter.Request { return limiter.NewRequest(1, false, 0) }

func queueable(priority int) limiter.Request { return limiter.NewRequest(priority, false, time.Second) }

func startRequests(l *limiter.Limiter, from, count int) {
	for n := range count {
		l.Reserve(at(0), key(from+n), ordinary())
		l.Start(at(0), key(from+n))
	}
}

func TestReserve_OrdinaryRequestsLeaveSlotsForNestedCalls(t *testing.T) {
	l := limiter.New(10)
	startRequests(l, 0, 8)
	must.Eq(t, limiter.Denied, l.Reserve(at(0), key(100), ordinary()).Status())
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(101), limiter.NewRequest(1, true, 0)).Status())
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(102), limiter.NewRequest(1, true, 0)).Status())
	must.Eq(t, limiter.Denied, l.Reserve(at(0), key(103), limiter.NewRequest(1, true, 0)).Status())
}

func TestReserve_SingleSlotTakesOneRequest(t *testing.T) {
	l := limiter.New(1)
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(1), ordinary()).Status())
	must.Eq(t, limiter.Denied, l.Reserve(at(0), key(2), ordinary()).Status())
}

func TestAdvance_GrantsNestedThenPriorityThenNewest(t *testing.T) {
	l := limiter.New(1)
	startRequests(l, 0, 1)
	l.Reserve(at(1), key(1), queueable(2))
	l.Reserve(at(2), key(2), queueable(1))
	l.Reserve(at(3), key(3), queueable(1))
	l.Reserve(at(4), key(4), limiter.NewRequest(9, true, time.Second))
	var granted []limiter.Key
	last := key(0)
	for range 4 {
		l.Release(last)
		d := l.Advance(at(10))
		must.Eq(t, 1, len(d))
		must.Eq(t, limiter.Granted, d[0].Status())
		last = d[0].Key()
		l.Start(at(10), last)
		granted = append(granted, last)
	}
	must.Eq(t, []limiter.Key{key(4), key(3), key(2), key(1)}, granted)
}

func TestAdvance_ExpiresOffer(t *testing.T) {
	l := limiter.New(1)
	l.Reserve(at(0), key(1), ordinary())
	must.Eq(t, 0, len(l.Advance(at(399))))
	d := l.Advance(at(400))
	must.Eq(t, limiter.Denied, d[0].Status())
	must.False(t, l.Start(at(401), key(1)))
	must.Eq(t, limiter.Granted, l.Reserve(at(401), key(2), ordinary()).Status())
}

func TestAdvance_DeniesQueuedRequestAfterMaxWait(t *testing.T) {
	l := limiter.New(1)
	startRequests(l, 0, 1)
	l.Reserve(at(0), key(1), limiter.NewRequest(1, false, 50*time.Millisecond))
	must.Eq(t, 0, len(l.Advance(at(49))))
	must.Eq(t, limiter.Denied, l.Advance(at(50))[0].Status())
	must.Eq(t, 0, l.QueueLen())
}

func TestReserve_TooSlowServerQueuesRequestWithoutBlockingOthers(t *testing.T) {
	l := limiter.New(10)
	l.ReportLoad(0, 4)
	must.Eq(t, limiter.Queued, l.Reserve(at(0), key(1), queueable(0).WithMaxSlowness(1.5)).Status())
	must.Eq(t, limiter.Granted, l.Reserve(at(1), key(2), queueable(5)).Status())
	l.ReportLoad(1, 1)
	d := l.Advance(at(2))
	must.Eq(t, key(1), d[0].Key())
	must.Eq(t, limiter.Granted, d[0].Status())
}

func TestReportLoad_ExternalRequestsUseSlots(t *testing.T) {
	l := limiter.New(10)
	l.ReportLoad(12, 1)
	must.Eq(t, limiter.Denied, l.Reserve(at(0), key(1), ordinary()).Status())
	l.ReportLoad(1, 1)
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(1), ordinary()).Status())
}

func TestCost_RisesWithFailuresAndDecays(t *testing.T) {
	l := limiter.New(10)
	healthy := l.Cost(at(0))
	for n := range 8 {
		l.RecordResult(at(n), true)
	}
	must.Greater(t, 5*healthy, l.Cost(at(8)))
	must.Less(t, 2*healthy, l.Cost(at(10_000)))
}

func TestWithdraw_ReleasesOfferButNotStartedRequest(t *testing.T) {
	l := limiter.New(1)
	l.Reserve(at(0), key(1), ordinary())
	l.Withdraw(key(1))
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(2), ordinary()).Status())
	l.Start(at(0), key(2))
	l.Withdraw(key(2))
	must.Eq(t, 1, l.InUse())
}

func TestDenyPending_KeepsStartedRequests(t *testing.T) {
	l := limiter.New(1)
	startRequests(l, 0, 1)
	l.Reserve(at(0), key(1), queueable(1))
	d := l.DenyPending()
	must.Eq(t, 1, len(d))
	must.Eq(t, key(1), d[0].Key())
	must.Eq(t, 1, l.InUse())
}

// TestColdStart_RateIsNeverExceeded makes random slot requests to a cold
// server and starts and releases them at random. It guards against more
// requests being sent within any one second than the server's rate allows.
func TestColdStart_RateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.IntRange(1, 30).Draw(r, "rate")
		l := limiter.New(rapid.IntRange(1, 40).Draw(r, "slots"))
		l.SetColdStart(at(10_000), float64(rate))
		var sent []time.Time
		var offered []limiter.Key
		now := 0
		for n := range rapid.IntRange(1, 300).Draw(r, "steps") {
			now += rapid.IntRange(0, 60).Draw(r, "pause")
			for _, d := range l.Advance(at(now)) {
				if d.Status() == limiter.Granted {
					offered = append(offered, d.Key())
				}
			}
			if l.Reserve(at(now), key(n), limiter.NewRequest(rapid.IntRange(0, 3).Draw(r, "priority"), rapid.Bool().Draw(r, "nested"), 100*time.Millisecond)).Status() == limiter.Granted {
				offered = append(offered, key(n))
			}
			if len(offered) > 0 && rapid.Bool().Draw(r, "start") {
				if l.Start(at(now), offered[0]) {
					sent = append(sent, at(now))
				}
				if rapid.Bool().Draw(r, "release") {
					l.Release(offered[0])
				}
				offered = offered[1:]
			}
		}
		for i := range sent {
			count := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				count++
			}
			if count > rate {
				r.Fatalf("got %d requests within a second, want at most %d", count, rate)
			}
		}
	})
}

// TestReserve_NeverExceedsSlots makes, starts, releases and withdraws slot
// requests at random. It guards against more reserved slots than the server
// has.
func TestReserve_NeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(r, "slots")
		l := limiter.New(slots)
		now := 0
		for n := range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += rapid.IntRange(0, 30).Draw(r, "pause")
			switch rapid.IntRange(0, 4).Draw(r, "operation") {
			case 0, 1:
				l.Reserve(at(now), key(n), limiter.NewRequest(1, rapid.Bool().Draw(r, "nested"), 80*time.Millisecond))
			case 2:
				l.Start(at(now), key(rapid.IntRange(0, n).Draw(r, "request")))
			case 3:
				l.Release(key(rapid.IntRange(0, n).Draw(r, "request")))
			case 4:
				l.Withdraw(key(rapid.IntRange(0, n).Draw(r, "request")))
			}
			l.Advance(at(now))
			if l.InUse() > slots {
				r.Fatalf("got %d slots in use, want at most %d", l.InUse(), slots)
			}
		}
	})
}

// TestStart_ExpiredOfferIsNotUsed guards against a paused process that uses an offer
// before it notices that the offer has expired.
func TestStart_ExpiredOfferIsNotUsed(t *testing.T) {
	l := limiter.New(1)
	must.Eq(t, limiter.Granted, l.Reserve(at(0), key(1), ordinary()).Status())
	must.False(t, l.Start(at(400), key(1)))
	must.Eq(t, 1, len(l.Advance(at(401))))
	l.Reserve(at(500), key(2), ordinary())
	must.True(t, l.Start(at(899), key(2)))
}

// TestColdStart_FractionOfTheRateIsUsed has more requests than a cold server takes, as
// after a power loss, when every server is cold and every caller retries.
func TestColdStart_FractionOfTheRateIsUsed(t *testing.T) {
	const (
		seconds = 10
		margin  = 0.95 // of the rate, since requests may arrive closer together than sent
	)
	for _, rate := range []float64{0.4, 1, 5.5, 9.7, 12} {
		l := limiter.New(100)
		l.SetColdStart(at(1000*seconds), rate)
		var sent []int
		for ms := range 1000 * seconds {
			if l.Reserve(at(ms), key(ms), ordinary()).Status() == limiter.Granted {
				l.Start(at(ms), key(ms))
				l.Release(key(ms))
				sent = append(sent, ms)
			}
		}
		must.GreaterEq(t, int(margin*math.Floor(2*rate)*seconds/2)-1, len(sent), must.Sprint(rate))
		for i, from := range sent {
			within := 0
			for _, ms := range sent[i:] {
				if ms < from+1000 {
					within++
				}
			}
			must.LessEq(t, int(math.Ceil(rate)), within, must.Sprint(rate))
		}
	}
}
