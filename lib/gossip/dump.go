package gossip

import (
	"context"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
	"savorygap.example/lib/task"
)

// Dump is the state of the control task for the state dump.
type Dump struct {
	members    []MemberDump
	links      []string
	revision   document.Revision
	highest    document.Revision
	config     chart.State
	operations []document.Operation
	sent       uint64
	received   uint64
	shed       uint64
	suspected  uint64
	refuted    uint64
	duty       StoreRole
	synced     bool
	superseded bool
	inbox      int
}

// MemberDump is one node in the view.
type MemberDump struct {
	claim member.Record
	state chart.State
}

// Record returns the claim that prevails.
func (m MemberDump) Record() member.Record { return m.claim }

// State returns the state of the node's life cycle.
func (m MemberDump) State() chart.State { return m.state }

// Members returns the nodes in the view.
func (d Dump) Members() []MemberDump { return d.members }

// Links returns the names of the linked neighbours.
func (d Dump) Links() []string { return d.links }

// Revision returns the revision in force.
func (d Dump) Revision() document.Revision { return d.revision }

// HighestRevision returns the highest revision heard of.
func (d Dump) HighestRevision() document.Revision { return d.highest }

// ConfigState returns the state of the configuration's life cycle.
func (d Dump) ConfigState() chart.State { return d.config }

// Operations returns the remembered operations.
func (d Dump) Operations() []document.Operation { return d.operations }

// SentBytes returns the bytes of control messages sent, with packet overhead.
func (d Dump) SentBytes() uint64 { return d.sent }

// ReceivedBytes returns the bytes of control messages received, with packet
// overhead.
func (d Dump) ReceivedBytes() uint64 { return d.received }

// ShedMessages returns how many messages the budget held back.
func (d Dump) ShedMessages() uint64 { return d.shed }

// Suspicions returns how often this node suspected another.
func (d Dump) Suspicions() uint64 { return d.suspected }

// Refutations returns how often this node refuted a doubt about itself.
func (d Dump) Refutations() uint64 { return d.refuted }

// StoreRole returns what the node does at the store.
func (d Dump) StoreRole() StoreRole { return d.duty }

// Synced reports whether a peer has shared its view, or there is none to ask.
func (d Dump) Synced() bool { return d.synced }

// Superseded reports whether a later process runs under this node's name.
func (d Dump) Superseded() bool { return d.superseded }

// InboxLen returns how many messages wait for the task.
func (d Dump) InboxLen() int { return d.inbox }

// Dump returns the state of the task.
func (c *Agent) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !c.inbox.Send(controlMessage{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, c.inbox.Done())
	return d
}

func (c *Agent) snapshot() Dump {
	d := Dump{
		revision: c.config.revision(), highest: c.config.highest, config: c.config.machine.State(),
		sent: c.budget.spent, received: c.received, suspected: c.suspected, refuted: c.refuted,
		duty: c.duty, synced: c.synced, superseded: c.table.Superseded(), inbox: c.inbox.Len(),
	}
	for _, n := range c.budget.shed {
		d.shed += n
	}
	if c.config.current != nil {
		d.operations = c.config.current.Operations()
	}
	for _, claim := range c.table.All() {
		state, _ := c.table.State(claim.Name())
		d.members = append(d.members, MemberDump{claim: claim, state: state})
	}
	for name := range c.links {
		d.links = append(d.links, name)
	}
	return d
}
