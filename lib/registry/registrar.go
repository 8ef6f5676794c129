package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/task"
)

const (
	// callTimeout bounds a write or removal for which no server waits.
	callTimeout = time.Second
	// departureTimeout bounds the write of a departure. A leaving server gets its
	// response after the write and accepts none after one second.
	departureTimeout = 600 * time.Millisecond
	// restoreTimeout is how long after an outage of the store the entries must be back.
	restoreTimeout = 2 * time.Second
	// maxWriteRetryDelay is the longest time between two writes. A write may have begun
	// just before the outage ended and get no reply.
	maxWriteRetryDelay = restoreTimeout - callTimeout - writeMargin
	// writeMargin is the time for the write itself.
	writeMargin        = 100 * time.Millisecond
	registrarInboxSize = 16 // messages
)

// ErrUnwritten reports that the store has not confirmed a record yet.
var ErrUnwritten = errors.New("the store has not confirmed the record yet")

// Registrar is the task that writes to the store: the entry of this node, the
// departure of the server on its host, and the removal of entries of unreachable
// members. An entry has no lease. It stays until another node removes it, so that
// it needs no renewal and survives restarts and outages.
type Registrar struct {
	store         *Store
	clock         clockwork.Clock
	node          string
	entry         Record
	inbox         *task.Inbox[registrarMessage]
	pending       []Record
	lastDeparture *Record
	backoff       time.Duration
	observeResult func(error)
}

// registrarMessage is a closed union; exactly one of register, restoreEntry,
// departure and removeMember is set. reply is nil if no server waits.
type registrarMessage struct {
	register     *Record
	exists       bool
	restoreEntry bool
	departure    *Record
	reply        task.Reply[error]
	removeMember *Record
}

// NewRegistrar returns a registrar of the named node. observeResult receives the
// error of each call to the store, nil for success.
func NewRegistrar(store *Store, clock clockwork.Clock, node string, observeResult func(error)) *Registrar {
	return &Registrar{store: store, clock: clock, node: node, inbox: task.NewInbox[registrarMessage](registrarInboxSize), backoff: minRetryDelay, observeResult: observeResult}
}

// Register writes the entry of this node, unless it exists in the store already,
// and keeps it for RestoreEntry.
func (r *Registrar) Register(entry Record, exists bool) {
	r.inbox.Send(registrarMessage{register: &entry, exists: exists})
}

// RestoreEntry writes the entry and the last departure again after the store has
// lost them. It never blocks.
func (r *Registrar) RestoreEntry() { r.inbox.TrySend(registrarMessage{restoreEntry: true}) }

// RemoveMember removes the entry of an unreachable member unless it has changed. It
// never blocks.
func (r *Registrar) RemoveMember(member Record) {
	r.inbox.TrySend(registrarMessage{removeMember: &member})
}

// RecordDeparture writes the departure of the server instance on this host to the
// store. startedAt is when the instance was started, in milliseconds of Unix time.
// After an error the registrar keeps trying.
func (r *Registrar) RecordDeparture(ctx context.Context, instance string, startedAt int64) error {
	reply := task.NewReply[error]()
	record := NewDeparture(r.node, instance, startedAt)
	if !r.inbox.Send(registrarMessage{departure: &record, reply: reply}) {
		return context.Canceled
	}
	err, ok := reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return errors.Join(ErrUnwritten, ctx.Err())
	}
	return err
}

// KeepDeparture writes the departure that an earlier process of this node has
// acknowledged and that the store may lack. It never blocks.
func (r *Registrar) KeepDeparture(departure Record) {
	r.inbox.TrySend(registrarMessage{departure: &departure})
}

// Run handles messages and retries failed writes until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	defer r.inbox.Close()
	handle := task.Guard(func(m registrarMessage) { r.handle(ctx, m) }, func(m registrarMessage, e *task.PanicError) {
		r.observeResult(e)
		m.reply.Abandon()
	})
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox.Messages():
			handle(m)
		case <-due:
			_ = r.writePending(ctx, callTimeout) // reported to observeResult and retried
		}
		due = nil
		if len(r.pending) > 0 {
			due = r.clock.After(r.backoff/2 + rand.N(r.backoff/2))
		}
	}
}

func (r *Registrar) handle(ctx context.Context, m registrarMessage) {
	switch {
	case m.register != nil:
		r.entry = *m.register
		if !m.exists {
			r.enqueue(r.entry)
			_ = r.writePending(ctx, callTimeout) // reported to observeResult and retried
		}
	case m.restoreEntry && r.entry.name != "":
		// Run writes the records after a random delay, since the store may have lost the
		// entries of many nodes at once.
		r.enqueue(r.entry)
		if r.lastDeparture != nil {
			r.enqueue(*r.lastDeparture)
		}
	case m.departure != nil:
		r.lastDeparture = m.departure
		r.enqueue(*m.departure)
		err := r.writePending(ctx, departureTimeout)
		if m.reply != nil {
			m.reply <- err
		}
	case m.removeMember != nil:
		r.removeMember(ctx, *m.removeMember)
	}
}

// enqueue adds a record to the pending writes. It replaces an older record of the
// same kind.
func (r *Registrar) enqueue(record Record) {
	for i, p := range r.pending {
		if p.kind == record.kind {
			r.pending[i] = record
			return
		}
	}
	r.pending = append(r.pending, record)
}

// writePending writes the pending records in order until a call fails.
func (r *Registrar) writePending(ctx context.Context, timeout time.Duration) (err error) {
	defer task.Catch(func(e *task.PanicError) {
		err = e
		r.observeResult(e)
	})
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for len(r.pending) > 0 {
		err := r.store.Put(ctx, r.pending[0])
		r.observeResult(err)
		if err != nil {
			r.backoff = min(2*r.backoff, maxWriteRetryDelay)
			return err
		}
		r.pending, r.backoff = r.pending[1:], minRetryDelay
	}
	return nil
}

// removeMember removes an entry. It does not retry: the fleet requests the removal
// again while the member stays unreachable.
func (r *Registrar) removeMember(ctx context.Context, member Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.observeResult(r.store.Remove(ctx, member))
}
