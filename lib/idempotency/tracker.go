package idempotency

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/task"
)

const ledgerInbox = 256

// Tracker is the task that owns the memory of this node and the history of the
// services whose keys it may be the home of.
type Tracker struct {
	clock     clockwork.Clock
	inbox     *task.Inbox[ledgerMessage]
	memory    *Table
	started   time.Time
	histories map[string]*TargetHistory
	waiting   map[Key][]task.Reply[Decision]
}

// ledgerMessage is a closed union; exactly one part is set.
type ledgerMessage struct {
	begin   *keyRequest
	inquire *keyRequest
	homes   *homesRequest
	finish  *finishRequest
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

type finishRequest struct {
	key    Key
	record *Record
	notRun bool
}

type targetsUpdate struct {
	services map[string][]balance.Target
}

// Homes says who is and was the home of a key.
type Homes struct {
	present balance.Target
	earlier []balance.Target
	known   bool
}

// Current returns the present home.
func (h Homes) Current() balance.Target { return h.present }

// Previous returns the other homes that the key may have had.
func (h Homes) Previous() []balance.Target { return h.earlier }

// Known reports whether the homes could be determined.
func (h Homes) Known() bool { return h.known }

// Dump is the state of the ledger for the state dump.
type Dump struct {
	keys  int
	bytes int
}

// Keys returns how many keys are remembered.
func (d Dump) Keys() int { return d.keys }

// Bytes returns the size of the recorded answers.
func (d Dump) Bytes() int { return d.bytes }

// NewTracker returns a ledger that is not running yet.
func NewTracker(clock clockwork.Clock, bounds Limits) *Tracker {
	now := clock.Now()
	return &Tracker{
		clock: clock, inbox: task.NewInbox[ledgerMessage](ledgerInbox), memory: NewTable(bounds, now),
		started: now, histories: map[string]*TargetHistory{}, waiting: map[Key][]task.Reply[Decision]{},
	}
}

// Run serves messages until ctx ends.
func (l *Tracker) Run(ctx context.Context) { l.inbox.Run(ctx, l.handle) }

// SetTargets notes the open targets of every service.
func (l *Tracker) SetTargets(services map[string][]balance.Target) {
	l.inbox.Send(ledgerMessage{targets: &targetsUpdate{services: services}})
}

// Homes returns who is and was the home of a key.
func (l *Tracker) Homes(ctx context.Context, key Key, created time.Time) Homes {
	r := &homesRequest{key: key, created: created, reply: task.NewReply[Homes]()}
	if !l.inbox.Send(ledgerMessage{homes: r}) {
		return Homes{}
	}
	h, _ := r.reply.Wait(ctx, l.inbox.Done())
	return h
}

// Begin decides on an arrival of a key at its home, waiting for a run that is
// under way. When ctx ends first the verdict is Uncertain.
func (l *Tracker) Begin(ctx context.Context, key Key, created time.Time) Decision {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Decision]()}
	v, answered := l.ask(ctx, ledgerMessage{begin: r}, r.reply)
	if !answered {
		go l.giveUp(key, r.reply)
	}
	return v
}

// giveUp takes back the right to run that was given to a caller that had left.
func (l *Tracker) giveUp(key Key, reply task.Reply[Decision]) {
	if v, ok := reply.Wait(context.Background(), l.inbox.Done()); ok && v.kind == Run {
		l.Discard(key)
	}
}

// Fence answers another node that became the home of a key.
func (l *Tracker) Fence(ctx context.Context, key Key, created time.Time) Decision {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Decision]()}
	v, _ := l.ask(ctx, ledgerMessage{inquire: r}, r.reply)
	return v
}

// ask reports false when ctx ended before the answer.
func (l *Tracker) ask(ctx context.Context, m ledgerMessage, reply task.Reply[Decision]) (Decision, bool) {
	if !l.inbox.Send(m) {
		return Decision{kind: Reject, reason: "the node is stopping"}, true
	}
	v, ok := reply.Wait(ctx, l.inbox.Done())
	if !ok {
		return Decision{kind: Unknown, reason: "the first run of the key has not ended"}, false
	}
	return v, true
}

// Complete records the whole answer of a run.
func (l *Tracker) Complete(key Key, r Record) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key, record: &r}})
}

// MarkUnknown records that the outcome of a run is unknown.
func (l *Tracker) MarkUnknown(key Key) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key}})
}

// Discard forgets a run of which no byte was written.
func (l *Tracker) Discard(key Key) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key, notRun: true}})
}

// Dump returns the state of the ledger.
func (l *Tracker) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !l.inbox.Send(ledgerMessage{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, l.inbox.Done())
	return d
}

func (l *Tracker) handle(m ledgerMessage) {
	now := l.clock.Now()
	switch {
	case m.begin != nil:
		l.decide(m.begin, l.memory.Begin(now, m.begin.key, m.begin.created))
	case m.inquire != nil:
		l.decide(m.inquire, l.memory.Fence(now, m.inquire.key, m.inquire.created))
	case m.homes != nil:
		m.homes.reply <- l.homes(now, m.homes.key, m.homes.created)
	case m.finish != nil:
		l.finish(now, *m.finish)
	case m.targets != nil:
		l.update(now, m.targets.services)
	case m.dump != nil:
		m.dump <- Dump{keys: l.memory.Len(), bytes: l.memory.Bytes()}
	}
}

func (l *Tracker) decide(r *keyRequest, v Decision) {
	if v.kind == Wait {
		l.waiting[r.key] = append(l.waiting[r.key], r.reply)
		return
	}
	r.reply <- v
}

func (l *Tracker) homes(now time.Time, key Key, created time.Time) Homes {
	h, ok := l.histories[key.service]
	if !ok {
		return Homes{}
	}
	present, earlier, known := h.Homes(now, key, created)
	return Homes{present: present, earlier: earlier, known: known}
}

// finish ends a run and answers the repeats that wait for it. After a run that
// was withdrawn the first of them runs.
func (l *Tracker) finish(now time.Time, f finishRequest) {
	switch {
	case f.record != nil:
		l.memory.Complete(f.key, *f.record)
	case f.notRun:
		l.memory.Discard(f.key)
	default:
		l.memory.MarkUnknown(f.key)
	}
	waiting := l.waiting[f.key]
	delete(l.waiting, f.key)
	for _, reply := range waiting {
		if f.notRun {
			reply <- Decision{kind: Reject, reason: "the first arrival was not run"}
			continue
		}
		v, _ := l.memory.known(f.key)
		reply <- v
	}
}

func (l *Tracker) update(now time.Time, services map[string][]balance.Target) {
	for service, targets := range services {
		h, ok := l.histories[service]
		if !ok {
			h = NewTargetHistory(l.started)
			l.histories[service] = h
		}
		h.Record(now, targets)
	}
	for service, h := range l.histories {
		if _, ok := services[service]; !ok {
			h.Record(now, nil)
		}
	}
}
