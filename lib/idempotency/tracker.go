package idempotency

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/task"
)

const inboxSize = 256 // messages

// Tracker is the task that owns the node's Table and the target history of each
// service.
type Tracker struct {
	clock     clockwork.Clock
	inbox     *task.Inbox[message]
	table     *Table
	started   time.Time
	histories map[string]*TargetHistory
	waiting   map[Key][]task.Reply[Decision]
}

// message is a union of which exactly one field is set.
type message struct {
	begin   *keyRequest
	fence   *keyRequest
	homes   *homesRequest
	end     *runEnd
	targets *targetsUpdate
	dump    task.Reply[Dump]
}

type keyRequest struct {
	key     Key
	created time.Time
	reply   task.Reply[Decision]
}

type homesRequest struct {
	key     Key
	created time.Time
	reply   task.Reply[Homes]
}

type runEnd struct {
	key    Key
	record *Record
	notRun bool
}

type targetsUpdate struct {
	services map[string][]balance.Target
}

// Homes lists the current and previous homes of a key.
type Homes struct {
	current  balance.Target
	previous []balance.Target
	known    bool
}

// Current returns the current home.
func (h Homes) Current() balance.Target { return h.current }

// Previous returns the other targets that may have been the home of the key.
func (h Homes) Previous() []balance.Target { return h.previous }

// Known reports whether the homes could be determined.
func (h Homes) Known() bool { return h.known }

// Dump is the tracker's part of the state dump.
type Dump struct {
	keys  int
	bytes int
}

// Keys returns the number of remembered keys.
func (d Dump) Keys() int { return d.keys }

// Bytes returns the total size of the recorded bodies in bytes.
func (d Dump) Bytes() int { return d.bytes }

// NewTracker returns a tracker. Call Run to start it.
func NewTracker(clock clockwork.Clock, limits Limits) *Tracker {
	now := clock.Now()
	return &Tracker{
		clock: clock, inbox: task.NewInbox[message](inboxSize), table: NewTable(limits, now),
		started: now, histories: map[string]*TargetHistory{}, waiting: map[Key][]task.Reply[Decision]{},
	}
}

// Run handles messages until ctx ends.
func (t *Tracker) Run(ctx context.Context) { t.inbox.Run(ctx, t.handle) }

// SetTargets replaces the targets in service, by service name.
func (t *Tracker) SetTargets(services map[string][]balance.Target) {
	t.inbox.Send(message{targets: &targetsUpdate{services: services}})
}

// Homes returns the current and previous homes of a key.
func (t *Tracker) Homes(ctx context.Context, key Key, created time.Time) Homes {
	r := &homesRequest{key: key, created: created, reply: task.NewReply[Homes]()}
	if !t.inbox.Send(message{homes: r}) {
		return Homes{}
	}
	h, _ := r.reply.Wait(ctx, t.inbox.Done())
	return h
}

// Begin decides how to handle a request that arrived at the home of its key. It
// waits for a run in progress. If ctx ends first, the kind of the decision is
// Unknown.
func (t *Tracker) Begin(ctx context.Context, key Key, created time.Time) Decision {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Decision]()}
	d, answered := t.ask(ctx, message{begin: r}, r.reply)
	if !answered {
		go t.discardAbandonedRun(key, r.reply)
	}
	return d
}

// discardAbandonedRun discards the run if the decision Run arrives after its
// caller disconnected. Otherwise the key would count as running forever.
func (t *Tracker) discardAbandonedRun(key Key, reply task.Reply[Decision]) {
	if d, ok := reply.Wait(context.Background(), t.inbox.Done()); ok && d.kind == Run {
		t.Discard(key)
	}
}

// Fence handles a query from the node that is the new home of a key. It waits
// for a run in progress.
func (t *Tracker) Fence(ctx context.Context, key Key, created time.Time) Decision {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Decision]()}
	d, _ := t.ask(ctx, message{fence: r}, r.reply)
	return d
}

// ask sends a message and waits for the decision. It returns false if ctx ended
// before the decision arrived.
func (t *Tracker) ask(ctx context.Context, m message, reply task.Reply[Decision]) (Decision, bool) {
	if !t.inbox.Send(m) {
		return Decision{kind: Reject, reason: "the node is stopping"}, true
	}
	d, ok := reply.Wait(ctx, t.inbox.Done())
	if !ok {
		return Decision{kind: Unknown, reason: "the first run of the key has not ended"}, false
	}
	return d, true
}

// Complete records the response of a finished run.
func (t *Tracker) Complete(key Key, r Record) {
	t.inbox.Send(message{end: &runEnd{key: key, record: &r}})
}

// MarkUnknown records that the outcome of a run is unknown.
func (t *Tracker) MarkUnknown(key Key) {
	t.inbox.Send(message{end: &runEnd{key: key}})
}

// Discard removes a run of which no byte was written to the server.
func (t *Tracker) Discard(key Key) {
	t.inbox.Send(message{end: &runEnd{key: key, notRun: true}})
}

// Dump returns the state of the tracker.
func (t *Tracker) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !t.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, t.inbox.Done())
	return d
}

func (t *Tracker) handle(m message) {
	now := t.clock.Now()
	switch {
	case m.begin != nil:
		t.reply(m.begin, t.table.Begin(now, m.begin.key, m.begin.created))
	case m.fence != nil:
		t.reply(m.fence, t.table.Fence(now, m.fence.key, m.fence.created))
	case m.homes != nil:
		m.homes.reply <- t.homes(now, m.homes.key, m.homes.created)
	case m.end != nil:
		t.endRun(now, *m.end)
	case m.targets != nil:
		t.recordTargets(now, m.targets.services)
	case m.dump != nil:
		m.dump <- Dump{keys: t.table.Len(), bytes: t.table.Bytes()}
	}
}

// reply sends the decision, or keeps the request until the run in progress
// ends.
func (t *Tracker) reply(r *keyRequest, d Decision) {
	if d.kind == Wait {
		t.waiting[r.key] = append(t.waiting[r.key], r.reply)
		return
	}
	r.reply <- d
}

func (t *Tracker) homes(now time.Time, key Key, created time.Time) Homes {
	h, ok := t.histories[key.service]
	if !ok {
		return Homes{}
	}
	current, previous, known := h.Homes(now, key, created)
	return Homes{current: current, previous: previous, known: known}
}

// endRun ends a run and sends the resulting decision to the repeated requests
// that wait for it. If the first request was not run, they are rejected.
func (t *Tracker) endRun(now time.Time, e runEnd) {
	switch {
	case e.record != nil:
		t.table.Complete(e.key, *e.record)
	case e.notRun:
		t.table.Discard(e.key)
	default:
		t.table.MarkUnknown(e.key)
	}
	waiting := t.waiting[e.key]
	delete(t.waiting, e.key)
	for _, reply := range waiting {
		if e.notRun {
			reply <- Decision{kind: Reject, reason: "the first arrival was not run"}
			continue
		}
		d, _ := t.table.lookup(e.key)
		reply <- d
	}
}

func (t *Tracker) recordTargets(now time.Time, services map[string][]balance.Target) {
	for service, targets := range services {
		h, ok := t.histories[service]
		if !ok {
			h = NewTargetHistory(t.started)
			t.histories[service] = h
		}
		h.Record(now, targets)
	}
	for service, h := range t.histories {
		if _, ok := services[service]; !ok {
			h.Record(now, nil)
		}
	}
}
