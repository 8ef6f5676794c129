package limiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func key(n int) limiter.Key { return limiter.NewKey(1, uint64(n)) }

func plain() limiter.Request { return limiter.NewRequest(1, false, 0) }

func patient(rank int) limiter.Request { return limiter.NewRequest(rank, false, time.Second) }

func fill(b *limiter.Limiter, from, count int) {
	for n := range count {
		b.Reserve(at(0), key(from+n), plain())
		b.Start(at(0), key(from+n))
	}
}

func TestOrdinaryRequestsStayBelowTheKnee(t *testing.T) {
	b := limiter.New(10)
	fill(b, 0, 8)
	must.Eq(t, limiter.Denied, b.Reserve(at(0), key(100), plain()).Verdict())
	must.Eq(t, limiter.Granted, b.Reserve(at(0), key(101), limiter.NewRequest(1, true, 0)).Verdict())
	must.Eq(t, limiter.Granted, b.Reserve(at(0), key(102), limiter.NewRequest(1, true, 0)).Verdict())
	must.Eq(t, limiter.Denied, b.Reserve(at(0), key(103), limiter.NewRequest(1, true, 0)).Verdict())
}

func TestServerOfOneSlotTakesOneRequest(t *testing.T) {
	b := limiter.New(1)
	must.Eq(t, limiter.Granted, b.Reserve(at(0), key(1), plain()).Verdict())
	must.Eq(t, limiter.Denied, b.Reserve(at(0), key(2), plain()).Verdict())
}

func TestMostUrgentThenNewestIsNext(t *testing.T) {
	b := limiter.New(1)
	fill(b, 0, 1)
	b.Reserve(at(1), key(1), patient(2))
	b.Reserve(at(2), key(2), patient(1))
	b.Reserve(at(3), key(3), patient(1))
	b.Reserve(at(4), key(4), limiter.NewRequest(9, true, time.Second))
	var order []limiter.Key
	last := key(0)
	for range 4 {
		b.Release(last)
		d := b.Advance(at(10))
		must.Eq(t, 1, len(d))
		must.Eq(t, limiter.Granted, d[0].Verdict())
		last = d[0].Key()
		b.Start(at(10), last)
		order = append(order, last)
	}
	must.Eq(t, []limiter.Key{key(4), key(3), key(2), key(1)}, order)
}

func TestOfferLapses(t *testing.T) {
	b := limiter.New(1)
	b.Reserve(at(0), key(1), plain())
	must.Eq(t, 0, len(b.Advance(at(399))))
	d := b.Advance(at(400))
	must.Eq(t, limiter.Denied, d[0].Verdict())
	must.False(t, b.Start(at(401), key(1)))
	must.Eq(t, limiter.Granted, b.Reserve(at(401), key(2), plain()).Verdict())
}

func TestAskInLineIsDeniedWhenItsPatienceEnds(t *testing.T) {
	b := limiter.New(1)
	fill(b, 0, 1)
	b.Reserve(at(0), key(1), limiter.NewRequest(1, false, 50*time.Millisecond))
	must.Eq(t, 0, len(b.Advance(at(49))))
	must.Eq(t, limiter.Denied, b.Advance(at(50))[0].Verdict())
	must.Eq(t, 0, b.QueueLen())
}

func TestAskWaitsForItsPaceAndHoldsUpNobody(t *testing.T) {
	b := limiter.New(10)
	b.ReportLoad(0, 4)
	must.Eq(t, limiter.Queued, b.Reserve(at(0), key(1), patient(0).WithMaxSlowness(1.5)).Verdict())
	must.Eq(t, limiter.Granted, b.Reserve(at(1), key(2), patient(5)).Verdict())
	b.ReportLoad(1, 1)
	d := b.Advance(at(2))
	must.Eq(t, key(1), d[0].Key())
	must.Eq(t, limiter.Granted, d[0].Verdict())
}

func TestRequestsOfOthersTakePlaces(t *testing.T) {
	b := limiter.New(10)
	b.ReportLoad(12, 1)
	must.Eq(t, limiter.Denied, b.Reserve(at(0), key(1), plain()).Verdict())
	b.ReportLoad(1, 1)
	must.Eq(t, limiter.Granted, b.Reserve(at(0), key(1), plain()).Verdict())
}

func TestFailingServerCostsMoreAndIsForgiven(t *testing.T) {
	b := limiter.New(10)
	sound := b.Cost(at(0))
	for n := range 8 {
		b.RecordResult(at(n), true)
	}
	must.Greater(t, 5*sound, b.Cost(at(8)))
	must.Less(t, 2*sound, b.Cost(at(10_000)))
}

func TestWithdrawnOfferIsFreeAndRunningRequestIsNot(t *testing.T) {
	b := limiter.New(1)
	b.Reserve(at(0), key(1), plain())
	b.Withdraw(key(1))
	must.Eq(t, limiter.Granted, b.Reserve(at(0), key(2), plain()).Verdict())
	b.Start(at(0), key(2))
	b.Withdraw(key(2))
	must.Eq(t, 1, b.InUse())
}

func TestCloseDeniesWhoHasNotBegun(t *testing.T) {
	b := limiter.New(1)
	fill(b, 0, 1)
	b.Reserve(at(0), key(1), patient(1))
	d := b.DenyPending()
	must.Eq(t, 1, len(d))
	must.Eq(t, key(1), d[0].Key())
	must.Eq(t, 1, b.InUse())
}

// TestColdServerNeverGetsMoreThanItBears plays random requests, ends and health
// checks against a cold server and counts what reaches it in any second.
func TestColdServerNeverGetsMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.IntRange(1, 30).Draw(r, "rate")
		b := limiter.New(rapid.IntRange(1, 40).Draw(r, "slots"))
		b.SetColdStart(at(10_000), float64(rate))
		var sent []time.Time
		var held []limiter.Key
		now := 0
		for n := range rapid.IntRange(1, 300).Draw(r, "steps") {
			now += rapid.IntRange(0, 60).Draw(r, "pause")
			for _, d := range b.Advance(at(now)) {
				if d.Verdict() == limiter.Granted {
					held = append(held, d.Key())
				}
			}
			if b.Reserve(at(now), key(n), limiter.NewRequest(rapid.IntRange(0, 3).Draw(r, "rank"), rapid.Bool().Draw(r, "nested"), 100*time.Millisecond)).Verdict() == limiter.Granted {
				held = append(held, key(n))
			}
			if len(held) > 0 && rapid.Bool().Draw(r, "begin") {
				if b.Start(at(now), held[0]) {
					sent = append(sent, at(now))
				}
				if rapid.Bool().Draw(r, "finish") {
					b.Release(held[0])
				}
				held = held[1:]
			}
		}
		for i := range sent {
			in := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				in++
			}
			if in > rate {
				r.Fatalf("%d requests in a second, %d are borne", in, rate)
			}
		}
	})
}

// TestPlacesNeverExceedSlots plays random asks, withdrawals and ends.
func TestPlacesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(r, "slots")
		b := limiter.New(slots)
		now := 0
		for n := range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += rapid.IntRange(0, 30).Draw(r, "pause")
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0, 1:
				b.Reserve(at(now), key(n), limiter.NewRequest(1, rapid.Bool().Draw(r, "nested"), 80*time.Millisecond))
			case 2:
				b.Start(at(now), key(rapid.IntRange(0, n).Draw(r, "which")))
			case 3:
				b.Release(key(rapid.IntRange(0, n).Draw(r, "which")))
			case 4:
				b.Withdraw(key(rapid.IntRange(0, n).Draw(r, "which")))
			}
			b.Advance(at(now))
			if b.InUse() > slots {
				r.Fatalf("%d places of %d slots", b.InUse(), slots)
			}
		}
	})
}
