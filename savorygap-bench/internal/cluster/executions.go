package cluster

import (
	"context"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/platform"
	"savorygap.example/platform/platformtest"
)

// inboxSize is how many executions may wait to be recorded.
const inboxSize = 1024

// Execution is one execution of a request by a server.
type Execution struct {
	execution platformtest.Execution
	host      *Host
	instance  string
	version   string
}

// ID returns the id of the request.
func (e Execution) ID() string { return e.execution.ID() }

// URI returns the path and query of the request.
func (e Execution) URI() string { return e.execution.URI() }

// Origin returns the caller service that the request names.
func (e Execution) Origin() string { return e.execution.Origin() }

// StartedAt returns when the server started to execute the request.
func (e Execution) StartedAt() time.Time { return e.execution.StartedAt() }

// OverCapacity reports whether all slots were taken when the execution started.
func (e Execution) OverCapacity() bool { return e.execution.OverCapacity() }

// Tenants returns the names of tenants that the request carries.
func (e Execution) Tenants() []string {
	return e.execution.Header().Values(platform.HeaderNames().Tenant())
}

// Authorization returns the credentials that the request carries.
func (e Execution) Authorization() []string { return e.execution.Header().Values("Authorization") }

// Host returns the host that the server runs on.
func (e Execution) Host() *Host { return e.host }

// Version returns the version of the server.
func (e Execution) Version() string { return e.version }

// Instance returns the instance id of the server.
func (e Execution) Instance() string { return e.instance }

// ExecutionLog is the task that records which requests the servers executed.
type ExecutionLog struct {
	inbox *task.Inbox[executionMessage]
}

// executionMessage is a closed union; exactly one part is set.
type executionMessage struct {
	execution *Execution
	read      task.Reply[[]Execution]
}

// NewExecutionLog returns an empty log; call Run to start it.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{inbox: task.NewInbox[executionMessage](inboxSize)}
}

// Run records executions until ctx ends.
func (l *ExecutionLog) Run(ctx context.Context) {
	var executions []Execution
	l.inbox.Run(ctx, func(m executionMessage) {
		if m.execution != nil {
			executions = append(executions, *m.execution)
			return
		}
		m.read <- append([]Execution(nil), executions...)
	})
}

func (l *ExecutionLog) add(e Execution) { l.inbox.Send(executionMessage{execution: &e}) }

// Executions returns the executions recorded so far, in the order in which they
// started.
func (l *ExecutionLog) Executions(ctx context.Context) []Execution {
	reply := task.NewReply[[]Execution]()
	if !l.inbox.Send(executionMessage{read: reply}) {
		return nil
	}
	executions, _ := reply.Wait(ctx, l.inbox.Done())
	return executions
}
