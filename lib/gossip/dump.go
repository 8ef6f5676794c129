package gossip

import (
	"context"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
	"savorygap.example/lib/task"
)

// Dump is the state of an Agent, for the node's state dump.
type Dump struct {
	members         []MemberDump
	links           []string
	revision        document.Revision
	highestRevision document.Revision
	configState     chart.State
	operations      []document.Operation
	sentBytes       uint64
	receivedBytes   uint64
	shedMessages    uint64
	suspicions      uint64
	refutations     uint64
	storeRole       StoreRole
	synced          bool
	superseded      bool
	inboxLen        int
}

// MemberDump is one node of the membership table.
type MemberDump struct {
	record member.Record
	state  chart.State
}

// Record returns the node's membership record.
func (m MemberDump) Record() member.Record { return m.record }

// State returns the state of the node's life cycle in this table.
func (m MemberDump) State() chart.State { return m.state }

// Members returns the nodes of the membership table.
func (d Dump) Members() []MemberDump { return d.members }

// Links returns the names of the linked neighbours.
func (d Dump) Links() []string { return d.links }

// Revision returns the revision of the configuration in force.
func (d Dump) Revision() document.Revision { return d.revision }

// HighestRevision returns the highest configuration revision known to exist.
func (d Dump) HighestRevision() document.Revision { return d.highestRevision }

// ConfigState returns the state of the configuration's life cycle.
func (d Dump) ConfigState() chart.State { return d.configState }

// Operations returns the operations recorded in the configuration in force.
func (d Dump) Operations() []document.Operation { return d.operations }

// SentBytes returns the size of the control messages sent, including packet
// overhead.
func (d Dump) SentBytes() uint64 { return d.sentBytes }

// ReceivedBytes returns the size of the control messages received, including
// packet overhead.
func (d Dump) ReceivedBytes() uint64 { return d.receivedBytes }

// ShedMessages returns the number of messages withheld to stay within the
// traffic budget.
func (d Dump) ShedMessages() uint64 { return d.shedMessages }

// Suspicions returns how often this node marked another as suspected.
func (d Dump) Suspicions() uint64 { return d.suspicions }

// Refutations returns how often this node refuted a suspicion about itself.
func (d Dump) Refutations() uint64 { return d.refutations }

// StoreRole returns the node's role towards the store.
func (d Dump) StoreRole() StoreRole { return d.storeRole }

// Synced reports whether the node has synchronised its membership table with a
// peer, or has no seed to ask.
func (d Dump) Synced() bool { return d.synced }

// Superseded reports whether a newer process runs under this node's name.
func (d Dump) Superseded() bool { return d.superseded }

// InboxLen returns the number of messages queued for the agent.
func (d Dump) InboxLen() int { return d.inboxLen }

// Dump returns the state of the agent.
func (a *Agent) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !a.inbox.Send(agentMessage{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, a.inbox.Done())
	return d
}

func (a *Agent) buildDump() Dump {
	d := Dump{
		revision: a.config.revision(), highestRevision: a.config.highestRevision, configState: a.config.machine.State(),
		sentBytes: a.budget.sentBytes, receivedBytes: a.receivedBytes, suspicions: a.suspicions, refutations: a.refutations,
		storeRole: a.role, synced: a.synced, superseded: a.table.Superseded(), inboxLen: a.inbox.Len(),
	}
	for _, n := range a.budget.shed {
		d.shedMessages += n
	}
	if a.config.current != nil {
		d.operations = a.config.current.Operations()
	}
	for _, record := range a.table.All() {
		state, _ := a.table.State(record.Name())
		d.members = append(d.members, MemberDump{record: record, state: state})
	}
	for name := range a.links {
		d.links = append(d.links, name)
	}
	return d
}
