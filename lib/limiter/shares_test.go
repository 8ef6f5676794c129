package limiter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/limiter"
)

func ofTenant(tenant string, priority int) limiter.Request {
	return queueable(priority).WithTenant(tenant)
}

// grantNext frees the slot of last, and returns the key of the request that gets it and is
// started.
func grantNext(t *testing.T, l *limiter.Limiter, now time.Time, last limiter.Key) limiter.Key {
	t.Helper()
	l.Release(last)
	for _, d := range l.Advance(now) {
		if d.Status() == limiter.Granted {
			must.True(t, l.Start(now, d.Key()))
			return d.Key()
		}
	}
	t.Fatal("no request got the slot")
	return limiter.Key{}
}

// TestAdvance_TenantWithFewestGrantsGoesFirst guards against a tenant that gets slot after
// slot while others wait, and against another order among the requests of one tenant.
func TestAdvance_TenantWithFewestGrantsGoesFirst(t *testing.T) {
	l := limiter.New(1)
	l.Reserve(at(0), key(0), ofTenant("big", 1))
	l.Start(at(0), key(0))
	for n, tenant := range []string{"big", "big", "small", "small"} {
		must.Eq(t, limiter.Queued, l.Reserve(at(1+n), key(1+n), ofTenant(tenant, 1)).Status())
	}
	var order []limiter.Key
	last := key(0)
	for range 4 {
		last = grantNext(t, l, at(10), last)
		order = append(order, last)
	}
	// After the first grant of each tenant the counts are equal but for the decay of the
	// older one, which is of big.
	must.Eq(t, []limiter.Key{key(4), key(2), key(3), key(1)}, order)
}

// TestAdvance_WeightScalesShare guards against a large tenant that is held to the share of
// a small one.
func TestAdvance_WeightScalesShare(t *testing.T) {
	l := limiter.New(1)
	l.Reserve(at(0), key(0), queueable(1))
	l.Start(at(0), key(0))
	for n := range 40 {
		tenant, weight := "big", 3.0
		if n%2 == 1 {
			tenant, weight = "small", 1.0
		}
		l.Reserve(at(1), key(1+n), ofTenant(tenant, 1).WithWeight(weight))
	}
	counts, last := map[uint64]int{}, key(0)
	for range 16 {
		last = grantNext(t, l, at(2), last)
		counts[last.Number()%2]++
	}
	must.Eq(t, map[uint64]int{1: 12, 0: 4}, counts)
}

// TestAdvance_SharesDecideWithinOnePrecedenceOnly guards against a tenant with few grants
// that passes nested calls or more urgent requests.
func TestAdvance_SharesDecideWithinOnePrecedenceOnly(t *testing.T) {
	l := limiter.New(1)
	l.Reserve(at(0), key(0), ofTenant("big", 1))
	l.Start(at(0), key(0))
	l.Reserve(at(1), key(1), ofTenant("small", 2))
	l.Reserve(at(2), key(2), ofTenant("big", 1))
	l.Reserve(at(3), key(3), limiter.NewRequest(5, true, time.Second))
	l.Reserve(at(4), key(4), ofTenant("none", 2))
	first := grantNext(t, l, at(5), key(0))
	must.Eq(t, key(3), first)
	second := grantNext(t, l, at(6), first)
	must.Eq(t, key(2), second)
	must.Eq(t, key(4), grantNext(t, l, at(7), second))
}

// TestAdvance_OffersCountUntilTheyAreWithdrawn guards against all slots that become free at
// once going to one tenant, and against offers that were not used being held against it.
func TestAdvance_OffersCountUntilTheyAreWithdrawn(t *testing.T) {
	l := limiter.New(5)
	for n := range 4 {
		l.Reserve(at(0), key(n), queueable(1))
		l.Start(at(0), key(n))
	}
	for n, tenant := range []string{"a", "b", "a", "b", "a", "b"} {
		l.Reserve(at(1), key(10+n), ofTenant(tenant, 1))
	}
	l.Release(key(0))
	l.Release(key(1))
	granted := l.Advance(at(2))
	must.Eq(t, 2, len(granted))
	must.NotEq(t, granted[0].Key().Number()%2, granted[1].Key().Number()%2)
	for _, d := range granted {
		l.Withdraw(d.Key())
	}
	again := l.Advance(at(3))
	must.Eq(t, 2, len(again))
	must.NotEq(t, again[0].Key().Number()%2, again[1].Key().Number()%2)
}

// TestReserve_NewcomerWaitsBehindTenantWithFewerGrants guards against a flood that takes
// each slot of a rate-limited server as it comes free, between two calls of Advance.
func TestReserve_NewcomerWaitsBehindTenantWithFewerGrants(t *testing.T) {
	l := limiter.New(10)
	l.Reserve(at(0), key(1), ofTenant("big", 1))
	l.Start(at(0), key(1))
	l.SetRateLimit(at(0), 10)
	must.Eq(t, limiter.Queued, l.Reserve(at(10), key(2), ofTenant("small", 1)).Status())
	must.Eq(t, limiter.Queued, l.Reserve(at(200), key(3), ofTenant("big", 1)).Status())
	must.Eq(t, limiter.Granted, l.Reserve(at(200), key(4), ofTenant("small", 1)).Status())
}

// TestShares_AreForgotten guards against memory that grows with all tenants ever seen, and
// against a flood that is held against its tenant for long.
func TestShares_AreForgotten(t *testing.T) {
	l := limiter.New(1)
	for n := range 20_000 {
		now := at(10 * n)
		must.Eq(t, limiter.Granted, l.Reserve(now, key(n), ofTenant(fmt.Sprint("tenant-", n), 1)).Status())
		must.True(t, l.Start(now, key(n)))
		l.Release(key(n))
		// 7 s without a grant, and as much until the next sweep, at 100 tenants a second.
		must.LessEq(t, 1500, l.RememberedTenants())
	}
	must.Greater(t, 600, l.RememberedTenants())
}

// TestAdvance_OneTenantIsServedLikeNone compares a limiter whose requests carry one tenant
// with one whose requests carry none, on random histories: they must decide the same.
func TestAdvance_OneTenantIsServedLikeNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, single := limiter.New(4), limiter.New(4)
		now, next := at(0), 0
		decide := func(what string, a, b []limiter.Decision) {
			statuses := func(list []limiter.Decision) map[limiter.Key]limiter.Decision {
				m := map[limiter.Key]limiter.Decision{}
				for _, d := range list {
					m[d.Key()] = d
				}
				return m
			}
			if !maps.Equal(statuses(a), statuses(b)) {
				t.Fatalf("%s: without a tenant %v, with one %v", what, a, b)
			}
			for _, d := range a {
				if d.Status() == limiter.Granted && rapid.Bool().Draw(t, "start") {
					must.Eq(t, plain.Start(now, d.Key()), single.Start(now, d.Key()))
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				next++
				r := limiter.NewRequest(rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "nested"), time.Duration(rapid.IntRange(0, 300).Draw(t, "wait"))*time.Millisecond).
					WithMaxSlowness(rapid.SampledFrom([]float64{0, 1.5}).Draw(t, "slowness"))
				decide("reserve", []limiter.Decision{plain.Reserve(now, key(next), r)}, []limiter.Decision{single.Reserve(now, key(next), r.WithTenant("only"))})
			case 3:
				slowness := rapid.SampledFrom([]float64{1, 4}).Draw(t, "reported")
				plain.ReportLoad(0, slowness)
				single.ReportLoad(0, slowness)
			case 4:
				done := key(rapid.IntRange(0, next).Draw(t, "done"))
				plain.Release(done)
				single.Release(done)
			case 5:
				withdrawn := key(rapid.IntRange(0, next).Draw(t, "withdrawn"))
				plain.Withdraw(withdrawn)
				single.Withdraw(withdrawn)
			}
			decide("advance", plain.Advance(now), single.Advance(now))
		}
		must.Eq(t, 0, plain.RememberedTenants())
	})
}

// BenchmarkAdvance_QueueOfManyTenants measures the choice of the next request among 24
// queued ones of 24 tenants, as many as a flood leaves waiting at a server.
func BenchmarkAdvance_QueueOfManyTenants(b *testing.B) {
	l := limiter.New(9)
	var started []limiter.Key
	for n := range 7 {
		l.Reserve(at(0), key(n), queueable(1))
		l.Start(at(0), key(n))
		started = append(started, key(n))
	}
	for n := range 24 {
		l.Reserve(at(0), key(10+n), limiter.NewRequest(1, false, time.Hour).WithTenant(fmt.Sprint("tenant-", n)).WithWeight(1))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Release(started[0])
		d := l.Advance(at(1))
		l.Start(at(1), d[0].Key())
		started = append(slices.Delete(started, 0, 1), d[0].Key())
		b.StopTimer()
		l.Reserve(at(1), key(int(d[0].Key().Number())+24), limiter.NewRequest(1, false, time.Hour).WithTenant(fmt.Sprint("tenant-", d[0].Key().Number()%24)).WithWeight(1))
		b.StartTimer()
	}
}
