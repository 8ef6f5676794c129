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
	duty       Duty
	synced     bool
	superseded bool
	inbox      int
}

// MemberDump is one node in the view.
type MemberDump struct {
	claim member.Claim
	state chart.State
}

// Claim returns the claim that prevails.
func (m MemberDump) Claim() member.Claim { return m.claim }

// State returns the state of the node's life cycle.
func (m MemberDump) State() chart.State { return m.state }

// Members returns the nodes in the view.
func (d Dump) Members() []MemberDump { return d.members }

// Links returns the names of the linked neighbours.
func (d Dump) Links() []string { return d.links }

// Revision returns the revision in force.
func (d Dump) Revision() document.Revision { return d.revision }

// Highest returns the highest revision heard of.
func (d Dump) Highest() document.Revision { return d.highest }

// Config returns the state of the configuration's life cycle.
func (d Dump) Config() chart.State { return d.config }

// Operations returns the remembered operations.
func (d Dump) Operations() []document.Operation { return d.operations }

// Sent returns the bytes of control messages sent, with packet overhead.
func (d Dump) Sent() uint64 { return d.sent }

// Received returns the bytes of control messages received, with packet
// overhead.
func (d Dump) Received() uint64 { return d.received }

// Shed returns how many messages the budget held back.
func (d Dump) Shed() uint64 { return d.shed }

// Suspected returns how often this node suspected another.
func (d Dump) Suspected() uint64 { return d.suspected }

// Refuted returns how often this node refuted a doubt about itself.
func (d Dump) Refuted() uint64 { return d.refuted }

// Duty returns what the node does at the store.
func (d Dump) Duty() Duty { return d.duty }

// Synced reports whether a peer has shared its view, or there is none to ask.
func (d Dump) Synced() bool { return d.synced }

// Superseded reports whether a later process runs under this node's name.
func (d Dump) Superseded() bool { return d.superseded }

// Inbox returns how many messages wait for the task.
func (d Dump) Inbox() int { return d.inbox }

// Dump returns the state of the task.
func (c *Control) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !c.inbox.Send(controlMessage{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, c.inbox.Done())
	return d
}

func (c *Control) snapshot() Dump {
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
