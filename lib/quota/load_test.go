package quota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quota"
)

const (
	mesh        = 69 // hosts
	usualShare  = 1 / 1.6
	largeRate   = 257.0
	smallRate   = 3.0
	floodFactor = 7.0 // times the usual demand
	fairShare   = 0.95
)

var (
	large = quota.NewLimit("large", largeRate, largeRate)
	small = quota.NewLimit("small", smallRate, smallRate)
)

func skewed(i int) float64 { return 1 / float64(i+1) }

// TestFloodOfOneTenant_StaysWithinTheBoundOverAllNodes guards against a limit that each
// of 69 nodes applies for itself, and against one that gives the tenant less than its rate.
func TestFloodOfOneTenant_StaysWithinTheBoundOverAllNodes(t *testing.T) {
	for name, weight := range map[string]func(int) float64{"even": evenly, "uneven": skewed} {
		for seed := range uint64(2) {
			s := newFleet(seed, mesh, large)
			s.load("large", largeRate*usualShare, 0, 20*time.Second, weight)
			s.load("large", largeRate*usualShare*(floodFactor-1), 8*time.Second, 8*time.Second+floodPeriod, weight)
			s.run(21 * time.Second)
			most, at := busiest(s.sent["large"], 0, 21*time.Second)
			t.Logf("%s: most %d of %.0f at %v, refused in usual demand %d, in flood sent %d, messages %d", name, most, bounds.Allowed(large), at,
				within(s.refused["large"], 0, 8*time.Second), within(s.sent["large"], 8*time.Second, 14*time.Second), s.messages)
			must.LessEq(t, int(bounds.Allowed(large)), most)
			must.GreaterEq(t, int(fairShare*largeRate*floodPeriod.Seconds()), within(s.sent["large"], 8*time.Second, 14*time.Second))
			must.LessEq(t, 0.05*largeRate*usualShare*8, float64(within(s.refused["large"], 0, 8*time.Second)))
		}
	}
}

// TestSmallTenantOnManyNodes_IsServedWithinItsLimit guards against fixed shares, which
// leave each of 69 nodes a part of a request.
func TestSmallTenantOnManyNodes_IsServedWithinItsLimit(t *testing.T) {
	sent, refused := 0, 0
	for seed := range uint64(20) {
		s := newFleet(seed, mesh, small)
		s.load("small", smallRate*usualShare, 0, time.Minute, evenly)
		s.run(62 * time.Second)
		sent += len(s.sent["small"])
		refused += len(s.refused["small"])
		most, _ := busiest(s.sent["small"], 0, time.Minute)
		must.LessEq(t, int(bounds.Allowed(small)), most)
	}
	t.Logf("sent %d, refused %d", sent, refused)
	must.LessEq(t, (1-fairShare)*float64(sent+refused), float64(refused))
}

// TestFirstConfiguration_DemandIsServedAtOnce guards against refusals at the start of a
// day: owners have no history, and some get the configuration after others.
func TestFirstConfiguration_DemandIsServedAtOnce(t *testing.T) {
	for _, l := range []quota.Limit{large, small} {
		sent, refused := 0, 0
		for seed := range uint64(10) {
			s := newFleet(seed, mesh)
			s.limits = []quota.Limit{l}
			for _, n := range s.nodes {
				s.after(s.between(0, 2*time.Second), func() { n.configure(s.limits) })
			}
			s.load(l.Tenant(), l.Rate()*usualShare, 0, 4*time.Second, skewed)
			s.run(5 * time.Second)
			sent += len(s.sent[l.Tenant()])
			refused += len(s.refused[l.Tenant()])
		}
		t.Logf("%s: sent %d, refused %d", l.Tenant(), sent, refused)
		must.LessEq(t, (1-fairShare)*float64(sent+refused), float64(refused))
	}
}

// TestOwnersWithoutProcessorTime_UsualDemandIsServed guards against refusals since an
// answer takes longer than the time after which the fallback is used.
func TestOwnersWithoutProcessorTime_UsualDemandIsServed(t *testing.T) {
	for _, l := range []quota.Limit{large, small} {
		sent, refused := 0, 0
		for seed := range uint64(5) {
			s := newFleet(seed, mesh, l)
			s.stalls = 0.3
			s.load(l.Tenant(), l.Rate()*usualShare, 0, 20*time.Second, evenly)
			s.run(22 * time.Second)
			sent += len(s.sent[l.Tenant()])
			refused += len(s.refused[l.Tenant()])
		}
		t.Logf("%s: sent %d, refused %d", l.Tenant(), sent, refused)
		must.LessEq(t, (1-fairShare)*float64(sent+refused), float64(refused))
	}
}

// TestThirdOfTheNodesCutOffDuringAFlood_StaysWithinTheBound guards against fallbacks that
// grant in addition to what the owner grants to the rest.
func TestThirdOfTheNodesCutOffDuringAFlood_StaysWithinTheBound(t *testing.T) {
	for _, l := range []quota.Limit{large, small, quota.NewLimit("middle", 40, 40)} {
		for seed := range uint64(3) {
			s := newFleet(seed, mesh, l)
			usual := l.Rate() * usualShare
			s.load(l.Tenant(), usual, 0, 30*time.Second, skewed)
			s.load(l.Tenant(), usual*(floodFactor-1), 4*time.Second, 24*time.Second, skewed)
			s.run(6 * time.Second)
			for i := range mesh * 35 / 100 {
				s.isolate(s.nodes[(i*7+int(seed))%mesh], 12*time.Second)
			}
			s.run(31 * time.Second)
			most, at := busiest(s.sent[l.Tenant()], 0, 31*time.Second)
			t.Logf("%s: most %d of %.0f at %v, sources %v", l.Tenant(), most, bounds.Allowed(l), at, s.sources)
			must.LessEq(t, int(bounds.Allowed(l)), most)
		}
	}
}
