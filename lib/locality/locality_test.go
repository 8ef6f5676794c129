package locality_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/locality"
)

const (
	roundTrip = 8800 * time.Microsecond
	latency   = 85 * time.Millisecond
)

func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

// TestRoundTrips_BusyNodeIsNotFar guards against a near data centre that counts as far
// because a busy node delays most replies.
func TestRoundTrips_BusyNodeIsNotFar(t *testing.T) {
	r := locality.NewRoundTrips(5 * time.Millisecond)
	for ms := range 20_000 {
		took := 12 * time.Millisecond
		if ms%700 == 0 {
			took = time.Millisecond
		}
		r.Record(at(ms), "south", took)
		must.Eq(t, locality.Near, r.Distance(at(ms), "south"))
	}
	must.Eq(t, locality.Unmeasured, r.Distance(at(40_000), "south"))
	r.Record(at(40_000), "south", 30*time.Millisecond)
	must.Eq(t, locality.Unmeasured, r.Distance(at(40_000), "south"))
}

// TestRoundTrips_FarDataCentreStaysFar guards against a far data centre that counts as
// near after nobody has asked it, or after its replies have become late for a while.
func TestRoundTrips_FarDataCentreStaysFar(t *testing.T) {
	r := locality.NewRoundTrips(5 * time.Millisecond)
	must.Eq(t, locality.Unmeasured, r.Distance(at(0), "south"))
	for n := range 8 {
		must.Eq(t, locality.Unmeasured, r.Distance(at(n), "south"))
		r.Record(at(n), "south", roundTrip+time.Duration(n)*time.Millisecond)
	}
	must.Eq(t, locality.Far, r.Distance(at(60_000), "south"))
	must.Eq(t, roundTrip, r.RoundTrip("south"))
	r.Record(at(60_000), "south", time.Millisecond)
	must.Eq(t, locality.Near, r.Distance(at(60_000), "south"))
}

// TestFarCandidates_LoadAloneStaysHere guards against requests that leave servers which
// are busy but not slow, and against a share that jumps.
func TestFarCandidates_LoadAloneStaysHere(t *testing.T) {
	b, before := locality.NewBalance(), 0.0
	cost := func(from, to int, cost float64) {
		for ms := from; ms < to; ms += 50 {
			b.RecordHere(at(ms), cost)
			b.FarCandidates(at(ms), latency, roundTrip, 0.5)
			must.LessEq(t, 0.0126, math.Abs(b.Share()-before))
			before = b.Share()
		}
	}
	cost(0, 3000, locality.OfferedCost(1.6))
	must.Eq(t, 0, b.Share())
	cost(3000, 4900, locality.OfferedCost(4))
	must.Between(t, 0.4, b.Share(), 0.5)
	cost(4900, 20_000, locality.OfferedCost(1.2))
	must.Eq(t, 0, b.Share())
}

// region is one data centre of the simulation: the ends of the runs at each server, in ms.
type region struct {
	servers  [4][]int
	balances [4]*locality.Balance
}

const slots = 7

// cost returns what a server replies with, and whether it offers a slot.
func (g *region) cost(ms, server int) (float64, bool) {
	ends := g.servers[server][:0]
	for _, end := range g.servers[server] {
		if end > ms {
			ends = append(ends, end)
		}
	}
	g.servers[server] = ends
	return 1 + 0.6*float64(len(ends))/slots, len(ends) < slots
}

// waves are the requests of a minute: served here and elsewhere by second of the wave of
// their data centre, which begins with its rising half, and refused.
type waves struct {
	here, elsewhere, joined [15]float64
	refused, all            float64
}

// simulate plays waves of load that run through four data centres a quarter of a period
// apart. Without distant set, requests stay in their data centre.
func simulate(seed uint64, distant bool) waves {
	random := rand.New(rand.NewPCG(seed, 1))
	regions, w := [4]*region{{}, {}, {}, {}}, waves{}
	for _, g := range regions {
		for i := range g.balances {
			g.balances[i] = locality.NewBalance()
		}
	}
	for ms := range 60_000 {
		for i, g := range regions {
			phase := (ms + i*3750) % 15_000
			perMs := 0.65 * 4 * slots / 85 * (1 + 0.55*math.Sin(2*math.Pi*float64(phase)/15_000))
			if random.Float64() < perMs {
				w.search(random, regions, g, ms, phase/1000, distant)
			}
		}
	}
	return w
}

func (w *waves) search(random *rand.Rand, regions [4]*region, own *region, ms, second int, distant bool) {
	w.all++
	b, best, bestCost, lowestHere, bestRegion := own.balances[random.IntN(4)], -1, math.Inf(1), math.Inf(1), own
	for i := range own.servers {
		cost, offered := own.cost(ms, i)
		if !offered {
			lowestHere = min(lowestHere, locality.QueuedCost(cost))
			continue
		}
		lowestHere = min(lowestHere, locality.OfferedCost(cost))
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	b.RecordHere(at(ms), lowestHere)
	far := 0
	if distant {
		far = b.FarCandidates(at(ms), latency, roundTrip, random.Float64())
		w.joined[second] += float64(min(far, 1))
		if best < 0 {
			far = 4
		}
	}
	lowest := math.Inf(1)
	for range far {
		g, i := regions[random.IntN(4)], random.IntN(4)
		if g == own {
			continue
		}
		cost, offered := g.cost(ms, i)
		if !offered {
			lowest = min(lowest, locality.QueuedCost(cost))
			continue
		}
		lowest = min(lowest, cost)
		if cost += locality.ExtraCost(roundTrip, latency); cost < bestCost {
			best, bestCost, bestRegion = i, cost, g
		}
	}
	if !math.IsInf(lowest, 1) {
		b.RecordElsewhere(at(ms), lowest)
	}
	switch {
	case best < 0:
		w.refused++
		return
	case bestRegion == own:
		w.here[second]++
	default:
		w.elsewhere[second]++
	}
	bestRegion.servers[best] = append(bestRegion.servers[best], ms+int(latency.Milliseconds()*4/5)+random.IntN(34))
}

// TestWavesThroughDataCentres_OverflowIsServedElsewhere plays waves of plus and minus 55%
// with a period of 15 s that run through the data centres out of phase. It guards against
// a busy data centre that refuses what others have room for, against all requests leaving
// it at once, and against calm ones that ask elsewhere.
func TestWavesThroughDataCentres_OverflowIsServedElsewhere(t *testing.T) {
	for seed := range uint64(5) {
		alone, w := simulate(seed, false), simulate(seed, true)
		t.Logf("seed %d: refused %.4f alone, %.4f with others", seed, alone.refused/alone.all, w.refused/w.all)
		must.Greater(t, 0.02, alone.refused/alone.all)
		must.Less(t, 0.004, w.refused/w.all)
		for second := range w.here {
			all := w.here[second] + w.elsewhere[second]
			t.Logf("second %d: elsewhere %.3f, asked with those here %.3f", second, w.elsewhere[second]/all, w.joined[second]/all)
			must.Less(t, 0.35, w.elsewhere[second]/all)
			if second >= 9 && second < 14 {
				must.Less(t, 0.01, w.elsewhere[second]/all)
				must.Less(t, 0.02, w.joined[second]/all)
			}
		}
	}
}
