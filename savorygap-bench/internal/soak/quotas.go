package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savorygap.example/lib/quota"
	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	// quotaWindow, quotaOvershoot, quotaSlack and minAdmitted are set by the platform's
	// contract, and so are the length and the size of a flood, in usual demands.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	minAdmitted    = 0.95
	floodLength    = 6 * time.Second
	minFlood       = 3
	maxFlood       = 7
	// maxFloodPause is the longest time between two floods.
	maxFloodPause = 8 * time.Second
	// floodStream separates the random numbers of floods from those of the episodes.
	floodStream = 1<<32 + 1
)

// flood is the interval in which a tenant exceeded its limit.
type flood struct {
	from time.Time
	to   time.Time
}

// flood has a tenant exceed its limit again and again, beside all other operations, until
// ctx ends.
func (r *run) flood(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.seed, floodStream))
	for {
		pause(ctx, time.Duration(rng.Int64N(int64(maxFloodPause))))
		if ctx.Err() != nil {
			return
		}
		size := minFlood + (maxFlood-minFlood)*rng.Float64()
		flooding, end := context.WithTimeout(ctx, floodLength)
		from := time.Now()
		for i, h := range r.cluster.Hosts() {
			go r.callers.load(flooding, h, rand.New(rand.NewPCG(rng.Uint64(), uint64(i))), size*limitedShare*requestsPerSecond, pickFlood)
		}
		<-flooding.Done()
		end()
		r.recorder.update(func(hist *history) {
			hist.floods = append(hist.floods, flood{from: from, to: time.Now()})
			fmt.Fprintf(r.out, "%6.2f %s sends %.1f times its usual demand\n", from.Sub(r.started).Seconds(), platformtest.FloodingTenant, size)
		})
	}
}

// checkQuotas checks what the tenants with a limit were admitted.
func checkQuotas(samples []sample, byID map[string][]cluster.Execution, hist history) []violation {
	var all []violation
	for _, tenant := range []string{platformtest.LimitedTenant, platformtest.FloodingTenant} {
		all = append(all, checkOvershoot(tenant, byID, hist)...)
		all = append(all, checkAdmitted(tenant, samples, hist)...)
	}
	return all
}

// checkOvershoot finds windows in which more requests of a tenant reached servers than its
// limit allows. A repeated request counts once.
func checkOvershoot(tenant string, byID map[string][]cluster.Execution, hist history) []violation {
	allowed := int(quota.NewBounds(quotaWindow, quotaOvershoot, quotaSlack).Allowed(quota.NewLimit(tenant, hist.quota, hist.quota)))
	var times []time.Time
	for _, list := range byID {
		if slices.Equal(list[0].Tenants(), []string{tenant}) && !mayBeDelayed(hist, list[0]) {
			times = append(times, list[0].StartedAt())
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := range times {
		if i+allowed < len(times) && times[i+allowed].Sub(times[i]) < quotaWindow {
			return []violation{{rule: "QUOTA", at: times[i], text: fmt.Sprintf("more than %d requests of %s reached servers within %s", allowed, tenant, quotaWindow)}}
		}
	}
	return nil
}

// checkAdmitted finds undisturbed intervals, at least as long as a window, in which too many
// requests of a tenant were refused although it was within its limit.
func checkAdmitted(tenant string, samples []sample, hist history) []violation {
	var all []violation
	var interval []sample
	end := func() {
		refused := 0
		for _, s := range interval {
			if s.overQuota {
				refused++
			}
		}
		if n := len(interval); n > 0 && interval[n-1].sent.Sub(interval[0].sent) >= quotaWindow && float64(refused) > (1-minAdmitted)*float64(n) {
			all = append(all, violation{rule: "ADMITTED", at: interval[0].sent, text: fmt.Sprintf("%d of %d requests of %s were refused within its limit, in %s", refused, n, tenant, interval[n-1].sent.Sub(interval[0].sent))})
		}
		interval = nil
	}
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b sample) int { return a.sent.Compare(b.sent) })
	for _, s := range sorted {
		switch {
		case s.credential.tenant != tenant:
		case linked(hist, s) && (tenant != platformtest.FloodingTenant || !flooded(hist, s)):
			interval = append(interval, s)
		default:
			end()
		}
	}
	end()
	return all
}

// linked reports whether no host was disturbed during a request, or within recoveryGrace
// before it, so that all nodes were linked. What is planned on the store does not count.
func linked(hist history, s sample) bool {
	return !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		return (d.host != nil || !d.planned) && d.from.Before(s.ended) && d.to.Add(recoveryGrace).After(s.sent)
	})
}

// flooded reports whether a tenant exceeded its limit during a request, or within
// recoveryGrace before it.
func flooded(hist history, s sample) bool {
	return slices.ContainsFunc(hist.floods, func(f flood) bool {
		return f.from.Before(s.ended) && f.to.Add(recoveryGrace).After(s.sent)
	})
}
