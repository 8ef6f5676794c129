package rollout

import (
	"math"
	"slices"
	"time"
)

// step is a share of the requests that the target version gets, from a fraction of the
// duration on.
type step struct {
	share float64
	from  float64
}

// plan returns the steps for a share of exposure that a bad version may get. Versions
// turn bad up to 6 s after their start, of 15 s: the canary lasts half of the duration.
// Its share begins low, since new servers are cold, and then doubles. All steps up to the
// last take 0.78 of the exposure together, of 1 that the bounds permit; the rest is what
// a version gets that shows its fault only then, until all nodes know.
func plan(exposure float64) []step {
	return []step{
		{share: 0.4 * exposure, from: 0},
		{share: 0.8 * exposure, from: 0.3},
		{share: 0.1, from: 0.5},
		{share: 0.25, from: 0.58},
		{share: 0.5, from: 0.65},
		{share: 1, from: 0.7},
	}
}

const (
	// firstRamp and shifted are the indices of the first step after the canary and of the
	// last one.
	firstRamp = 2
	shifted   = 5
	// completeFrom and completeBy are the fractions of the duration between which the
	// rollout is completed. Before completeBy, it waits for the requests that are under
	// way at the old version.
	completeFrom = 0.85
	completeBy   = 0.92
	// shiftedTime is the least time between the last step and the end of the rollout. By
	// then all nodes know of the step and most requests at the old version have ended.
	shiftedTime = time.Second
	// stepTime is the least time between two steps, so that each is judged when steps
	// are late after an outage of the store.
	stepTime = 350 * time.Millisecond
	// canaryGood is how many good responses the canary needs: of a version that fails
	// half of its requests, 60 have some 30 bad ones.
	canaryGood = 60
	// canaryYield is the fraction of the responses that the first share of the requests
	// should have brought by then, and leastCanaryGood the least number of good ones where
	// that is few.
	canaryYield     = 0.5
	leastCanaryGood = 16
	// rampGood is how many good responses each server in use needs for a further step.
	rampGood = 6
	// patience is the fraction of the duration by which a step with too few responses may
	// be late before it is taken nevertheless, if no server is suspected: few responses mean
	// that few requests are exposed. Half of it is the least time between two such steps.
	patience = 0.06
	// leftAlone is the fraction of the duration before which a node that knows no server of
	// another version does not begin the rollout: it may only lack the links to them.
	leftAlone = 0.2
	// sparedSuspects is the number of servers in use of which one may be suspected without
	// delaying a step: of many servers with several routes, one often has some bad responses
	// by chance.
	sparedSuspects = 4
	// leastCanaries is the number of servers of a canary, if there are as many: one
	// server alone does not tell its own fault from that of the version.
	leastCanaries = 2
)

// ActionKind is what a node does next about a rollout.
type ActionKind uint8

// Kinds of actions.
const (
	// None means that nothing is due.
	None ActionKind = iota
	// Write means that the record is to be written to the store.
	Write
)

// Action is the next record to write.
type Action struct {
	kind   ActionKind
	record Record
}

// Kind returns the kind.
func (a Action) Kind() ActionKind { return a.kind }

// Record returns the record to write. The store must still have the record of the version
// that it states.
func (a Action) Record() Record { return a.record }

// Next returns what is due now, given the servers of the service that this node knows.
func (r *Rollout) Next(now time.Time, servers []Server) Action {
	if r.stale && !r.withdrawn {
		again := r.record
		if r.IsRolledBack() {
			again.phase = RolledBack
		}
		return Action{kind: Write, record: again}
	}
	if r.withdrawn || r.IsComplete() {
		return Action{}
	}
	next := NewRecord(r.order.version, r.order.target, r.previous(), Running, 0, r.Elapsed(now)).WithVersion(r.record.version)
	started := r.record.order == r.order.version
	if !started {
		previous, certain := r.formerRelease(servers)
		if !certain && r.Elapsed(now) < r.at(leftAlone) || previous == "" && r.IsRolledBack() {
			return Action{}
		}
		next.previous = previous
	}
	switch {
	case r.IsRolledBack():
		if started && r.record.phase == RolledBack {
			return Action{}
		}
		next.phase = RolledBack
		next.step = r.step()
	case !started:
	case r.step() >= shifted:
		if !r.mayComplete(now) {
			return Action{}
		}
		next.phase, next.step = Complete, shifted
	case !r.mayStep(now, servers):
		return Action{}
	default:
		next.step = r.step() + 1
	}
	return Action{kind: Write, record: next}
}

// formerRelease returns the version that the service has before the first record of the
// order, "" if there is none but the target version, and whether that is certain. The
// record of an earlier order states it: most servers may have a version that this order
// was given to abandon.
func (r *Rollout) formerRelease(servers []Server) (release string, certain bool) {
	serving := r.record.Serving()
	if serving != "" && serving == r.order.target {
		return "", true
	}
	if slices.ContainsFunc(servers, func(s Server) bool { return s.release != "" && s.release == serving }) {
		return serving, true
	}
	release = ownRelease(servers, r.order.target)
	return release, release != "" && serving == ""
}

// mayComplete reports whether the target version may become that of the service.
func (r *Rollout) mayComplete(now time.Time) bool {
	elapsed := r.Elapsed(now)
	if elapsed < r.at(completeFrom) || now.Sub(r.stepSince) < shiftedTime || r.hasSuspicion() {
		return false
	}
	return elapsed >= r.at(completeBy) || r.running(r.previous()) == 0
}

// mayStep reports whether the next step may be taken: its time has come, and the servers
// in use have enough responses, none of them too many bad ones.
func (r *Rollout) mayStep(now time.Time, servers []Server) bool {
	next := r.steps[r.step()+1]
	elapsed := r.Elapsed(now)
	used := r.inUse(servers)
	if elapsed < r.at(next.from) || now.Sub(r.stepSince) < stepTime || len(used) == 0 {
		return false
	}
	suspects := 0
	for _, node := range used {
		if r.isSuspect(node) {
			suspects++
		}
	}
	if suspects > len(used)/sparedSuspects || r.hasSuspicion() {
		return false
	}
	if r.step() == 0 {
		return true // the canary goes on
	}
	if r.hasEvidence(used) {
		return true
	}
	return elapsed >= r.at(next.from+patience) && now.Sub(r.stepSince) >= r.at(patience/2)
}

// hasEvidence reports whether the servers in use have enough good responses.
func (r *Rollout) hasEvidence(used []string) bool {
	total, least := 0, math.MaxInt
	for _, node := range used {
		t, _ := r.targetTally(node)
		total += t.routes[allRoutes].good
		least = min(least, t.routes[allRoutes].good)
	}
	return least >= rampGood && (r.step() >= firstRamp || total >= r.canaryNeed())
}

// hasSuspicion reports whether a majority of servers is suspected, though not enough of
// them for a rollback.
func (r *Rollout) hasSuspicion() bool { return !r.suspectedSince.IsZero() }

// canaryNeed returns how many good responses the canary needs: fewer than canaryGood where
// the service gets so few requests that the share of the canary has not brought as many.
func (r *Rollout) canaryNeed() int {
	judged := 0
	for _, t := range r.tallies {
		judged += t.total()
	}
	return min(canaryGood, max(leastCanaryGood, int(canaryYield*r.steps[0].share*float64(judged))))
}

// at returns the time after the order of a fraction of the duration.
func (r *Rollout) at(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.order.duration))
}

// running returns the number of requests that are under way at servers of a version.
func (r *Rollout) running(release string) int {
	n := 0
	for _, t := range r.tallies {
		if t.release == release {
			n += t.running
		}
	}
	return n
}
