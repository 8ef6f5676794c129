package cluster

import (
	"context"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/platform/platformtest"
)

// ledgerSize is how many runs wait to be written down.
const ledgerSize = 1024

// Execution is one run at a server.
type Execution struct {
	run      platformtest.Execution
	host     *Host
	instance string
}

// ID returns the id of the request.
func (e Execution) ID() string { return e.run.ID() }

// URI returns the path and query of the request.
func (e Execution) URI() string { return e.run.URI() }

// Origin returns the service that the request is said to come from.
func (e Execution) Origin() string { return e.run.Origin() }

// StartedAt returns when the run began.
func (e Execution) StartedAt() time.Time { return e.run.StartedAt() }

// OverCapacity reports whether the run began while all slots were taken.
func (e Execution) OverCapacity() bool { return e.run.OverCapacity() }

// Host returns the host of the server.
func (e Execution) Host() *Host { return e.host }

// Instance returns the id of the server.
func (e Execution) Instance() string { return e.instance }

// ExecutionLog is the task that writes down what ran.
type ExecutionLog struct {
	inbox *task.Inbox[ledgerMessage]
}

// ledgerMessage is a closed union; exactly one part is set.
type ledgerMessage struct {
	entry *Execution
	read  task.Reply[[]Execution]
}

// NewExecutionLog returns an empty ledger.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{inbox: task.NewInbox[ledgerMessage](ledgerSize)}
}

// Run writes runs down until ctx ends.
func (l *ExecutionLog) Run(ctx context.Context) {
	var entries []Execution
	l.inbox.Run(ctx, func(m ledgerMessage) {
		if m.entry != nil {
			entries = append(entries, *m.entry)
			return
		}
		m.read <- append([]Execution(nil), entries...)
	})
}

func (l *ExecutionLog) add(e Execution) { l.inbox.Send(ledgerMessage{entry: &e}) }

// Executions returns all runs so far, in the order in which they began.
func (l *ExecutionLog) Executions(ctx context.Context) []Execution {
	reply := task.NewReply[[]Execution]()
	if !l.inbox.Send(ledgerMessage{read: reply}) {
		return nil
	}
	entries, _ := reply.Wait(ctx, l.inbox.Done())
	return entries
}
