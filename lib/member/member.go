// Package member holds a node's membership table and merges the records that
// other nodes send.
//
// A record describes one node: its process (name and epoch), a version that only
// that process increments, a status, and the servers on its host. Records of a
// node are totally ordered by epoch, version and status, so that all tables
// converge regardless of the order in which records arrive. A host that was
// replaced under the same name has a higher epoch and supersedes the old one. A
// node that learns that it is suspected increments its version, which refutes
// the suspicion.
//
// # Usage
//
//	t, err := member.NewTable(memberChart, self, now)
//	change := t.Merge(now, record)
//	changes := t.Tick(now)
//	for _, m := range t.Usable() { ... }
//
// A Table belongs to one goroutine.
package member

import (
	"sort"
	"time"

	"savorygap.example/lib/chart"
)

// Status is the liveness of a node according to a record.
type Status uint8

// The statuses in ascending precedence: at equal epoch and version, the later
// one supersedes the earlier.
const (
	Alive Status = iota
	Suspect
	Failed
	Left
)

var statusNames = []string{"alive", "suspect", "failed", "left"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Server is a server on the host of a node.
type Server struct {
	service     string
	address     string
	slots       int
	announcedAt time.Time
}

// NewServer returns a server that was first announced at announcedAt.
func NewServer(service, address string, slots int, announcedAt time.Time) Server {
	return Server{service: service, address: address, slots: slots, announcedAt: announcedAt}
}

// Service returns the name of the service.
func (s Server) Service() string { return s.service }

// Address returns the server's host:port.
func (s Server) Address() string { return s.address }

// Slots returns the number of concurrent requests that the server declared.
func (s Server) Slots() int { return s.slots }

// AnnouncedAt returns when the server was first announced.
func (s Server) AnnouncedAt() time.Time { return s.announcedAt }

// Record is a versioned description of one node.
type Record struct {
	name           string
	epoch          uint64
	version        uint64
	status         Status
	callAddress    string
	controlAddress string
	dataCentre     string
	region         string
	servers        []Server
}

// NewRecord returns the first record of a node's process: alive, at version 1.
// The addresses are host:port where the node accepts calls and control links.
func NewRecord(name string, epoch uint64, callAddress, controlAddress, dataCentre, region string) Record {
	return Record{name: name, epoch: epoch, version: 1, callAddress: callAddress, controlAddress: controlAddress, dataCentre: dataCentre, region: region}
}

// WithStatus returns the record with another version and status.
func (r Record) WithStatus(version uint64, status Status) Record {
	r.version = version
	r.status = status
	return r
}

// WithServers returns the record with the servers of the host that accept
// requests.
func (r Record) WithServers(servers []Server) Record {
	r.servers = servers
	return r
}

// Name returns the host name.
func (r Record) Name() string { return r.name }

// Epoch returns when the process started, in nanoseconds since 1970.
func (r Record) Epoch() uint64 { return r.epoch }

// Version returns the version, which only the process itself increments.
func (r Record) Version() uint64 { return r.version }

// Status returns the status.
func (r Record) Status() Status { return r.status }

// CallAddress returns host:port where the node accepts calls.
func (r Record) CallAddress() string { return r.callAddress }

// ControlAddress returns host:port where the node accepts control links.
func (r Record) ControlAddress() string { return r.controlAddress }

// DataCentre returns the data centre of the host.
func (r Record) DataCentre() string { return r.dataCentre }

// Region returns the region of the data centre.
func (r Record) Region() string { return r.region }

// Servers returns the servers of the host that accept requests.
func (r Record) Servers() []Server { return r.servers }

// Supersedes reports whether r is newer than o, a record of the same node.
func (r Record) Supersedes(o Record) bool {
	if r.epoch != o.epoch {
		return r.epoch > o.epoch
	}
	if r.version != o.version {
		return r.version > o.version
	}
	return r.status > o.status
}

const (
	// SuspicionTimeout is how long a suspected node has to refute the suspicion
	// before it counts as failed.
	SuspicionTimeout = 3 * time.Second
	// LeftRetention is how long the record of a node that left is kept.
	LeftRetention = 10 * time.Minute
	// FailedRetention is how long the record of a failed node is kept, so that
	// the two sides of a network partition can reconnect.
	FailedRetention = 3 * time.Hour
)

// entry is a node's record and life cycle in the table.
type entry struct {
	record     Record
	machine    *chart.Machine
	stateSince time.Time
}

// Table is one node's view of all nodes.
type Table struct {
	chart      *chart.Chart
	self       Record
	superseded bool
	entries    map[string]*entry
	digests    [NumBuckets]uint64
	generation uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(memberChart *chart.Chart, self Record, now time.Time) (*Table, error) {
	t := &Table{chart: memberChart, self: self, entries: map[string]*entry{}}
	machine, err := memberChart.NewMachine(nil)
	if err != nil {
		return nil, err
	}
	t.insert(&entry{record: self, machine: machine, stateSince: now})
	return t, nil
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.self }

// Superseded reports whether a newer process runs under this node's name.
func (t *Table) Superseded() bool { return t.superseded }

// Generation returns a number that increases with every change of the table.
func (t *Table) Generation() uint64 { return t.generation }

// Len returns the number of nodes in the table, including this node and failed
// ones.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the record of a node.
func (t *Table) Get(name string) (Record, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// State returns the state of a node's life cycle.
func (t *Table) State(name string) (chart.State, bool) {
	e, ok := t.entries[name]
	if !ok {
		return "", false
	}
	return e.machine.State(), true
}

// UpdateSelf increments the version of the node's own record with new content
// and returns the record to broadcast. A leaving node offers no servers.
func (t *Table) UpdateSelf(now time.Time, servers []Server, leaving bool) Record {
	t.self.version++
	t.self.servers = servers
	if leaving {
		t.self.status = Left
		t.self.servers = nil
	}
	t.setRecord(now, t.entries[t.self.name], t.self)
	return t.self
}

// Change is the result of merging a record.
type Change struct {
	record  Record
	changed bool
	refuted bool
}

// Record returns the node's record after the merge, to be broadcast if the table
// changed.
func (c Change) Record() Record { return c.record }

// Changed reports whether the record is to be broadcast: the table changed, or
// the record received came from an older process under this node's name.
func (c Change) Changed() bool { return c.changed }

// Refuted reports whether the node incremented its own version to refute a
// suspicion.
func (c Change) Refuted() bool { return c.refuted }

// Merge applies a record received from another node, if it supersedes the one in
// the table.
func (t *Table) Merge(now time.Time, r Record) Change {
	if r.name == t.self.name {
		return t.mergeSelf(now, r)
	}
	e, known := t.entries[r.name]
	if known && !r.Supersedes(e.record) {
		return Change{record: e.record}
	}
	if !known {
		machine, err := t.chart.NewMachine(nil)
		if err != nil {
			return Change{}
		}
		e = &entry{machine: machine, stateSince: now, record: r.WithStatus(0, Alive)}
		e.record.name = r.name
		t.entries[r.name] = e
		t.toggleDigest(e.record)
	}
	t.setRecord(now, e, r)
	return Change{record: r, changed: true}
}

func (t *Table) mergeSelf(now time.Time, r Record) Change {
	switch {
	case r.epoch > t.self.epoch:
		t.superseded = true
		return Change{record: t.self}
	case r.epoch < t.self.epoch:
		return Change{record: t.self, changed: r.status == Alive}
	case t.self.status == Left || !r.Supersedes(t.self):
		return Change{record: t.self}
	}
	t.self.version = r.version + 1
	t.setRecord(now, t.entries[t.self.name], t.self)
	return Change{record: t.self, changed: true, refuted: true}
}

func (t *Table) insert(e *entry) {
	t.entries[e.record.name] = e
	t.toggleDigest(e.record)
}

// setRecord replaces the record of an entry and advances its life cycle.
func (t *Table) setRecord(now time.Time, e *entry, r Record) {
	t.toggleDigest(e.record)
	e.record = r
	t.toggleDigest(r)
	previous := e.machine.State()
	event := chartEvent(r.status)
	if e.machine.Accepts(event) {
		_ = e.machine.Fire(event)
	}
	if e.machine.State() != previous {
		e.stateSince = now
	}
}

// chartEvent returns the event of the chart "member" for a status.
func chartEvent(s Status) chart.Event {
	switch s {
	case Suspect:
		return "suspect"
	case Failed:
		return "fail"
	case Left:
		return "leave"
	}
	return "refute"
}

// Tick marks nodes as failed whose suspicion was not refuted in time and removes
// expired entries. It returns the changes to broadcast.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for name, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case name == t.self.name:
		case e.record.status == Suspect && age >= SuspicionTimeout:
			failed := e.record.WithStatus(e.record.version, Failed)
			t.setRecord(now, e, failed)
			changes = append(changes, Change{record: failed, changed: true})
		case e.record.status == Failed && age >= FailedRetention, e.record.status == Left && age >= LeftRetention:
			t.forget(name, e)
		}
	}
	return changes
}

func (t *Table) forget(name string, e *entry) {
	_ = e.machine.Fire("forget")
	t.toggleDigest(e.record)
	delete(t.entries, name)
}

// SuspectRecord returns the record that marks a node as suspected, for Merge. It
// reports false for this node itself and for one that is not alive.
func (t *Table) SuspectRecord(name string) (Record, bool) {
	e, ok := t.entries[name]
	if !ok || e.record.status != Alive || name == t.self.name {
		return Record{}, false
	}
	return e.record.WithStatus(e.record.version, Suspect), true
}

// Usable returns the records of nodes that may receive requests, by name.
func (t *Table) Usable() []Record {
	list := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		if e.machine.HasTag("usable") {
			list = append(list, e.record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// All returns all records, by name.
func (t *Table) All() []Record {
	list := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.record)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}
