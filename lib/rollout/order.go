// Package rollout decides how the requests of a service move to servers of a new
// version: how large a share the new version gets, which of its servers are used, and
// whether it is bad and has to be rolled back.
//
// A Rollout follows the chart "rollout". Every node has its own and feeds it with the
// order, the record that nodes keep in the store, and the tallies of responses that the
// nodes beside the servers send to all others. Nothing here reads a clock, encodes or
// sends; package rollout/control does.
//
// # Usage
//
//	r, err := rollout.New(charts, order, bounds, now)
//	r.MergeRecord(record)
//	r.MergeTally(tally)
//	action := r.Next(now, servers)
//	policy := r.Policy(servers)
package rollout

import (
	"math"
	"time"
)

// Order is the order of the operators to move a service to a version.
type Order struct {
	service  string
	target   string
	duration time.Duration
	version  uint64
}

// NewOrder returns the order, written at a version of the store, to move service to
// servers of the target version within duration.
func NewOrder(service, target string, duration time.Duration, version uint64) Order {
	return Order{service: service, target: target, duration: duration, version: version}
}

// Service returns the service.
func (o Order) Service() string { return o.service }

// Target returns the target version.
func (o Order) Target() string { return o.target }

// Duration returns the time within which the rollout must be complete.
func (o Order) Duration() time.Duration { return o.duration }

// Version returns the store version at which the order was written.
func (o Order) Version() uint64 { return o.version }

// Bounds limit what a bad version may get.
type Bounds struct {
	share         float64
	slack         float64
	rollbackAfter time.Duration
}

// NewBounds returns bounds: a bad version gets at most share of the requests of its
// service plus slack, and none that is sent later than rollbackAfter after its slack-th
// bad response.
func NewBounds(share, slack float64, rollbackAfter time.Duration) Bounds {
	return Bounds{share: share, slack: slack, rollbackAfter: rollbackAfter}
}

// Phase is the part of a record's state that the store keeps.
type Phase uint8

// Phases of a rollout.
const (
	// Running means that requests move to the target version.
	Running Phase = iota
	// Complete means that the target version is the version of the service.
	Complete
	// RolledBack means that the target version is bad.
	RolledBack
)

var phaseNames = []string{"running", "complete", "rolledBack"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// ParsePhase returns the phase with the given name.
func ParsePhase(name string) (Phase, bool) {
	for i, n := range phaseNames {
		if n == name {
			return Phase(i), true
		}
	}
	return Running, false
}

// Record is the state of a rollout as the store keeps it.
type Record struct {
	order    uint64
	target   string
	previous string
	phase    Phase
	step     int
	elapsed  time.Duration
	version  uint64
}

// NewRecord returns the record of the rollout with the order of the given store version.
// previous is the version that the service had before.
func NewRecord(order uint64, target, previous string, phase Phase, step int, elapsed time.Duration) Record {
	return Record{order: order, target: target, previous: previous, phase: phase, step: step, elapsed: elapsed}
}

// WithVersion returns the record with the store version at which it was written.
func (r Record) WithVersion(version uint64) Record {
	r.version = version
	return r
}

// Order returns the store version of the order.
func (r Record) Order() uint64 { return r.order }

// Target returns the target version.
func (r Record) Target() string { return r.target }

// Previous returns the version that the service had before.
func (r Record) Previous() string { return r.previous }

// Phase returns the phase.
func (r Record) Phase() Phase { return r.phase }

// Step returns the index of the step in the plan.
func (r Record) Step() int { return r.step }

// Elapsed returns the time between the order and the step.
func (r Record) Elapsed() time.Duration { return r.elapsed }

// Serving returns the version that the service has according to the record: the previous
// one until the rollout is complete, or the target version if there was no other. It is ""
// for no record.
func (r Record) Serving() string {
	if r.phase == Complete || r.phase == Running && r.previous == "" {
		return r.target
	}
	return r.previous
}

// progress orders the records of one order: a later one has more.
func (r Record) progress() int {
	switch r.phase {
	case Complete:
		return math.MaxInt
	case RolledBack:
		return math.MaxInt - 1
	case Running:
	}
	return r.step
}

// Version returns the store version at which the record was written, 0 if it was not.
func (r Record) Version() uint64 { return r.version }

// Message is what a node tells its peers about the rollout of a service: the order, the
// newest record that it knows, whether it has decided on a rollback, and the tally of the
// server on its host.
type Message struct {
	order      Order
	record     Record
	elapsed    time.Duration
	withdrawn  bool
	rolledBack bool
	tally      *Tally
}

// NewMessage returns a message. elapsed is the time since the order.
func NewMessage(order Order, record Record, elapsed time.Duration, withdrawn, rolledBack bool) Message {
	return Message{order: order, record: record, elapsed: elapsed, withdrawn: withdrawn, rolledBack: rolledBack}
}

// WithTally returns the message with the tally of the server on the sender's host.
func (m Message) WithTally(t Tally) Message {
	m.tally = &t
	return m
}

// Order returns the order.
func (m Message) Order() Order { return m.order }

// Record returns the newest record that the sender knows. Its order may be an earlier one.
func (m Message) Record() Record { return m.record }

// Elapsed returns the time since the order.
func (m Message) Elapsed() time.Duration { return m.elapsed }

// Withdrawn reports whether the operators have removed the order.
func (m Message) Withdrawn() bool { return m.withdrawn }

// RolledBack reports whether the sender has decided on a rollback.
func (m Message) RolledBack() bool { return m.rolledBack }

// Tally returns the tally of the server on the sender's host, or nil.
func (m Message) Tally() *Tally { return m.tally }
