package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/task"
)

const (
	// callTimeout bounds a call that does not wait for changes.
	callTimeout = time.Second
	// departureTimeout bounds the write that must end before a leaving server is
	// answered; a server takes no answer later than a second.
	departureTimeout = 600 * time.Millisecond
	// writeAgainMax is the longest pause before a write that failed is repeated:
	// entries must be back 2 s after an outage.
	writeAgainMax = 1500 * time.Millisecond
	registrarSize = 16 // messages
)

// Registrar is the task that writes to the store what concerns this node: its
// entry, the server that left beside it, and the end of entries whose nodes are
// gone. An entry has no lease: it stays until another node finds it gone, so that
// it costs no renewals and outlives restarts and outages.
type Registrar struct {
	store   *Store
	clock   clockwork.Clock
	node    string
	member  Record
	inbox   *task.Inbox[registrarMessage]
	pending []Record
	left    *Record // the departure that was written last
	backoff time.Duration
	health  func(error)
}

// registrarMessage is a closed union; exactly one part is set.
type registrarMessage struct {
	start     *Record
	kept      bool
	restore   bool
	departure *Record
	reply     task.Reply[error]
	gone      *Record
}

// NewRegistrar returns a registrar of the named node. health is called with the
// result of each call.
func NewRegistrar(store *Store, clock clockwork.Clock, node string, health func(error)) *Registrar {
	return &Registrar{store: store, clock: clock, node: node, inbox: task.NewInbox[registrarMessage](registrarSize), backoff: retryMin, health: health}
}

// Register begins to keep the entry of this node. It is written, unless the store holds
// it from an earlier process.
func (r *Registrar) Register(member Record, kept bool) {
	r.inbox.Send(registrarMessage{start: &member, kept: kept})
}

// RestoreEntry writes the entry again, since the store has lost it. It never blocks.
func (r *Registrar) RestoreEntry() { r.inbox.TrySend(registrarMessage{restore: true}) }

// RemoveMember removes the entry of a node that is gone, if it is still the same. It never
// blocks.
func (r *Registrar) RemoveMember(member Record) { r.inbox.TrySend(registrarMessage{gone: &member}) }

// RecordDeparture makes it last that the instance beside this node, started at born,
// leaves. An error means that this is not yet so; the registrar goes on trying.
func (r *Registrar) RecordDeparture(ctx context.Context, instance string, born int64) error {
	reply := task.NewReply[error]()
	record := NewDeparture(r.node, instance, born)
	if !r.inbox.Send(registrarMessage{departure: &record, reply: reply}) {
		return context.Canceled
	}
	err, ok := reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return ctx.Err()
	}
	return err
}

// Run writes until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	defer r.inbox.Close()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox.Messages():
			r.handle(ctx, m)
		case <-due:
			_ = r.write(ctx, callTimeout) // health was told; it is repeated
		}
		due = nil
		if len(r.pending) > 0 {
			due = r.clock.After(r.backoff/2 + rand.N(r.backoff))
		}
	}
}

func (r *Registrar) handle(ctx context.Context, m registrarMessage) {
	switch {
	case m.start != nil:
		r.member = *m.start
		if !m.kept {
			r.add(r.member)
			_ = r.write(ctx, callTimeout) // health was told; it is repeated
		}
	case m.restore && r.member.name != "":
		// It is written after a pause, since many entries may be lost at once.
		r.add(r.member)
		if r.left != nil {
			r.add(*r.left)
		}
	case m.departure != nil:
		r.left = m.departure
		r.add(*m.departure)
		m.reply <- r.write(ctx, departureTimeout)
	case m.gone != nil:
		r.remove(ctx, *m.gone)
	}
}

// add puts a record among those to write, in place of an older one of its kind.
func (r *Registrar) add(record Record) {
	for i, p := range r.pending {
		if p.kind == record.kind {
			r.pending[i] = record
			return
		}
	}
	r.pending = append(r.pending, record)
}

// write writes what is pending, until a call fails.
func (r *Registrar) write(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for len(r.pending) > 0 {
		err := r.store.Put(ctx, r.pending[0])
		r.health(err)
		if err != nil {
			r.backoff = min(2*r.backoff, writeAgainMax)
			return err
		}
		r.pending, r.backoff = r.pending[1:], retryMin
	}
	return nil
}

// remove removes an entry; where that fails, its finder asks again.
func (r *Registrar) remove(ctx context.Context, member Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.health(r.store.Remove(ctx, member))
}
