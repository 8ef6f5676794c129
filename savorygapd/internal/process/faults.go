package process

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/task"
)

const (
	keptFaults  = 32
	faultsInbox = 64
)

// Fault is something that went wrong and was dealt with.
type Fault struct {
	at     time.Time
	event  string
	peer   string
	reason string
}

// At returns when it happened.
func (f Fault) At() time.Time { return f.at }

// Event returns what was under way.
func (f Fault) Event() string { return f.event }

// Peer returns the peer that took part, if any.
func (f Fault) Peer() string { return f.peer }

// Reason returns what went wrong.
func (f Fault) Reason() string { return f.reason }

// faultMessage is a closed union; exactly one part is set.
type faultMessage struct {
	fault *Fault
	dump  task.Reply[[]Fault]
}

// faultRecord is the task that owns the newest faults.
type faultRecord struct {
	inbox *task.Inbox[faultMessage]
	kept  []Fault
}

func newFaultRecord() *faultRecord {
	return &faultRecord{inbox: task.NewInbox[faultMessage](faultsInbox)}
}

func (r *faultRecord) run(ctx context.Context) {
	r.inbox.Run(ctx, func(m faultMessage) {
		if m.fault == nil {
			m.dump <- append([]Fault(nil), r.kept...)
			return
		}
		r.kept = append(r.kept, *m.fault)
		if len(r.kept) > keptFaults {
			r.kept = r.kept[1:]
		}
	})
}

// RecordFault logs a fault and keeps it for the state dump.
func (p *Process) RecordFault(event, peer, reason string) {
	_ = level.Warn(p.logger).Log("event", event, "peer", peer, "error", reason)
	p.faults.inbox.TrySend(faultMessage{fault: &Fault{at: p.clock.Now(), event: event, peer: peer, reason: reason}})
}

// RecentFaults returns the newest faults, oldest first.
func (p *Process) RecentFaults(ctx context.Context) []Fault {
	reply := task.NewReply[[]Fault]()
	if !p.faults.inbox.Send(faultMessage{dump: reply}) {
		return nil
	}
	list, _ := reply.Wait(ctx, p.faults.inbox.Done())
	return list
}
