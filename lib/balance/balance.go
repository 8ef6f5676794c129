// Package balance picks the target of each attempt at a request.
//
// A Balancer keeps the known targets of each service, the load reports that
// came with their responses, and the number of requests that this node has in
// flight at each. A Policy picks one of the candidates. It is a function, so
// that policies can be compared under the same load.
//
// # Usage
//
//	b := balance.NewBalancer(balance.Adaptive, rng, local)
//	b.SetTargets(targets)
//	target, ok := b.Pick(now, "logview", eligible, tried)
//	b.RecordResult(now, target.ID(), balance.Answered, report, true)
//
// Load reports are already stale when they arrive. The weight of a report
// therefore decreases with its age, and requests that this node sent after the
// report are added to the reported load.
package balance

import (
	"math/rand/v2"
	"time"

	"savorygap.example/lib/load"
)

// TargetID identifies a target by the node on its host and the address of the
// server there.
type TargetID struct {
	node    string
	address string
}

// NewTargetID returns the id of the server at address on the host of a node.
func NewTargetID(node, address string) TargetID { return TargetID{node: node, address: address} }

// Node returns the name of the node.
func (i TargetID) Node() string { return i.node }

// Address returns the address of the server.
func (i TargetID) Address() string { return i.address }

// Locality is the node, data centre and region in which something runs.
type Locality struct {
	node       string
	dataCentre string
	region     string
}

// NewLocality returns a locality.
func NewLocality(node, dataCentre, region string) Locality {
	return Locality{node: node, dataCentre: dataCentre, region: region}
}

// DataCentre returns the name of the data centre.
func (l Locality) DataCentre() string { return l.dataCentre }

// Node returns the name of the node.
func (l Locality) Node() string { return l.node }

// Target is a server that can handle requests of a service.
type Target struct {
	id          TargetID
	service     string
	peerAddress string
	locality    Locality
	slots       int
	announcedAt time.Time
}

// NewTarget returns a target. peerAddress is the host:port on which the
// target's node accepts calls from other nodes; announcedAt is when the server
// last started cold.
func NewTarget(id TargetID, service, peerAddress string, locality Locality, slots int, announcedAt time.Time) Target {
	return Target{id: id, service: service, peerAddress: peerAddress, locality: locality, slots: slots, announcedAt: announcedAt}
}

// ID returns the id of the target.
func (t Target) ID() TargetID { return t.id }

// Service returns the name of the service.
func (t Target) Service() string { return t.service }

// PeerAddress returns the host:port on which the target's node accepts calls.
func (t Target) PeerAddress() string { return t.peerAddress }

// Locality returns the locality of the target.
func (t Target) Locality() Locality { return t.locality }

// AnnouncedAt returns when the server last started cold: when it was first
// announced, restarted, or returned after it was silent or draining.
func (t Target) AnnouncedAt() time.Time { return t.announcedAt }

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	// Answered: the server's response arrived.
	Answered Result = iota
	// Refused: the target refused the request without running it.
	Refused
	// Unreachable: the target's node or server could not be reached.
	Unreachable
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown
	// Cancelled: the caller disconnected or another attempt answered first.
	Cancelled
)

// TargetState is what this node knows about one target.
type TargetState struct {
	target          Target
	outstanding     int
	sentSinceReport int
	report          load.Report
	reportedAt      time.Time
	failedAt        time.Time
	failures        int
}

// Target returns the target.
func (s *TargetState) Target() Target { return s.target }

// Outstanding returns how many requests of this node are in flight at the
// target.
func (s *TargetState) Outstanding() int { return s.outstanding }

// Report returns the newest load report.
func (s *TargetState) Report() load.Report { return s.report }

// ReportedAt returns when the newest load report arrived.
func (s *TargetState) ReportedAt() time.Time { return s.reportedAt }

// Policy picks one of the candidates, of which there is at least one.
type Policy func(now time.Time, local Locality, candidates []*TargetState, rng *rand.Rand) *TargetState

// Balancer picks targets and tracks their state. It belongs to one goroutine.
type Balancer struct {
	policy   Policy
	rng      *rand.Rand
	local    Locality
	services map[string][]*TargetState
	states   map[TargetID]*TargetState
}

// NewBalancer returns a balancer without targets for a node in the given
// locality.
func NewBalancer(policy Policy, rng *rand.Rand, local Locality) *Balancer {
	return &Balancer{policy: policy, rng: rng, local: local, services: map[string][]*TargetState{}, states: map[TargetID]*TargetState{}}
}

// SetTargets replaces the targets. It keeps the state of targets that remain,
// except for the load report and failures of a server that started cold again,
// since these describe the time before.
func (b *Balancer) SetTargets(targets []Target) {
	services := map[string][]*TargetState{}
	states := make(map[TargetID]*TargetState, len(targets))
	for _, target := range targets {
		s, known := b.states[target.id]
		switch {
		case !known:
			s = &TargetState{target: target}
		case s.target.announcedAt != target.announcedAt:
			s = &TargetState{target: target, outstanding: s.outstanding}
		}
		s.target = target
		states[target.id] = s
		services[target.service] = append(services[target.service], s)
	}
	b.services, b.states = services, states
}

// Pick chooses a target for one attempt at a request of a service. It considers
// targets for which eligible returns true and that are not in tried. The
// attempt counts as in flight until RecordResult is called.
func (b *Balancer) Pick(now time.Time, service string, eligible func(Target) bool, tried []TargetID) (Target, bool) {
	candidates := b.candidates(now, service, eligible, tried)
	if len(candidates) == 0 {
		return Target{}, false
	}
	s := candidates[0]
	if len(candidates) > 1 {
		s = b.policy(now, b.local, candidates, b.rng)
	}
	s.outstanding++
	s.sentSinceReport++
	return s.target, true
}

// PickByID counts an attempt at the target with the given id as in flight. It
// serves requests whose target does not depend on load.
func (b *Balancer) PickByID(id TargetID) (Target, bool) {
	s, ok := b.states[id]
	if !ok {
		return Target{}, false
	}
	s.outstanding++
	s.sentSinceReport++
	return s.target, true
}

// candidates returns the targets to choose from. It leaves out targets that are
// closed according to their newest report or were recently unreachable, unless
// no others remain.
func (b *Balancer) candidates(now time.Time, service string, eligible func(Target) bool, tried []TargetID) []*TargetState {
	available := make([]*TargetState, 0, len(b.services[service]))
	unavailable := make([]*TargetState, 0, 2)
	for _, s := range b.services[service] {
		if !eligible(s.target) || contains(tried, s.target.id) {
			continue
		}
		if s.recentlyUnavailable(now) {
			unavailable = append(unavailable, s)
			continue
		}
		available = append(available, s)
	}
	if len(available) == 0 {
		return unavailable
	}
	return available
}

func (s *TargetState) recentlyUnavailable(now time.Time) bool {
	if s.report.Closed() && now.Sub(s.reportedAt) < closedReportTTL {
		return true
	}
	return s.failures > 0 && now.Sub(s.failedAt) < backoff(s.failures)
}

// backoff returns how long a target is avoided after consecutive failures. The
// bound of the shift prevents an overflow.
func backoff(failures int) time.Duration {
	return min(unreachableBaseDelay<<min(failures-1, 6), unreachableMaxDelay)
}

func contains(ids []TargetID, id TargetID) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}

// CountEligible returns how many targets of a service are eligible.
func (b *Balancer) CountEligible(service string, eligible func(Target) bool) int {
	n := 0
	for _, s := range b.services[service] {
		if eligible(s.target) {
			n++
		}
	}
	return n
}

// Targets returns the targets of a service.
func (b *Balancer) Targets(service string) []Target {
	list := make([]Target, 0, len(b.services[service]))
	for _, s := range b.services[service] {
		list = append(list, s.target)
	}
	return list
}

// TargetStates returns the state of all targets, in no particular order.
func (b *Balancer) TargetStates() []TargetState {
	list := make([]TargetState, 0, len(b.states))
	for _, s := range b.states {
		list = append(list, *s)
	}
	return list
}

// RecordResult records how an attempt ended. It stores report only if reported
// is true.
func (b *Balancer) RecordResult(now time.Time, id TargetID, result Result, report load.Report, reported bool) {
	s, ok := b.states[id]
	if !ok {
		return
	}
	s.outstanding = max(s.outstanding-1, 0)
	if reported {
		s.report = report
		s.reportedAt = now
		s.sentSinceReport = 0
	}
	s.recordResult(now, result)
}

func (s *TargetState) recordResult(now time.Time, result Result) {
	switch result {
	case Answered, Refused:
		s.failures = 0
	case Unreachable, OutcomeUnknown:
		s.failures++
		s.failedAt = now
	case Cancelled:
	}
}
