package process

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/task"
)

const (
	maxFaults      = 32
	faultInboxSize = 64
)

// Fault is a failure that the process handled, such as a failed call to the store.
type Fault struct {
	at     time.Time
	event  string
	peer   string
	reason string
}

// At returns the time of the failure.
func (f Fault) At() time.Time { return f.at }

// Event returns the name of the operation that failed.
func (f Fault) Event() string { return f.event }

// Peer returns the node or the call that was involved, if any.
func (f Fault) Peer() string { return f.peer }

// Reason returns the error text.
func (f Fault) Reason() string { return f.reason }

// faultMessage is a message to the task: a fault to keep, or a reply that receives the
// recent ones.
type faultMessage struct {
	fault *Fault
	reply task.Reply[[]Fault]
}

// faultLog is the task that keeps the most recent faults.
type faultLog struct {
	inbox  *task.Inbox[faultMessage]
	recent []Fault
}

func newFaultLog() *faultLog {
	return &faultLog{inbox: task.NewInbox[faultMessage](faultInboxSize)}
}

func (l *faultLog) run(ctx context.Context) {
	l.inbox.Run(ctx, func(m faultMessage) {
		if m.fault == nil {
			m.reply <- append([]Fault(nil), l.recent...)
			return
		}
		l.recent = append(l.recent, *m.fault)
		if len(l.recent) > maxFaults {
			l.recent = l.recent[1:]
		}
	})
}

// RecordFault logs a fault and keeps it for the state dump. It never blocks.
func (p *Process) RecordFault(event, peer, reason string) {
	_ = level.Warn(p.logger).Log("event", event, "peer", peer, "error", reason)
	p.faultLog.inbox.TrySend(faultMessage{fault: &Fault{at: p.clock.Now(), event: event, peer: peer, reason: reason}})
}

// RecentFaults returns the most recent faults, oldest first.
func (p *Process) RecentFaults(ctx context.Context) []Fault {
	reply := task.NewReply[[]Fault]()
	if !p.faultLog.inbox.Send(faultMessage{reply: reply}) {
		return nil
	}
	list, _ := reply.Wait(ctx, p.faultLog.inbox.Done())
	return list
}
