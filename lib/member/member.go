// Package member holds a node's view of all nodes and merges the claims that
// reach it.
//
// A claim says of one node: its process (name and epoch), a version that only
// that process raises, a status and what it offers. Claims are totally ordered
// by epoch, version and status, so that all views converge whatever the order
// in which claims arrive. A host that was replaced under the same name has a
// higher epoch and supersedes the old one. A node that hears itself doubted
// raises its version, which refutes the doubt.
//
// # Usage
//
//	t, err := member.NewTable(memberChart, self, now)
//	change := t.Merge(now, claim)
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

// Status is what a claim says of a node's life.
type Status uint8

// The statuses, in the order in which they prevail at one epoch and version.
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

// Server is a server on a member's host.
type Server struct {
	service string
	address string
	slots   int
	since   time.Time
}

// NewServer returns a server that was first announced at since.
func NewServer(service, address string, slots int, since time.Time) Server {
	return Server{service: service, address: address, slots: slots, since: since}
}

// Service returns the service.
func (s Server) Service() string { return s.service }

// Address returns host:port on the member's host.
func (s Server) Address() string { return s.address }

// Slots returns the declared slots.
func (s Server) Slots() int { return s.slots }

// Since returns when the server was first announced.
func (s Server) Since() time.Time { return s.since }

// Claim is what is said of one node.
type Claim struct {
	name       string
	epoch      uint64
	version    uint64
	status     Status
	calls      string
	control    string
	dataCentre string
	region     string
	servers    []Server
}

// NewClaim returns a claim that the process of a node with the given epoch is
// alive. calls and control are the addresses where it takes calls and links.
func NewClaim(name string, epoch uint64, calls, control, dataCentre, region string) Claim {
	return Claim{name: name, epoch: epoch, version: 1, calls: calls, control: control, dataCentre: dataCentre, region: region}
}

// At returns the claim with another version and status.
func (c Claim) At(version uint64, status Status) Claim {
	c.version = version
	c.status = status
	return c
}

// WithServers returns the claim with the open servers of the host.
func (c Claim) WithServers(servers []Server) Claim {
	c.servers = servers
	return c
}

// Name returns the host name.
func (c Claim) Name() string { return c.name }

// Epoch returns when the process started, in nanoseconds since 1970.
func (c Claim) Epoch() uint64 { return c.epoch }

// Version returns the version, which only the process itself raises.
func (c Claim) Version() uint64 { return c.version }

// Status returns the status.
func (c Claim) Status() Status { return c.status }

// Calls returns host:port where the node takes calls.
func (c Claim) Calls() string { return c.calls }

// Control returns host:port where the node takes links.
func (c Claim) Control() string { return c.control }

// DataCentre returns the data centre.
func (c Claim) DataCentre() string { return c.dataCentre }

// Region returns the region.
func (c Claim) Region() string { return c.region }

// Servers returns the open servers of the host.
func (c Claim) Servers() []Server { return c.servers }

// Supersedes reports whether c prevails over o, a claim about the same node.
func (c Claim) Supersedes(o Claim) bool {
	if c.epoch != o.epoch {
		return c.epoch > o.epoch
	}
	if c.version != o.version {
		return c.version > o.version
	}
	return c.status > o.status
}

const (
	// SuspicionTimeout is how long a suspect may refute.
	SuspicionTimeout = 3 * time.Second
	// LeftRetention is how long a node that left is remembered.
	LeftRetention = 10 * time.Minute
	// FailedRetention is how long a failed node is remembered, so that two
	// sides of a partition find each other again.
	FailedRetention = 3 * time.Hour
)

type record struct {
	claim   Claim
	machine *chart.Machine
	since   time.Time
}

// Table is a view of all nodes.
type Table struct {
	chart      *chart.Chart
	self       Claim
	superseded bool
	records    map[string]*record
	digests    [Buckets]uint64
	changes    uint64
}

// NewTable returns a view that knows only the node itself.
func NewTable(memberChart *chart.Chart, self Claim, now time.Time) (*Table, error) {
	t := &Table{chart: memberChart, self: self, records: map[string]*record{}}
	machine, err := memberChart.NewMachine(nil)
	if err != nil {
		return nil, err
	}
	t.put(&record{claim: self, machine: machine, since: now})
	return t, nil
}

// Self returns the node's own claim.
func (t *Table) Self() Claim { return t.self }

// Superseded reports whether a later process runs under this node's name.
func (t *Table) Superseded() bool { return t.superseded }

// Changes returns a number that grows with every change of the view.
func (t *Table) Changes() uint64 { return t.changes }

// Len returns how many nodes are known, itself and failed ones included.
func (t *Table) Len() int { return len(t.records) }

// Get returns the claim that prevails about a node.
func (t *Table) Get(name string) (Claim, bool) {
	r, ok := t.records[name]
	if !ok {
		return Claim{}, false
	}
	return r.claim, true
}

// State returns the state of a node's life cycle in this view.
func (t *Table) State(name string) (chart.State, bool) {
	r, ok := t.records[name]
	if !ok {
		return "", false
	}
	return r.machine.State(), true
}

// Restate raises the node's own version with new content and returns the claim
// to spread.
func (t *Table) Restate(now time.Time, servers []Server, leaving bool) Claim {
	t.self.version++
	t.self.servers = servers
	if leaving {
		t.self.status = Left
		t.self.servers = nil
	}
	t.apply(now, t.records[t.self.name], t.self)
	return t.self
}

// Change says what Merge did.
type Change struct {
	claim   Claim
	changed bool
	refuted bool
}

// Claim returns the claim that prevails now and is to be spread.
func (c Change) Claim() Claim { return c.claim }

// Changed reports whether the view changed.
func (c Change) Changed() bool { return c.changed }

// Refuted reports whether the node raised its own version against a doubt.
func (c Change) Refuted() bool { return c.refuted }

// Merge takes a claim that arrived.
func (t *Table) Merge(now time.Time, c Claim) Change {
	if c.name == t.self.name {
		return t.mergeSelf(now, c)
	}
	r, known := t.records[c.name]
	if known && !c.Supersedes(r.claim) {
		return Change{claim: r.claim}
	}
	if !known {
		machine, err := t.chart.NewMachine(nil)
		if err != nil {
			return Change{}
		}
		r = &record{machine: machine, since: now, claim: c.At(0, Alive)}
		r.claim.name = c.name
		t.records[c.name] = r
		t.toggle(r.claim)
	}
	t.apply(now, r, c)
	return Change{claim: c, changed: true}
}

func (t *Table) mergeSelf(now time.Time, c Claim) Change {
	switch {
	case c.epoch > t.self.epoch:
		t.superseded = true
		return Change{claim: t.self}
	case c.epoch < t.self.epoch:
		return Change{claim: t.self, changed: c.status == Alive}
	case t.self.status == Left || !c.Supersedes(t.self):
		return Change{claim: t.self}
	}
	t.self.version = c.version + 1
	t.apply(now, t.records[t.self.name], t.self)
	return Change{claim: t.self, changed: true, refuted: true}
}

func (t *Table) put(r *record) {
	t.records[r.claim.name] = r
	t.toggle(r.claim)
}

// apply replaces the claim of a record and moves its chart.
func (t *Table) apply(now time.Time, r *record, c Claim) {
	t.toggle(r.claim)
	r.claim = c
	t.toggle(c)
	before := r.machine.State()
	e := eventOf(c.status)
	if r.machine.Accepts(e) {
		_ = r.machine.Fire(e)
	}
	if r.machine.State() != before {
		r.since = now
	}
}

func eventOf(s Status) chart.Event {
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

// Tick turns suspicions that were not refuted in time into failures and
// forgets old entries. It returns the changes to spread.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for name, r := range t.records {
		age := now.Sub(r.since)
		switch {
		case name == t.self.name:
		case r.claim.status == Suspect && age >= SuspicionTimeout:
			failed := r.claim.At(r.claim.version, Failed)
			t.apply(now, r, failed)
			changes = append(changes, Change{claim: failed, changed: true})
		case r.claim.status == Failed && age >= FailedRetention, r.claim.status == Left && age >= LeftRetention:
			t.forget(name, r)
		}
	}
	return changes
}

func (t *Table) forget(name string, r *record) {
	_ = r.machine.Fire("forget")
	t.toggle(r.claim)
	delete(t.records, name)
}

// Doubt returns the claim that a node is suspect, to be merged and spread. It
// reports false for a node that is not alive in this view.
func (t *Table) Doubt(name string) (Claim, bool) {
	r, ok := t.records[name]
	if !ok || r.claim.status != Alive || name == t.self.name {
		return Claim{}, false
	}
	return r.claim.At(r.claim.version, Suspect), true
}

// Usable returns the claims about nodes that may take requests, by name.
func (t *Table) Usable() []Claim {
	list := make([]Claim, 0, len(t.records))
	for _, r := range t.records {
		if r.machine.HasTag("usable") {
			list = append(list, r.claim)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// All returns all claims, by name.
func (t *Table) All() []Claim {
	list := make([]Claim, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, r.claim)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}
