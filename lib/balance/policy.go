package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	unreachableBase = 100 * time.Millisecond
	unreachableMax  = 5 * time.Second
	closedFor       = time.Second

	loadHalfLife      = 250 * time.Millisecond
	latencyHalfLife   = 2 * time.Second
	otherDataCentre   = 500 * time.Microsecond // one way
	otherRegion       = 20 * time.Millisecond  // one way
	unknownLatency    = 2 * time.Millisecond
	failingPenalty    = 250 * time.Millisecond
	failingMemory     = 2 * time.Second
	overloadPenalty   = 4.0
	coldShare         = 0.25 // of the slots, until a report gives the limit
	candidatesWeighed = 2
)

// Adaptive weighs two random candidates by the time that a request would
// likely take at each: distance, latency and use of the limit, from reports
// discounted by age. A target that fails most requests is charged a penalty,
// since fast failures look like low latency.
func Adaptive(now time.Time, here Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	sample := sampled(candidates, rng)
	usual := usualLatency(now, candidates)
	best, bestCost := sample[0], math.Inf(1)
	for _, e := range sample {
		if cost := e.cost(now, here, usual); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// AdaptiveAll is Adaptive over all candidates in place of two.
func AdaptiveAll(now time.Time, here Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	usual := usualLatency(now, candidates)
	best, bestCost := candidates[0], math.Inf(1)
	offset := rng.IntN(len(candidates))
	for i := range candidates {
		e := candidates[(i+offset)%len(candidates)]
		if cost := e.cost(now, here, usual); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func sampled(candidates []*TargetState, rng *rand.Rand) []*TargetState {
	if len(candidates) <= candidatesWeighed {
		return candidates
	}
	first := rng.IntN(len(candidates))
	second := rng.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return []*TargetState{candidates[first], candidates[second]}
}

// usualLatency returns the mean latency over the candidates in seconds, toward
// which stale latencies are drawn.
func usualLatency(now time.Time, candidates []*TargetState) float64 {
	sum, weights := 0.0, 0.0
	for _, e := range candidates {
		w := e.freshness(now, latencyHalfLife)
		weights += w
		sum += w * e.report.Latency().Seconds()
	}
	if weights < 0.01 || sum == 0 {
		return unknownLatency.Seconds()
	}
	return sum / weights
}

// freshness is the weight of the newest report: 1 when it has just arrived, 0
// when there is none.
func (e *TargetState) freshness(now time.Time, halfLife time.Duration) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(e.reportedAt).Seconds() / halfLife.Seconds())
}

// others estimates the requests of other nodes at the target when it reported.
func (e *TargetState) others() float64 {
	mine := e.outstanding - e.sentSince
	return float64(max(e.report.InFlight()+e.report.Queued()-max(mine, 0), 0))
}

func (e *TargetState) limit() float64 {
	if e.reportedAt.IsZero() || e.report.Limit() == 0 {
		return math.Max(1, coldShare*float64(e.target.slots))
	}
	return float64(e.report.Limit())
}

// cost returns the expected time of a request at the target in seconds. As a
// report ages, the load that it tells of is taken for gone, so that a target
// once busy is tried again.
func (e *TargetState) cost(now time.Time, here Locality, usual float64) float64 {
	others := e.freshness(now, loadHalfLife) * e.others()
	w := e.freshness(now, latencyHalfLife)
	latency := w*e.report.Latency().Seconds() + (1-w)*usual
	if latency <= 0 {
		latency = unknownLatency.Seconds()
	}
	use := (float64(e.outstanding) + others + 1) / e.limit()
	cost := latency*(1+use*use) + distance(here, e.target.place).Seconds()
	if use > 1 {
		cost += latency * overloadPenalty * (use - 1)
	}
	if e.report.Failing() && now.Sub(e.reportedAt) < failingMemory {
		cost += failingPenalty.Seconds()
	}
	return cost
}

// distance returns the time that a call spends on the way there and back.
func distance(a, b Locality) time.Duration {
	switch {
	case a.region != b.region:
		return 2 * otherRegion
	case a.dataCentre != b.dataCentre:
		return 2 * otherDataCentre
	}
	return 0
}

// PowerOfTwo takes the one of two random candidates with fewer requests of
// this node in flight.
func PowerOfTwo(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	sample := sampled(candidates, rng)
	best := sample[0]
	for _, e := range sample[1:] {
		if e.outstanding < best.outstanding {
			best = e
		}
	}
	return best
}

// Random takes any candidate.
func Random(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	return candidates[rng.IntN(len(candidates))]
}

// LeastReported takes the candidate whose newest report shows the least load,
// however old the report is.
func LeastReported(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	offset := rng.IntN(len(candidates))
	best := candidates[offset]
	for i := range candidates {
		e := candidates[(i+offset)%len(candidates)]
		if e.report.InFlight()+e.report.Queued() < best.report.InFlight()+best.report.Queued() {
			best = e
		}
	}
	return best
}

// NewRoundRobin returns a policy that takes the candidates in turn.
func NewRoundRobin() Policy {
	next := 0
	return func(_ time.Time, _ Locality, candidates []*TargetState, _ *rand.Rand) *TargetState {
		next++
		return candidates[next%len(candidates)]
	}
}

// PolicyByName returns the policy with the given name: adaptive, adaptive-all,
// round-robin, random, least-reported or power-of-two.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case "adaptive":
		return Adaptive, true
	case "adaptive-all":
		return AdaptiveAll, true
	case "round-robin":
		return NewRoundRobin(), true
	case "random":
		return Random, true
	case "least-reported":
		return LeastReported, true
	case "power-of-two":
		return PowerOfTwo, true
	}
	return nil, false
}
