package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorygap.example/lib/quota"
)

const (
	historyLength = 30 * time.Second
	maxIncidents  = 8
)

// history draws a random history of a fleet and its load.
func history(t *rapid.T) (s *fleetSim, l quota.Limit) {
	rate := rapid.SampledFrom([]float64{2, 3, 10, 40, 120, 257}).Draw(t, "rate")
	l = quota.NewLimit("a", rate, rate*rapid.Float64Range(0.8, 1.2).Draw(t, "burst"))
	size := rapid.SampledFrom([]int{3, 10, 30, mesh}).Draw(t, "size")
	s = newFleet(rapid.Uint64().Draw(t, "seed"), size, l)
	s.slotLost = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "slotLost")
	s.lossRate = rapid.SampledFrom([]float64{0, 0.001, 0.02}).Draw(t, "lossRate")
	s.stalls = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "stalls")
	weight := evenly
	if rapid.Bool().Draw(t, "uneven") {
		weight = skewed
	}
	s.load(l.Tenant(), rate*usualShare, 0, historyLength, weight)
	for range rapid.IntRange(0, 3).Draw(t, "floods") {
		from := time.Duration(rapid.IntRange(0, 22).Draw(t, "floodAt")) * time.Second
		s.load(l.Tenant(), rate*usualShare*rapid.Float64Range(2, 6.5).Draw(t, "factor"), from, from+8*time.Second, weight)
	}
	return s, l
}

// addIncidents adds random failures and changes of the fleet to a history.
func addIncidents(t *rapid.T, s *fleetSim) {
	for range rapid.IntRange(0, maxIncidents).Draw(t, "incidents") {
		at := time.Duration(rapid.IntRange(0, 22000).Draw(t, "at")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"cut", "kill", "killAll", "join", "leave", "stop", "link", "remove"}).Draw(t, "kind")
		count := rapid.IntRange(1, max(1, len(s.nodes)*35/100)).Draw(t, "count")
		first := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "first")
		d := time.Duration(rapid.IntRange(300, 12000).Draw(t, "lasts")) * time.Millisecond
		s.after(at, func() { s.incident(kind, first, count, d) })
	}
}

func (s *fleetSim) incident(kind string, first, count int, d time.Duration) {
	if kind == "killAll" {
		for _, n := range s.nodes {
			if n.alive {
				s.kill(n, s.between(300*time.Millisecond, 1300*time.Millisecond))
			}
		}
		return
	}
	switch kind {
	case "remove":
		s.removeTenants(min(d, time.Second))
		return
	case "link":
		s.loseLink(s.nodes[first%len(s.nodes)], s.nodes[(first+count)%len(s.nodes)], d)
		return
	}
	for i := range count {
		n := s.nodes[(first+i)%len(s.nodes)]
		switch {
		case kind == "join":
			s.after(s.between(0, d), s.join)
		case !n.alive || n.cut || n.stopping:
		case kind == "cut":
			s.isolate(n, d)
		case kind == "kill":
			s.kill(n, min(d, time.Second))
		case kind == "leave":
			s.kill(n, 0)
		case kind == "stop":
			s.stop(n)
		}
	}
}

// stop ends a node after it has told the others.
func (s *fleetSim) stop(n *simNode) {
	n.stopping = true
	n.updateView()
	for _, other := range s.nodes {
		if other != n {
			s.after(oneWay, other.inEra(other.viewChanged))
		}
	}
	s.after(3200*time.Millisecond, func() {
		if n.alive && n.stopping {
			s.kill(n, 0)
		}
	})
}

// TestRandomHistories_StayWithinTheBound guards against credits that are granted twice:
// by two owners, by an owner and a fallback, before and after a restart, or by a node that was
// cut off.
func TestRandomHistories_StayWithinTheBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		s, l := history(t)
		addIncidents(t, s)
		s.run(historyLength + time.Second)
		most, at := busiest(s.sent[l.Tenant()], 0, historyLength)
		if allowed := bounds.Allowed(l); float64(most) > allowed {
			t.Fatalf("%d requests in the window at %v, %.0f are allowed", most, at, allowed)
		}
		used := (float64(most) - 5*l.Rate()) / (bounds.Allowed(l) - 5*l.Rate())
		worst = max(worst, used)
	})
	t.Logf("the busiest window took %.2f of the margin", worst)
}

// TestRandomHistories_LowerLimitBindsAfterAWindow guards against credits and tokens of an
// earlier limit.
func TestRandomHistories_LowerLimitBindsAfterAWindow(t *testing.T) {
	const inForce = 2500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		s, l := history(t)
		changedAt := time.Duration(rapid.IntRange(5, 12).Draw(t, "changedAt")) * time.Second
		next := l.Rate() * rapid.SampledFrom([]float64{0.05, 0.3, 0.8, 1.5}).Draw(t, "factor")
		lowered := quota.NewLimit(l.Tenant(), next, next)
		s.after(changedAt, func() { s.setLimits(lowered) })
		s.run(historyLength + time.Second)
		if most, at := busiest(s.sent[l.Tenant()], 0, changedAt); float64(most) > bounds.Allowed(l) {
			t.Fatalf("%d requests in the window at %v, %.0f are allowed", most, at, bounds.Allowed(l))
		}
		most, at := busiest(s.sent[l.Tenant()], changedAt+inForce+bounds.Window(), historyLength)
		if allowed := bounds.Allowed(lowered); float64(most) > allowed {
			t.Fatalf("%d requests in the window at %v after the change, %.0f are allowed", most, at, allowed)
		}
	})
}

// TestRandomDemandWithinTheLimit_IsServed guards against refusals within the limit while
// nothing fails, also after a start without history. A bucket that sees all requests says
// which are within the limit.
func TestRandomDemandWithinTheLimit_IsServed(t *testing.T) {
	lowest := 1.0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2, 3, 10, 40, 120, 257}).Draw(t, "rate")
		l := quota.NewLimit("a", rate, rate)
		s := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 3, 10, 30, mesh}).Draw(t, "size"), l)
		weight, length := evenly, max(20*time.Second, time.Duration(300/rate)*time.Second)
		if rapid.Bool().Draw(t, "uneven") {
			weight = skewed
		}
		s.load("a", rate*rapid.SampledFrom([]float64{0.3, usualShare, 0.8}).Draw(t, "demand"), 0, length, weight)
		s.run(length + time.Second)
		admissible, within := quota.NewBucket(s.start, rate, rate, rate), 0
		for _, at := range s.arrived["a"] {
			within += admissible.Take(s.start.Add(at), 1)
		}
		share := float64(len(s.sent["a"])) / float64(within)
		lowest = min(lowest, share)
		if share < fairShare {
			t.Fatalf("%d sent, %d were within the limit", len(s.sent["a"]), within)
		}
	})
	t.Logf("the lowest share was %.3f", lowest)
}
