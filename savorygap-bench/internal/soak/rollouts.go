package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	// exposureShare, exposureSlack and maxRollbackDelay are set by the platform's contract.
	exposureShare    = 0.1
	exposureSlack    = 50
	maxRollbackDelay = 5 * time.Second
	minRollout       = 8 * time.Second
	maxRollout       = 12 * time.Second
	// maxRolloutPause is the longest time between two rollouts.
	maxRolloutPause = 3 * time.Second
	// earlyStart is how long the servers of a late version run before it is ordered.
	earlyStart = time.Second
	// rolloutDrain is how long after a rollback, and again after their drain, new servers
	// stop.
	rolloutDrain = 1500 * time.Millisecond
	// overtime is how long after the deadline of a rollout operators withdraw the order.
	overtime         = 4 * time.Second
	rolloutPoll      = 20 * time.Millisecond
	failEvery        = 2 // responses of a bad version
	badSlowdown      = 8
	maxTurnsBad      = 0.4 // of the duration, by when a bad version has turned bad
	lateShare        = 0.5 // of the bad versions: they turn bad after their start
	goodShare        = 0.4 // of the rollouts
	withdrawn        = "withdrawn"
	rolloutStream    = 1<<32 + 2
	partnerStream    = 1<<32 + 3
	stateComplete    = "complete"
	stateRolledBack  = "rolled_back"
	versionOfService = "v%d"
)

// quality is what is wrong with a version.
type quality string

const (
	good       quality = "good"
	failing    quality = "failing"
	slowServed quality = "slow"
)

// rollout is the rollout of a version.
type rollout struct {
	version  string
	quality  quality
	started  time.Time // of its servers
	ordered  time.Time
	deadline time.Time
	turned   time.Time // bad
	ended    time.Time
	state    string
	failures []time.Time // of the version's responses
}

// sampleHosts returns the hosts that are not spare.
func (r *run) sampleHosts() []*cluster.Host {
	return r.cluster.Hosts()[:len(cluster.SampleHosts(r.options.rounds))]
}

// partner returns the spare host for new versions of the server of a host, nil for none.
func (r *run) partner(h *cluster.Host) *cluster.Host {
	same := slices.DeleteFunc(slices.Clone(r.cluster.Hosts()), func(o *cluster.Host) bool { return o.Service() != h.Service() })
	if i := slices.Index(same, h) + len(same)/2; h.Service() == rolledOutService() && i < len(same) {
		return same[i]
	}
	return nil
}

// withServer returns the host or its partner, whichever has the server.
func (r *run) withServer(h *cluster.Host) *cluster.Host {
	if p := r.partner(h); p != nil && p.HasServer() && !h.HasServer() {
		return p
	}
	return h
}

func rolledOutService() string { return cluster.Services()[0] }

// rollOutRepeatedly rolls out one version after another, beside all other operations, until
// ctx ends.
func (r *run) rollOutRepeatedly(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.seed, rolloutStream))
	for ctx.Err() == nil {
		q := good
		if rng.Float64() >= goodShare {
			q = []quality{failing, slowServed}[rng.IntN(2)]
		}
		duration := minRollout + time.Duration(rng.Int64N(int64(maxRollout-minRollout)))
		turnsBad := time.Duration(0)
		if rng.Float64() < lateShare {
			turnsBad = time.Duration(rng.Float64() * maxTurnsBad * float64(duration))
		}
		pause(ctx, time.Duration(rng.Int64N(int64(maxRolloutPause))))
		if ctx.Err() == nil {
			r.rollOut(ctx, q, duration, turnsBad)
		}
	}
}

// rollOut starts servers of a new version on the hosts that have none and orders the rollout
// to it. It returns when either the old or the new servers have stopped.
func (r *run) rollOut(ctx context.Context, q quality, duration, turnsBad time.Duration) {
	var old, next []*cluster.Host
	for _, h := range r.cluster.Hosts() {
		if _, ok := h.Release(); h.Service() != rolledOutService() {
			continue
		} else if ok {
			old = append(old, h)
		} else {
			next = append(next, h)
		}
	}
	r.versions++
	release := cluster.NewRelease(fmt.Sprintf(versionOfService, r.versions+1))
	bad := map[quality]cluster.Release{good: release, failing: release.WithFailures(failEvery), slowServed: release.WithSlowdown(badSlowdown)}[q]
	v := rollout{version: release.Version(), quality: q, started: time.Now()}
	for _, h := range next {
		h.SetRelease(release)
		startServer(r.recorder, h)
	}
	if turnsBad > 0 {
		pause(ctx, earlyStart)
	}
	v.ordered = time.Now()
	r.cluster.OrderRollout(rolledOutService(), v.version, duration)
	v.deadline, v.turned = v.ordered.Add(duration), v.ordered.Add(turnsBad)
	v = r.followRollout(ctx, v, next, bad)
	r.endRollout(v, old, next, release)
	v.failures = append(v.failures, takeFailures(next)...)
	r.recorder.update(func(hist *history) {
		hist.rollouts = append(hist.rollouts, v)
		fmt.Fprintf(r.out, "%6.2f %s version %s (bad after %s) is rolled out within %s: %s after %s\n", v.ordered.Sub(r.started).Seconds(), v.quality, v.version, turnsBad.Round(time.Millisecond), duration.Round(time.Millisecond), v.state, v.ended.Sub(v.ordered).Round(time.Millisecond))
	})
}

// followRollout has the version turn bad at its time and waits for the end of the rollout.
// Operators withdraw one that is long past its deadline, or when ctx ends.
func (r *run) followRollout(ctx context.Context, v rollout, next []*cluster.Host, bad cluster.Release) rollout {
	turned := false
	for v.state == "" {
		if !turned && !time.Now().Before(v.turned) {
			turned = true
			for _, h := range next {
				h.SetRelease(bad)
			}
		}
		v.failures = append(v.failures, takeFailures(next)...)
		state, version := r.cluster.Store().RolloutState(rolledOutService())
		switch {
		case version == v.version && (state == stateComplete || state == stateRolledBack):
			v.state = state
		case ctx.Err() != nil || time.Now().After(v.deadline.Add(overtime)):
			r.cluster.WithdrawRollout(rolledOutService())
			v.state = withdrawn
		default:
			time.Sleep(rolloutPoll)
		}
	}
	v.ended = time.Now()
	return v
}

// endRollout stops the servers of the version that lost: the old ones at once, the new ones
// after a drain. A bad version that won is replaced by a good one.
func (r *run) endRollout(v rollout, old, next []*cluster.Host, release cluster.Release) {
	if v.state == stateComplete {
		for _, h := range old {
			h.RemoveRelease()
		}
		for _, h := range next {
			h.SetRelease(release)
		}
		return
	}
	time.Sleep(rolloutDrain)
	ctx, cancel := context.WithTimeout(context.Background(), rolloutDrain)
	defer cancel()
	for _, h := range next {
		server := h.Server()
		if at, ok := h.Drain(ctx); ok {
			r.recorder.update(func(hist *history) {
				hist.departures = append(hist.departures, departure{instance: server.ID(), acknowledged: at})
			})
		}
	}
	<-ctx.Done()
	for _, h := range next {
		// Its node may be disturbed; it then learns of the departure by the end of the server.
		_ = h.AnnounceDeparture(h.Server())
		h.RemoveRelease()
	}
}

// takeFailures returns when the servers of hosts answered with the failures of their version.
func takeFailures(hosts []*cluster.Host) []time.Time {
	var times []time.Time
	for _, h := range hosts {
		times = append(times, h.Server().TakeFailures()...)
	}
	return times
}

// checkRollouts checks which requests reached new versions, and how rollouts ended.
func checkRollouts(executions []cluster.Execution, hist history) []violation {
	var all []violation
	for _, v := range hist.rollouts {
		add := func(rule, text string) {
			all = append(all, violation{rule: rule, at: v.ordered, text: fmt.Sprintf("%s version %s: %s", v.quality, v.version, text)})
		}
		exposed, sent := 0, 0
		bad := slices.Clone(v.failures)
		var starts []time.Time
		for _, e := range executions {
			if e.Host().Service() != rolledOutService() {
				continue
			}
			if e.Version() == v.version && !mayBeDelayed(hist, e) {
				starts = append(starts, e.StartedAt())
			}
			if e.StartedAt().Before(v.ordered) || e.StartedAt().After(v.deadline) {
				continue
			}
			sent++
			if e.Version() != v.version {
				continue
			}
			exposed++
			if v.quality == slowServed && e.StartedAt().After(v.turned) {
				bad = append(bad, e.StartedAt().Add(badSlowdown*cluster.ServiceTime))
			}
		}
		if i := slices.IndexFunc(starts, v.ordered.After); i >= 0 {
			add("VERSION", fmt.Sprintf("got a request %s before it was ordered", v.ordered.Sub(starts[i])))
		}
		switch {
		case v.quality == good && calmRollout(hist, v) && (v.state != stateComplete || v.ended.After(v.deadline)):
			add("ROLLOUT", fmt.Sprintf("%s, %s after its order", v.state, v.ended.Sub(v.ordered)))
		case v.quality == good:
		case float64(exposed) > exposureShare*float64(sent)+exposureSlack:
			add("EXPOSURE", fmt.Sprintf("got %d of %d requests", exposed, sent))
		}
		slices.SortFunc(bad, time.Time.Compare)
		if v.quality != good && len(bad) >= exposureSlack {
			last := bad[exposureSlack-1].Add(maxRollbackDelay)
			if i := slices.IndexFunc(starts, func(t time.Time) bool { return t.After(last) && (v.state != stateComplete || t.Before(v.ended)) }); i >= 0 {
				add("ROLLBACK", fmt.Sprintf("got a request %s after its %dth bad response", starts[i].Sub(last)+maxRollbackDelay, exposureSlack))
			}
		}
	}
	return all
}

// calmRollout reports whether nothing was done during a rollout up to its deadline, nor
// within recoveryGrace before it, and the run lasted until then.
func calmRollout(hist history, v rollout) bool {
	if v.state == withdrawn && v.ended.Before(v.deadline) {
		return false
	}
	return !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		return d.from.Before(v.deadline) && d.to.Add(recoveryGrace).After(v.ordered)
	})
}
