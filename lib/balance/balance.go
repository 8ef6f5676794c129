// Package balance chooses the target of each attempt.
//
// A Table holds, for each service, the targets that the membership knows, the
// reports that came with their answers, and how many requests this node has in
// flight at each. A Policy picks one of the candidates; it is a function, so
// that policies can be compared on the same load.
//
// # Usage
//
//	t := balance.NewTable(balance.Adaptive, rng, here)
//	t.Replace(targets)
//	target, ok := t.Pick(now, "logview", open, tried)
//	t.Settle(now, target.ID(), balance.Answered, report, true)
//
// Every report is stale when it arrives. Its weight falls with its age, and
// the requests that this node sent since are added to it at once.
package balance

import (
	"math/rand/v2"
	"time"

	"savorygap.example/lib/load"
)

// TargetID identifies a target: a node and the address of a server on its host.
type TargetID struct {
	node    string
	address string
}

// NewTargetID returns the id of the server with the given address beside a node.
func NewTargetID(node, address string) TargetID { return TargetID{node: node, address: address} }

// Node returns the name of the node.
func (i TargetID) Node() string { return i.node }

// Address returns the address of the server.
func (i TargetID) Address() string { return i.address }

// Locality says where something runs.
type Locality struct {
	node       string
	dataCentre string
	region     string
}

// NewLocality returns a place.
func NewLocality(node, dataCentre, region string) Locality {
	return Locality{node: node, dataCentre: dataCentre, region: region}
}

// DataCentre returns the name of the data centre.
func (p Locality) DataCentre() string { return p.dataCentre }

// Node returns the name of the node.
func (p Locality) Node() string { return p.node }

// Target is a server that requests of a service can be sent to.
type Target struct {
	id      TargetID
	service string
	peer    string
	place   Locality
	slots   int
	since   time.Time
}

// NewTarget returns a target whose node takes calls at peer.
func NewTarget(id TargetID, service, peer string, place Locality, slots int, since time.Time) Target {
	return Target{id: id, service: service, peer: peer, place: place, slots: slots, since: since}
}

// ID returns the id.
func (t Target) ID() TargetID { return t.id }

// Service returns the service.
func (t Target) Service() string { return t.service }

// PeerAddress returns host:port where the target's node takes calls.
func (t Target) PeerAddress() string { return t.peer }

// Locality returns where the target runs.
func (t Target) Locality() Locality { return t.place }

// AnnouncedAt returns when the server was first announced.
func (t Target) AnnouncedAt() time.Time { return t.since }

// Result says how an attempt ended.
type Result uint8

// The endings of an attempt.
const (
	// Answered: the server's answer arrived.
	Answered Result = iota
	// Refused: the target refused the request as not run.
	Refused
	// Unreachable: the target's node or server could not be reached.
	Unreachable
	// OutcomeUnknown: the outcome is unknown.
	OutcomeUnknown
	// Cancelled: the caller left or another attempt won.
	Cancelled
)

// TargetState is what the table knows of one target.
type TargetState struct {
	target      Target
	outstanding int
	sentSince   int
	report      load.Report
	reportedAt  time.Time
	failedAt    time.Time
	failures    int
}

// Target returns the target.
func (e *TargetState) Target() Target { return e.target }

// Outstanding returns how many requests of this node are in flight there.
func (e *TargetState) Outstanding() int { return e.outstanding }

// Report returns the newest report.
func (e *TargetState) Report() load.Report { return e.report }

// ReportedAt returns when the newest report arrived.
func (e *TargetState) ReportedAt() time.Time { return e.reportedAt }

// Policy picks one of at least one candidates.
type Policy func(now time.Time, here Locality, candidates []*TargetState, rng *rand.Rand) *TargetState

// Balancer is the state of the choice. It belongs to one goroutine.
type Balancer struct {
	policy   Policy
	rng      *rand.Rand
	here     Locality
	services map[string][]*TargetState
	entries  map[TargetID]*TargetState
}

// NewBalancer returns an empty table for a node at the given place.
func NewBalancer(policy Policy, rng *rand.Rand, here Locality) *Balancer {
	return &Balancer{policy: policy, rng: rng, here: here, services: map[string][]*TargetState{}, entries: map[TargetID]*TargetState{}}
}

// SetTargets sets the targets. What is known of targets that stay is kept, unless
// the server was announced anew since.
func (t *Balancer) SetTargets(targets []Target) {
	services := map[string][]*TargetState{}
	entries := make(map[TargetID]*TargetState, len(targets))
	for _, target := range targets {
		e, known := t.entries[target.id]
		switch {
		case !known:
			e = &TargetState{target: target}
		case e.target.since != target.since:
			e = &TargetState{target: target, outstanding: e.outstanding}
		}
		e.target = target
		entries[target.id] = e
		services[target.service] = append(services[target.service], e)
	}
	t.services, t.entries = services, entries
}

// Pick chooses a target of a service for one attempt, among those for which
// open is true and that are not in tried. It counts the attempt as in flight
// until Settle.
func (t *Balancer) Pick(now time.Time, service string, open func(Target) bool, tried []TargetID) (Target, bool) {
	candidates := t.candidates(now, service, open, tried)
	if len(candidates) == 0 {
		return Target{}, false
	}
	e := candidates[0]
	if len(candidates) > 1 {
		e = t.policy(now, t.here, candidates, t.rng)
	}
	e.outstanding++
	e.sentSince++
	return e.target, true
}

// PickByID counts an attempt at the given target as in flight, where the target
// is decided elsewhere.
func (t *Balancer) PickByID(id TargetID) (Target, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Target{}, false
	}
	e.outstanding++
	e.sentSince++
	return e.target, true
}

// candidates leaves out targets that are closed by their newest report or were
// unreachable a moment ago, as long as others remain.
func (t *Balancer) candidates(now time.Time, service string, open func(Target) bool, tried []TargetID) []*TargetState {
	usable := make([]*TargetState, 0, len(t.services[service]))
	doubtful := make([]*TargetState, 0, 2)
	for _, e := range t.services[service] {
		if !open(e.target) || contains(tried, e.target.id) {
			continue
		}
		if e.doubtful(now) {
			doubtful = append(doubtful, e)
			continue
		}
		usable = append(usable, e)
	}
	if len(usable) == 0 {
		return doubtful
	}
	return usable
}

func (e *TargetState) doubtful(now time.Time) bool {
	if e.report.Closed() && now.Sub(e.reportedAt) < closedFor {
		return true
	}
	return e.failures > 0 && now.Sub(e.failedAt) < backoff(e.failures)
}

func backoff(failures int) time.Duration {
	return min(unreachableBase<<min(failures-1, 6), unreachableMax)
}

func contains(ids []TargetID, id TargetID) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}

// CountEligible returns how many targets of a service are open.
func (t *Balancer) CountEligible(service string, open func(Target) bool) int {
	n := 0
	for _, e := range t.services[service] {
		if open(e.target) {
			n++
		}
	}
	return n
}

// Targets returns the targets of a service.
func (t *Balancer) Targets(service string) []Target {
	list := make([]Target, 0, len(t.services[service]))
	for _, e := range t.services[service] {
		list = append(list, e.target)
	}
	return list
}

// TargetStates returns what is known of all targets, in no order.
func (t *Balancer) TargetStates() []TargetState {
	list := make([]TargetState, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, *e)
	}
	return list
}

// RecordResult records how an attempt ended. A report is taken when reported is true.
func (t *Balancer) RecordResult(now time.Time, id TargetID, ending Result, report load.Report, reported bool) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.outstanding = max(e.outstanding-1, 0)
	if reported {
		e.report = report
		e.reportedAt = now
		e.sentSince = 0
	}
	e.settle(now, ending)
}

func (e *TargetState) settle(now time.Time, ending Result) {
	switch ending {
	case Answered, Refused:
		e.failures = 0
	case Unreachable, OutcomeUnknown:
		e.failures++
		e.failedAt = now
	case Cancelled:
	}
}
