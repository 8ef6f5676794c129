package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quota"
)

// flood returns a fleet on which a large tenant sends 7 times its usual demand until the
// given time.
func flood(seed uint64, until time.Duration) *fleetSim {
	s := newFleet(seed, mesh, large)
	s.load("large", floodFactor*largeRate*usualShare, time.Second, until, evenly)
	return s
}

func mustStayWithinTheBound(t *testing.T, s *fleetSim, l quota.Limit) {
	t.Helper()
	most, at := busiest(s.sent[l.Tenant()], 0, s.now)
	t.Logf("most %d of %.0f at %v", most, bounds.Allowed(l), at)
	must.LessEq(t, int(bounds.Allowed(l)), most)
}

// TestFleetSplitInTwo_EachHalfGrantsItsPart guards against an owner in each half that
// grants the whole limit.
func TestFleetSplitInTwo_EachHalfGrantsItsPart(t *testing.T) {
	for seed := range uint64(3) {
		s := flood(seed, 30*time.Second)
		s.run(4 * time.Second)
		s.split()
		s.run(30 * time.Second)
		mustStayWithinTheBound(t, s, large)
		// The halves are to use the limit, once they know of the split.
		must.GreaterEq(t, int(fairShare*largeRate*bounds.Window().Seconds()*2), within(s.sent["large"], 15*time.Second, 25*time.Second))
	}
}

// TestOwnersKilledOneAfterAnother_StaysWithinTheBound guards against owners that begin
// with a full bucket, and against restarted ones that count as those of a new day.
func TestOwnersKilledOneAfterAnother_StaysWithinTheBound(t *testing.T) {
	for seed := range uint64(3) {
		s := flood(seed, 25*time.Second)
		for at := 3 * time.Second; at < 24*time.Second; at += 600 * time.Millisecond {
			s.run(at)
			s.kill(s.owner("large"), 900*time.Millisecond)
		}
		s.run(25 * time.Second)
		mustStayWithinTheBound(t, s, large)
	}
}

// TestCallersThatMove_UnusedCreditsLapse guards against credits that pile up at nodes that
// callers have left, and are all used when the callers come back.
func TestCallersThatMove_UnusedCreditsLapse(t *testing.T) {
	const stay, back = 300 * time.Millisecond, 21 * time.Second
	s := newFleet(1, mesh, large)
	for i := range mesh {
		from := time.Duration(i) * stay
		s.load("large", largeRate*usualShare, from, from+stay, func(node int) float64 {
			if node == i {
				return 1
			}
			return 0
		})
	}
	s.load("large", floodFactor*largeRate*usualShare, back, back+floodPeriod, evenly)
	s.run(back + floodPeriod)
	mustStayWithinTheBound(t, s, large)
}

// TestLoweredLimit_CreditsAreDropped guards against credits of the old limit that are used
// under the new one.
func TestLoweredLimit_CreditsAreDropped(t *testing.T) {
	var asked quota.Question
	now := time.Unix(1e9, 0)
	n := quota.NewNode(now, "self", bounds, func(_ string, q quota.Question) bool {
		asked = q
		return true
	}, func(uint64, quota.Verdict) {}, quota.NewObserver(func(quota.Source, int) {}, func(string, quota.Verdict) {}, func(int) {}))
	tenant, v := "a", quota.NewView("self", []string{"other"}, 2, false)
	for v.Owner(tenant) != "other" {
		tenant += "a"
	}
	n.SetView(now, v)
	account := n.Configure(now, []quota.Limit{quota.NewLimit(tenant, 100, 100)})[tenant]
	n.Request(now, tenant, 1)
	n.HandleAnswer(now, quota.NewAnswer(asked.Number(), 10, 0, true))
	_, ok := account.Take(now)
	must.True(t, ok)
	must.Eq(t, account, n.Configure(now, []quota.Limit{quota.NewLimit(tenant, 50, 50)})[tenant])
	_, ok = account.Take(now)
	must.False(t, ok)
}

// askingNode returns a node that is linked to one other, and the questions that it sends.
func askingNode(now time.Time, settle func(id uint64, v quota.Verdict)) (*quota.Node, *[]quota.Question) {
	asked := &[]quota.Question{}
	n := quota.NewNode(now, "self", bounds, func(_ string, q quota.Question) bool {
		*asked = append(*asked, q)
		return true
	}, settle, quota.NewObserver(func(quota.Source, int) {}, func(string, quota.Verdict) {}, func(int) {}))
	n.SetView(now, quota.NewView("self", []string{"other"}, 2, false))
	return n, asked
}

// ownedByOther returns tenants that the other node of askingNode owns.
func ownedByOther(count int) []string {
	v := quota.NewView("self", []string{"other"}, 2, false)
	var tenants []string
	for name := "a"; len(tenants) < count; name += "a" {
		if v.Owner(name) == "other" {
			tenants = append(tenants, name)
		}
	}
	return tenants
}

// TestQuestionWithoutAnswer_DoesNotDelayTheFallbackOfOthers guards against requests that wait
// for a silent owner longer than its answer may take, since an earlier question without an
// answer is looked at later.
func TestQuestionWithoutAnswer_DoesNotDelayTheFallbackOfOthers(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	n, _ := askingNode(start, func(uint64, quota.Verdict) {})
	tenants := ownedByOther(2)
	n.Configure(start, []quota.Limit{quota.NewLimit(tenants[0], 100, 100), quota.NewLimit(tenants[1], 100, 100)})
	n.Request(start, tenants[0], 1)
	n.Expire(at(40)) // the next look is due at 200 ms
	n.Request(at(50), tenants[1], 2)
	due, ok := n.NextTimeout()
	must.True(t, ok)
	must.Eq(t, at(90), due)
}

// TestAnswerAfterAPause_IsNoRefusal guards against 429 for requests whose credits were granted
// in time, and lapsed because this process stood still: the answer and the time-out are then
// both due, in either order.
func TestAnswerAfterAPause_IsNoRefusal(t *testing.T) {
	start := time.Unix(1e9, 0)
	var verdicts []quota.Verdict
	n, asked := askingNode(start, func(_ uint64, v quota.Verdict) { verdicts = append(verdicts, v) })
	tenant := ownedByOther(1)[0]
	n.Configure(start, []quota.Limit{quota.NewLimit(tenant, 100, 100)})
	n.Request(start, tenant, 1)
	now := start.Add(700 * time.Millisecond)
	n.HandleAnswer(now, quota.NewAnswer((*asked)[0].Number(), 1, 0, true))
	must.Eq(t, 0, len(verdicts))
	must.Eq(t, 2, len(*asked))
	n.HandleAnswer(now, quota.NewAnswer((*asked)[1].Number(), 1, 0, true))
	must.Eq(t, 1, len(verdicts))
	must.True(t, verdicts[0].Admitted())
}

// TestHugeLimit_RefusesNothing guards against numbers of tokens that no integer holds: a
// rate of that size stands for no limit.
func TestHugeLimit_RefusesNothing(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, rate := range []float64{1e9, 1e19, math.MaxFloat64} {
		for _, burst := range []float64{0, 1e19, math.MaxFloat64} {
			o := quota.NewOwner(bounds)
			l := quota.NewLimit("a", rate, burst)
			o.Configure(now, map[string]quota.Limit{"a": l})
			v := quota.NewView("self", nil, 1, false)
			a := o.Answer(now.Add(time.Second), &v, quota.NewQuestion(1, "a", 1, 100, false))
			must.Positive(t, a.Granted(), must.Sprint(rate, burst))
		}
	}
}

// TestTenantRemovedAndAddedAgain_StaysWithinTheBound guards against an owner that takes the
// tenant for one that has sent nothing, and begins with a full bucket.
func TestTenantRemovedAndAddedAgain_StaysWithinTheBound(t *testing.T) {
	s := flood(1, 15*time.Second)
	for at := 3 * time.Second; at < 14*time.Second; at += time.Second {
		s.run(at)
		for _, n := range s.nodes {
			n.configure(nil)
		}
		s.after(50*time.Millisecond, func() {
			for _, n := range s.nodes {
				n.configure(s.limits)
			}
		})
	}
	s.run(15 * time.Second)
	mustStayWithinTheBound(t, s, large)
}

// TestRemovedTenant_OwnerForgetsItAfterAWindow guards against buckets that pile up with tenants
// that come and go.
func TestRemovedTenant_OwnerForgetsItAfterAWindow(t *testing.T) {
	now := time.Unix(1e9, 0)
	o, v := quota.NewOwner(bounds), quota.NewView("self", nil, 1, false)
	for _, tenant := range []string{"a", "b"} {
		o.Configure(now, map[string]quota.Limit{tenant: quota.NewLimit(tenant, 1, 1)})
		o.Answer(now, &v, quota.NewQuestion(1, tenant, 1, 1, false))
	}
	must.Eq(t, 2, o.RememberedTenants())
	now = now.Add(bounds.Window())
	o.Answer(now, &v, quota.NewQuestion(1, "b", 1, 1, false))
	must.Eq(t, 1, o.RememberedTenants())
}

// TestNodesCutOff_ServeTheirPart guards against nodes that are cut off from the owner and refuse
// every request, although the owner leaves their part of the limit to them.
func TestNodesCutOff_ServeTheirPart(t *testing.T) {
	const size, cutOff = 10, 3
	for seed := range uint64(3) {
		s := newFleet(seed, size, large)
		s.load("large", largeRate*usualShare, time.Second, 25*time.Second, evenly)
		s.run(4 * time.Second)
		owner, cut := s.owner("large"), 0
		for _, n := range s.nodes {
			if n != owner && cut < cutOff {
				s.isolate(n, 30*time.Second)
				cut++
			}
		}
		s.run(17 * time.Second) // links are known to be silent after 6 s, the part is granted in full 6 s later
		granted := s.sources[quota.FromFallback]
		s.run(25 * time.Second)
		demand := largeRate * usualShare * 8 * cutOff / size
		t.Logf("granted by fallbacks %d of %.0f, refused %d", s.sources[quota.FromFallback]-granted, demand, within(s.refused["large"], 17*time.Second, 25*time.Second))
		must.GreaterEq(t, int(fairShare*demand), s.sources[quota.FromFallback]-granted)
		mustStayWithinTheBound(t, s, large)
	}
}

// TestLinkToTheOwnerIsLostOnOneSide_NoSecondOwner guards against a node that grants itself the
// whole limit, because it alone has lost the link to the owner and is the next one in its own
// view. The node gets all requests of the tenant but those of one other node.
func TestLinkToTheOwnerIsLostOnOneSide_NoSecondOwner(t *testing.T) {
	for _, size := range []int{3, mesh} {
		s := newFleet(1, size, large)
		owner := s.owner("large")
		owner.alive = false
		next := s.owner("large")
		owner.alive = true
		s.load("large", floodFactor*largeRate*usualShare, time.Second, 12*time.Second, func(i int) float64 {
			if s.nodes[i] == next || s.nodes[i] == owner {
				return 1
			}
			return 0
		})
		s.run(3 * time.Second)
		next.setLinked(owner, false)
		s.run(8 * time.Second) // the owner sees from a ping that the link is silent after 5 s
		owner.setLinked(next, false)
		s.run(12 * time.Second)
		mustStayWithinTheBound(t, s, large)
	}
}
