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

// ID identifies a target: a node and the address of a server on its host.
type ID struct {
	node    string
	address string
}

// NewID returns the id of the server with the given address beside a node.
func NewID(node, address string) ID { return ID{node: node, address: address} }

// Node returns the name of the node.
func (i ID) Node() string { return i.node }

// Address returns the address of the server.
func (i ID) Address() string { return i.address }

// Place says where something runs.
type Place struct {
	node       string
	dataCentre string
	region     string
}

// NewPlace returns a place.
func NewPlace(node, dataCentre, region string) Place {
	return Place{node: node, dataCentre: dataCentre, region: region}
}

// DataCentre returns the name of the data centre.
func (p Place) DataCentre() string { return p.dataCentre }

// Node returns the name of the node.
func (p Place) Node() string { return p.node }

// Target is a server that requests of a service can be sent to.
type Target struct {
	id      ID
	service string
	peer    string
	place   Place
	slots   int
	since   time.Time
}

// NewTarget returns a target whose node takes calls at peer.
func NewTarget(id ID, service, peer string, place Place, slots int, since time.Time) Target {
	return Target{id: id, service: service, peer: peer, place: place, slots: slots, since: since}
}

// ID returns the id.
func (t Target) ID() ID { return t.id }

// Service returns the service.
func (t Target) Service() string { return t.service }

// Peer returns host:port where the target's node takes calls.
func (t Target) Peer() string { return t.peer }

// Place returns where the target runs.
func (t Target) Place() Place { return t.place }

// Since returns when the server was first announced.
func (t Target) Since() time.Time { return t.since }

// Ending says how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	// Answered: the server's answer arrived.
	Answered Ending = iota
	// Refused: the target refused the request as not run.
	Refused
	// Unreachable: the target's node or server could not be reached.
	Unreachable
	// Lost: the outcome is unknown.
	Lost
	// Abandoned: the caller left or another attempt won.
	Abandoned
)

// Entry is what the table knows of one target.
type Entry struct {
	target      Target
	outstanding int
	sentSince   int
	report      load.Report
	reportedAt  time.Time
	failedAt    time.Time
	failures    int
}

// Target returns the target.
func (e *Entry) Target() Target { return e.target }

// Outstanding returns how many requests of this node are in flight there.
func (e *Entry) Outstanding() int { return e.outstanding }

// Report returns the newest report.
func (e *Entry) Report() load.Report { return e.report }

// ReportedAt returns when the newest report arrived.
func (e *Entry) ReportedAt() time.Time { return e.reportedAt }

// Policy picks one of at least one candidates.
type Policy func(now time.Time, here Place, candidates []*Entry, rng *rand.Rand) *Entry

// Table is the state of the choice. It belongs to one goroutine.
type Table struct {
	policy   Policy
	rng      *rand.Rand
	here     Place
	services map[string][]*Entry
	entries  map[ID]*Entry
}

// NewTable returns an empty table for a node at the given place.
func NewTable(policy Policy, rng *rand.Rand, here Place) *Table {
	return &Table{policy: policy, rng: rng, here: here, services: map[string][]*Entry{}, entries: map[ID]*Entry{}}
}

// Replace sets the targets. What is known of targets that stay is kept, unless
// the server was announced anew since.
func (t *Table) Replace(targets []Target) {
	services := map[string][]*Entry{}
	entries := make(map[ID]*Entry, len(targets))
	for _, target := range targets {
		e, known := t.entries[target.id]
		switch {
		case !known:
			e = &Entry{target: target}
		case e.target.since != target.since:
			e = &Entry{target: target, outstanding: e.outstanding}
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
func (t *Table) Pick(now time.Time, service string, open func(Target) bool, tried []ID) (Target, bool) {
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

// PickID counts an attempt at the given target as in flight, where the target
// is decided elsewhere.
func (t *Table) PickID(id ID) (Target, bool) {
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
func (t *Table) candidates(now time.Time, service string, open func(Target) bool, tried []ID) []*Entry {
	usable := make([]*Entry, 0, len(t.services[service]))
	doubtful := make([]*Entry, 0, 2)
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

func (e *Entry) doubtful(now time.Time) bool {
	if e.report.Closed() && now.Sub(e.reportedAt) < closedFor {
		return true
	}
	return e.failures > 0 && now.Sub(e.failedAt) < backoff(e.failures)
}

func backoff(failures int) time.Duration {
	return min(unreachableBase<<min(failures-1, 6), unreachableMax)
}

func contains(ids []ID, id ID) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}

// Count returns how many targets of a service are open.
func (t *Table) Count(service string, open func(Target) bool) int {
	n := 0
	for _, e := range t.services[service] {
		if open(e.target) {
			n++
		}
	}
	return n
}

// Targets returns the targets of a service.
func (t *Table) Targets(service string) []Target {
	list := make([]Target, 0, len(t.services[service]))
	for _, e := range t.services[service] {
		list = append(list, e.target)
	}
	return list
}

// Entries returns what is known of all targets, in no order.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, *e)
	}
	return list
}

// Settle records how an attempt ended. A report is taken when reported is true.
func (t *Table) Settle(now time.Time, id ID, ending Ending, report load.Report, reported bool) {
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

func (e *Entry) settle(now time.Time, ending Ending) {
	switch ending {
	case Answered, Refused:
		e.failures = 0
	case Unreachable, Lost:
		e.failures++
		e.failedAt = now
	case Abandoned:
	}
}
