package site

import (
	"context"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/platform/platformtest"
)

// ledgerSize is how many runs wait to be written down.
const ledgerSize = 1024

// Entry is one run at a server.
type Entry struct {
	run      platformtest.Execution
	host     *Host
	instance string
}

// ID returns the id of the request.
func (e Entry) ID() string { return e.run.ID() }

// URI returns the path and query of the request.
func (e Entry) URI() string { return e.run.URI() }

// Origin returns the service that the request is said to come from.
func (e Entry) Origin() string { return e.run.Origin() }

// At returns when the run began.
func (e Entry) At() time.Time { return e.run.StartedAt() }

// Over reports whether the run began while all slots were taken.
func (e Entry) Over() bool { return e.run.OverCapacity() }

// Host returns the host of the server.
func (e Entry) Host() *Host { return e.host }

// Instance returns the id of the server.
func (e Entry) Instance() string { return e.instance }

// Ledger is the task that writes down what ran.
type Ledger struct {
	inbox *task.Inbox[ledgerMessage]
}

// ledgerMessage is a closed union; exactly one part is set.
type ledgerMessage struct {
	entry *Entry
	read  task.Reply[[]Entry]
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{inbox: task.NewInbox[ledgerMessage](ledgerSize)} }

// Run writes runs down until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var entries []Entry
	l.inbox.Run(ctx, func(m ledgerMessage) {
		if m.entry != nil {
			entries = append(entries, *m.entry)
			return
		}
		m.read <- append([]Entry(nil), entries...)
	})
}

func (l *Ledger) add(e Entry) { l.inbox.Send(ledgerMessage{entry: &e}) }

// Entries returns all runs so far, in the order in which they began.
func (l *Ledger) Entries(ctx context.Context) []Entry {
	reply := task.NewReply[[]Entry]()
	if !l.inbox.Send(ledgerMessage{read: reply}) {
		return nil
	}
	entries, _ := reply.Wait(ctx, l.inbox.Done())
	return entries
}
