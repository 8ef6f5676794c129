package once

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/task"
)

const ledgerInbox = 256

// Ledger is the task that owns the memory of this node and the history of the
// services whose keys it may be the home of.
type Ledger struct {
	clock     clockwork.Clock
	inbox     *task.Inbox[ledgerMessage]
	memory    *Memory
	started   time.Time
	histories map[string]*History
	waiting   map[Key][]task.Reply[Verdict]
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
	reply   task.Reply[Verdict]
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

// Present returns the present home.
func (h Homes) Present() balance.Target { return h.present }

// Earlier returns the other homes that the key may have had.
func (h Homes) Earlier() []balance.Target { return h.earlier }

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

// NewLedger returns a ledger that is not running yet.
func NewLedger(clock clockwork.Clock, bounds Bounds) *Ledger {
	now := clock.Now()
	return &Ledger{
		clock: clock, inbox: task.NewInbox[ledgerMessage](ledgerInbox), memory: NewMemory(bounds, now),
		started: now, histories: map[string]*History{}, waiting: map[Key][]task.Reply[Verdict]{},
	}
}

// Run serves messages until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.inbox.Run(ctx, l.handle) }

// Update notes the open targets of every service.
func (l *Ledger) Update(services map[string][]balance.Target) {
	l.inbox.Send(ledgerMessage{targets: &targetsUpdate{services: services}})
}

// Homes returns who is and was the home of a key.
func (l *Ledger) Homes(ctx context.Context, key Key, created time.Time) Homes {
	r := &homesRequest{key: key, created: created, reply: task.NewReply[Homes]()}
	if !l.inbox.Send(ledgerMessage{homes: r}) {
		return Homes{}
	}
	h, _ := r.reply.Wait(ctx, l.inbox.Done())
	return h
}

// Begin decides on an arrival of a key at its home, waiting for a run that is
// under way. When ctx ends first the verdict is Uncertain.
func (l *Ledger) Begin(ctx context.Context, key Key, created time.Time) Verdict {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Verdict]()}
	v, answered := l.ask(ctx, ledgerMessage{begin: r}, r.reply)
	if !answered {
		go l.giveUp(key, r.reply)
	}
	return v
}

// giveUp takes back the right to run that was given to a caller that had left.
func (l *Ledger) giveUp(key Key, reply task.Reply[Verdict]) {
	if v, ok := reply.Wait(context.Background(), l.inbox.Done()); ok && v.kind == Run {
		l.Withdraw(key)
	}
}

// Inquire answers another node that became the home of a key.
func (l *Ledger) Inquire(ctx context.Context, key Key, created time.Time) Verdict {
	r := &keyRequest{key: key, created: created, reply: task.NewReply[Verdict]()}
	v, _ := l.ask(ctx, ledgerMessage{inquire: r}, r.reply)
	return v
}

// ask reports false when ctx ended before the answer.
func (l *Ledger) ask(ctx context.Context, m ledgerMessage, reply task.Reply[Verdict]) (Verdict, bool) {
	if !l.inbox.Send(m) {
		return Verdict{kind: Reject, reason: "the node is stopping"}, true
	}
	v, ok := reply.Wait(ctx, l.inbox.Done())
	if !ok {
		return Verdict{kind: Uncertain, reason: "the first run of the key has not ended"}, false
	}
	return v, true
}

// Finish records the whole answer of a run.
func (l *Ledger) Finish(key Key, r Record) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key, record: &r}})
}

// Lose records that the outcome of a run is unknown.
func (l *Ledger) Lose(key Key) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key}})
}

// Withdraw forgets a run of which no byte was written.
func (l *Ledger) Withdraw(key Key) {
	l.inbox.Send(ledgerMessage{finish: &finishRequest{key: key, notRun: true}})
}

// Dump returns the state of the ledger.
func (l *Ledger) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !l.inbox.Send(ledgerMessage{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, l.inbox.Done())
	return d
}

func (l *Ledger) handle(m ledgerMessage) {
	now := l.clock.Now()
	switch {
	case m.begin != nil:
		l.decide(m.begin, l.memory.Begin(now, m.begin.key, m.begin.created))
	case m.inquire != nil:
		l.decide(m.inquire, l.memory.Inquire(now, m.inquire.key, m.inquire.created))
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

func (l *Ledger) decide(r *keyRequest, v Verdict) {
	if v.kind == Wait {
		l.waiting[r.key] = append(l.waiting[r.key], r.reply)
		return
	}
	r.reply <- v
}

func (l *Ledger) homes(now time.Time, key Key, created time.Time) Homes {
	h, ok := l.histories[key.service]
	if !ok {
		return Homes{}
	}
	present, earlier, known := h.Homes(now, key, created)
	return Homes{present: present, earlier: earlier, known: known}
}

// finish ends a run and answers the repeats that wait for it. After a run that
// was withdrawn the first of them runs.
func (l *Ledger) finish(now time.Time, f finishRequest) {
	switch {
	case f.record != nil:
		l.memory.Finish(f.key, *f.record)
	case f.notRun:
		l.memory.Withdraw(f.key)
	default:
		l.memory.Lose(f.key)
	}
	waiting := l.waiting[f.key]
	delete(l.waiting, f.key)
	for _, reply := range waiting {
		if f.notRun {
			reply <- Verdict{kind: Reject, reason: "the first arrival was not run"}
			continue
		}
		v, _ := l.memory.known(f.key)
		reply <- v
	}
}

func (l *Ledger) update(now time.Time, services map[string][]balance.Target) {
	for service, targets := range services {
		h, ok := l.histories[service]
		if !ok {
			h = NewHistory(l.started)
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
