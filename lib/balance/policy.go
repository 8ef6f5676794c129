package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	unreachableBaseDelay = 100 * time.Millisecond
	unreachableMaxDelay  = 5 * time.Second
	closedReportTTL      = time.Second

	loadHalfLife           = 250 * time.Millisecond
	latencyHalfLife        = 2 * time.Second
	crossDataCentreLatency = 500 * time.Microsecond // one way
	crossRegionLatency     = 20 * time.Millisecond  // one way
	defaultLatency         = 2 * time.Millisecond
	failingPenalty         = 250 * time.Millisecond
	failingReportTTL       = 2 * time.Second
	overloadPenalty        = 4.0  // times the latency, for each unit of use above 1
	coldLimitRatio         = 0.25 // of the slots, until a report gives the limit
	sampleSize             = 2    // candidates
)

// Adaptive compares two random candidates by the estimated duration of a
// request at each. The estimate combines network latency, server latency and
// use of the concurrency limit; reports count less as they age. A target that
// fails most requests is charged a penalty, because fast failures look like low
// latency.
func Adaptive(now time.Time, local Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	sample := sampleCandidates(candidates, rng)
	mean := meanLatency(now, candidates)
	best, bestCost := sample[0], math.Inf(1)
	for _, s := range sample {
		if cost := s.cost(now, local, mean); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// AdaptiveAll is like Adaptive but compares all candidates.
func AdaptiveAll(now time.Time, local Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	mean := meanLatency(now, candidates)
	best, bestCost := candidates[0], math.Inf(1)
	offset := rng.IntN(len(candidates))
	for i := range candidates {
		s := candidates[(i+offset)%len(candidates)]
		if cost := s.cost(now, local, mean); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func sampleCandidates(candidates []*TargetState, rng *rand.Rand) []*TargetState {
	if len(candidates) <= sampleSize {
		return candidates
	}
	first := rng.IntN(len(candidates))
	second := rng.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return []*TargetState{candidates[first], candidates[second]}
}

// meanLatency returns the mean latency of the candidates in seconds, weighted
// by the age of their reports, or defaultLatency if there are no recent
// reports. A target with an old report is assumed to have this latency.
func meanLatency(now time.Time, candidates []*TargetState) float64 {
	sum, weights := 0.0, 0.0
	for _, s := range candidates {
		w := s.reportWeight(now, latencyHalfLife)
		weights += w
		sum += w * s.report.Latency().Seconds()
	}
	if weights < 0.01 || sum == 0 {
		return defaultLatency.Seconds()
	}
	return sum / weights
}

// reportWeight returns the weight of the newest report: 1 when it has just
// arrived, halved every halfLife, and 0 without a report.
func (s *TargetState) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(s.reportedAt).Seconds() / halfLife.Seconds())
}

// otherNodesInFlight estimates how many requests of other nodes were at the
// target when it sent its report.
func (s *TargetState) otherNodesInFlight() float64 {
	ownInFlight := s.outstanding - s.sentSinceReport
	return float64(max(s.report.InFlight()+s.report.Queued()-max(ownInFlight, 0), 0))
}

// limit returns the reported concurrency limit, or the cold limit if none was
// reported.
func (s *TargetState) limit() float64 {
	if s.reportedAt.IsZero() || s.report.Limit() == 0 {
		return math.Max(1, coldLimitRatio*float64(s.target.slots))
	}
	return float64(s.report.Limit())
}

// cost returns the estimated duration of a request at the target in seconds.
// The reported load decays with the age of the report, so that a target that
// was overloaded is tried again.
func (s *TargetState) cost(now time.Time, local Locality, mean float64) float64 {
	others := s.reportWeight(now, loadHalfLife) * s.otherNodesInFlight()
	w := s.reportWeight(now, latencyHalfLife)
	latency := w*s.report.Latency().Seconds() + (1-w)*mean
	if latency <= 0 {
		latency = defaultLatency.Seconds()
	}
	use := (float64(s.outstanding) + others + 1) / s.limit()
	cost := latency*(1+use*use) + networkRoundTrip(local, s.target.locality).Seconds()
	if use > 1 {
		cost += latency * overloadPenalty * (use - 1)
	}
	if s.report.Failing() && now.Sub(s.reportedAt) < failingReportTTL {
		cost += failingPenalty.Seconds()
	}
	return cost
}

// networkRoundTrip returns the round-trip time between two localities.
func networkRoundTrip(a, b Locality) time.Duration {
	switch {
	case a.region != b.region:
		return 2 * crossRegionLatency
	case a.dataCentre != b.dataCentre:
		return 2 * crossDataCentreLatency
	}
	return 0
}

// PowerOfTwo picks the one of two random candidates at which this node has
// fewer requests in flight.
func PowerOfTwo(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	sample := sampleCandidates(candidates, rng)
	best := sample[0]
	for _, s := range sample[1:] {
		if s.outstanding < best.outstanding {
			best = s
		}
	}
	return best
}

// Random picks a random candidate.
func Random(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	return candidates[rng.IntN(len(candidates))]
}

// LeastReported picks the candidate whose newest report shows the lowest load,
// regardless of the report's age.
func LeastReported(_ time.Time, _ Locality, candidates []*TargetState, rng *rand.Rand) *TargetState {
	offset := rng.IntN(len(candidates))
	best := candidates[offset]
	for i := range candidates {
		s := candidates[(i+offset)%len(candidates)]
		if s.report.InFlight()+s.report.Queued() < best.report.InFlight()+best.report.Queued() {
			best = s
		}
	}
	return best
}

// NewRoundRobin returns a policy that picks the candidates in turn.
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
