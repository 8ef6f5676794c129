package soak

import (
	"context"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/savorygap-bench/internal/cluster"
)

// trouble is a stretch in which something was done to a host, or to the store
// where host is nil.
type trouble struct {
	name    string
	host    *cluster.Host
	planned bool
	holds   bool
	from    time.Time
	to      time.Time
}

// leaving is a server that said it leaves, and when that was acknowledged.
type leaving struct {
	instance     string
	acknowledged time.Time
}

// evacuation is a stretch in which a data centre was out of service.
type evacuation struct {
	dataCentre string
	from       time.Time
	to         time.Time
}

// cold is a server that was cold from its start.
type cold struct {
	instance string
	until    time.Time
}

// change is a version of the configuration and when the store had it.
type change struct {
	version      int64
	acknowledged time.Time
}

// record is what was done during a soak; the soak's task owns it.
type record struct {
	troubles    []trouble
	leaving     []leaving
	evacuations []evacuation
	cold        []cold
	changes     []change
	failures    []string
}

// notes carries what was done to the task that owns the record.
type notes struct {
	inbox *task.Inbox[notesMessage]
}

// notesMessage is a closed union; exactly one part is set.
type notesMessage struct {
	write func(*record)
	read  task.Reply[record]
}

func newNotes() *notes { return &notes{inbox: task.NewInbox[notesMessage](64)} }

func (n *notes) run(ctx context.Context) {
	r := record{}
	n.inbox.Run(ctx, func(m notesMessage) {
		if m.write != nil {
			m.write(&r)
			return
		}
		m.read <- r
	})
}

func (n *notes) write(w func(*record)) { n.inbox.Send(notesMessage{write: w}) }

func (n *notes) fail(text string) {
	n.write(func(r *record) { r.failures = append(r.failures, text) })
}

func (n *notes) read(ctx context.Context) record {
	reply := task.NewReply[record]()
	if !n.inbox.Send(notesMessage{read: reply}) {
		return record{}
	}
	r, _ := reply.Wait(ctx, n.inbox.Done())
	return r
}
