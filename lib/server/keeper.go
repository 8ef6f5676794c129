package server

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
	"savorygap.example/lib/task"
)

const (
	keeperInbox  = 256
	busyInterval = 10 * time.Millisecond
	idleInterval = time.Second
	idleTimeout  = 60 * time.Second
	warmTarget   = 2 // idle connections kept ready
)

// Keeper is the task beside one server. It owns the gate and the idle
// connections.
type Keeper struct {
	clock    clockwork.Clock
	inbox    *task.Inbox[keeperMessage]
	gate     *admission.Controller
	waiting  map[admission.ID]waitingCall
	idle     []*Conn
	open     int
	dialing  bool
	next     admission.ID
	timer    clockwork.Timer
	busy     bool
	swept    time.Time
	current  Announcement
	seen     time.Time
	since    time.Time
	refused  map[admission.Reason]uint64
	granted  uint64
	finished map[admission.Result]uint64
}

type waitingCall struct {
	reply task.Reply[Slot]
}

// keeperMessage is a closed union; exactly one part is set.
type keeperMessage struct {
	acquire  *acquire
	release  *release
	withdraw *withdraw
	signal   *signal
	announce *Announcement
	warmed   *warmed
	dump     task.Reply[Dump]
}

type acquire struct {
	class     document.Class
	depth     int
	short     bool
	impatient bool
	deadline  time.Time
	reply     task.Reply[Slot]
}

type release struct {
	slot    admission.ID
	conn    *Conn
	result  admission.Result
	latency time.Duration
	reply   task.Reply[load.Report]
}

type withdraw struct {
	reply task.Reply[Slot]
}

type signal struct {
	event chart.Event
}

type warmed struct {
	conn *Conn
}

// Slot is the answer to a request for a slot.
type Slot struct {
	id      admission.ID
	granted bool
	reason  admission.Reason
	conn    *Conn
	report  load.Report
}

// Granted reports whether the request may be sent.
func (s Slot) Granted() bool { return s.granted }

// Reason returns why the slot was refused.
func (s Slot) Reason() admission.Reason { return s.reason }

// Report returns the report on the server at the time of the answer.
func (s Slot) Report() load.Report { return s.report }

// Dump is the state of a keeper for the state dump.
type Dump struct {
	announcement Announcement
	state        chart.State
	limit        int
	inFlight     int
	queued       [document.NumClasses]int
	idle         int
	open         int
	granted      uint64
	refused      map[admission.Reason]uint64
	breaches     int
}

// Announcement returns the latest announcement.
func (d Dump) Announcement() Announcement { return d.announcement }

// State returns the state of the server's life cycle.
func (d Dump) State() chart.State { return d.state }

// Limit returns the present limit.
func (d Dump) Limit() int { return d.limit }

// InFlight returns the number of requests that the server holds.
func (d Dump) InFlight() int { return d.inFlight }

// Queued returns the waiting requests by class.
func (d Dump) Queued() [document.NumClasses]int { return d.queued }

// Idle returns the number of idle connections.
func (d Dump) Idle() int { return d.idle }

// Open returns the number of open connections.
func (d Dump) Open() int { return d.open }

// Granted returns how many requests were admitted.
func (d Dump) Granted() uint64 { return d.granted }

// Refused returns how many requests were refused, by reason.
func (d Dump) Refused() map[admission.Reason]uint64 { return d.refused }

// Breaches returns how often an invariant did not hold.
func (d Dump) Breaches() int { return d.breaches }

// NewKeeper returns the keeper of a server that starts cold. It is not running
// yet.
func NewKeeper(clock clockwork.Clock, serverChart *chart.Chart, a Announcement) (*Keeper, error) {
	gate, err := admission.New(serverChart, min(a.slots, a.connections), clock.Now())
	if err != nil {
		return nil, err
	}
	return &Keeper{
		clock: clock, inbox: task.NewInbox[keeperMessage](keeperInbox), gate: gate,
		waiting: map[admission.ID]waitingCall{}, current: a, seen: clock.Now(), since: clock.Now(),
		refused: map[admission.Reason]uint64{}, finished: map[admission.Result]uint64{},
	}, nil
}

// Run serves messages until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.inbox.Close()
	defer k.closeIdle()
	k.timer = k.clock.NewTimer(idleInterval)
	defer k.timer.Stop()
	k.warm(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.inbox.Messages():
			k.handle(ctx, m)
		case <-k.timer.Chan():
			k.tick(k.clock.Now())
		}
	}
}

// Acquire asks for a slot and waits until it is granted or refused. When ctx
// ends first, the request is withdrawn and a refusal returned.
func (k *Keeper) Acquire(ctx context.Context, class document.Class, depth int, short, impatient bool, deadline time.Time) Slot {
	a := &acquire{class: class, depth: depth, short: short, impatient: impatient, deadline: deadline, reply: task.NewReply[Slot]()}
	refused := Slot{reason: admission.ReasonCancelled}
	if !k.inbox.Send(keeperMessage{acquire: a}) {
		return Slot{reason: admission.ReasonClosed}
	}
	slot, ok := a.reply.Wait(ctx, k.inbox.Done())
	if ok {
		return slot
	}
	if !k.inbox.Send(keeperMessage{withdraw: &withdraw{reply: a.reply}}) {
		return refused
	}
	slot, ok = a.reply.Wait(context.Background(), k.inbox.Done())
	if ok && slot.granted {
		k.Release(slot, slot.conn, admission.ResultIgnored, 0)
	}
	return refused
}

// Release ends a granted slot and hands the connection back; a nil connection
// was closed. It returns the report on the server afterwards.
func (k *Keeper) Release(s Slot, conn *Conn, result admission.Result, latency time.Duration) load.Report {
	r := &release{slot: s.id, conn: conn, result: result, latency: latency, reply: task.NewReply[load.Report]()}
	if !k.inbox.Send(keeperMessage{release: r}) {
		return s.report
	}
	report, ok := r.reply.Wait(context.Background(), k.inbox.Done())
	if !ok {
		return s.report
	}
	return report
}

// Dump returns the state of the keeper.
func (k *Keeper) Dump(ctx context.Context) (Dump, bool) {
	reply := task.NewReply[Dump]()
	if !k.inbox.Send(keeperMessage{dump: reply}) {
		return Dump{}, false
	}
	return reply.Wait(ctx, k.inbox.Done())
}

func (k *Keeper) handle(ctx context.Context, m keeperMessage) {
	switch {
	case m.acquire != nil:
		k.acquire(*m.acquire)
	case m.release != nil:
		k.release(ctx, *m.release)
	case m.withdraw != nil:
		k.withdraw(*m.withdraw)
	case m.signal != nil:
		k.signal(m.signal.event)
	case m.announce != nil:
		k.announced(*m.announce)
	case m.warmed != nil:
		k.warmed(ctx, m.warmed.conn)
	case m.dump != nil:
		m.dump <- k.snapshot()
	}
}

func (k *Keeper) acquire(a acquire) {
	k.next++
	id := k.next
	ticket := admission.NewRequest(id, a.class, a.depth, a.deadline).WithShort(a.short).WithFailFast(a.impatient)
	d := k.gate.Submit(k.clock.Now(), ticket)
	k.waiting[id] = waitingCall{reply: a.reply}
	k.hurry()
	if d.Status() != admission.Queued {
		k.answer(d)
	}
}

func (k *Keeper) answer(d admission.Decision) {
	w, ok := k.waiting[d.ID()]
	if !ok {
		return
	}
	delete(k.waiting, d.ID())
	slot := Slot{id: d.ID(), granted: d.Status() == admission.Granted, reason: d.Reason(), report: k.gate.Report()}
	if slot.granted {
		k.granted++
		slot.conn = k.takeIdle()
		if slot.conn == nil {
			k.open++
		}
	} else {
		k.refused[d.Reason()]++
	}
	w.reply <- slot
}

func (k *Keeper) answerAll(decisions []admission.Decision) {
	for _, d := range decisions {
		k.answer(d)
	}
}

// takeIdle returns the most recently used connection that is still alive.
func (k *Keeper) takeIdle() *Conn {
	for len(k.idle) > 0 {
		c := k.idle[len(k.idle)-1]
		k.idle = k.idle[:len(k.idle)-1]
		if c.alive() {
			return c
		}
		k.drop(c)
	}
	return nil
}

func (k *Keeper) drop(c *Conn) {
	c.Close()
	k.open--
}

func (k *Keeper) release(ctx context.Context, r release) {
	k.finished[r.result]++
	if r.conn == nil {
		k.open--
	} else {
		r.conn.idleAt = k.clock.Now()
		k.idle = append(k.idle, r.conn)
	}
	k.answerAll(k.gate.Finish(k.clock.Now(), r.slot, r.result, r.latency))
	r.reply <- k.gate.Report()
	k.warm(ctx)
}

// withdraw refuses a queued call whose caller left. A call that was answered
// already keeps its answer in the reply.
func (k *Keeper) withdraw(w withdraw) {
	for id, waiting := range k.waiting {
		if waiting.reply == w.reply {
			k.gate.Cancel(id)
			delete(k.waiting, id)
			w.reply <- Slot{reason: admission.ReasonCancelled}
			return
		}
	}
}

func (k *Keeper) signal(e chart.Event) {
	decisions, err := k.gate.HandleEvent(k.clock.Now(), e)
	if err != nil {
		return
	}
	k.answerAll(decisions)
}

func (k *Keeper) announced(a Announcement) {
	k.seen = k.clock.Now()
	if a.instance != k.current.instance {
		k.closeIdle()
		k.since = k.clock.Now()
	}
	k.current = a
}

func (k *Keeper) warmed(ctx context.Context, c *Conn) {
	k.dialing = false
	if c == nil {
		k.open--
		return
	}
	c.idleAt = k.clock.Now()
	k.idle = append(k.idle, c)
	k.warm(ctx)
}

// warm dials ahead so that a request rarely waits for a new connection.
func (k *Keeper) warm(ctx context.Context) {
	if k.dialing || !k.gate.Admits() || len(k.idle) >= warmTarget || k.open >= min(k.current.connections, k.gate.Limit()+warmTarget) {
		return
	}
	k.dialing = true
	k.open++
	address := k.current.address
	go func() {
		c, err := Dial(ctx, address)
		if err != nil {
			c = nil
		}
		if !k.inbox.Send(keeperMessage{warmed: &warmed{conn: c}}) && c != nil {
			c.Close()
		}
	}()
}

func (k *Keeper) tick(now time.Time) {
	k.answerAll(k.gate.Tick(now))
	if now.Sub(k.swept) >= idleInterval {
		k.swept = now
		k.closeStale(now)
	}
	k.busy = k.gate.InFlight()+k.gate.QueueLen() > 0
	if k.busy {
		k.timer.Reset(busyInterval)
		return
	}
	k.timer.Reset(idleInterval)
}

// hurry shortens the interval between ticks while there is work.
func (k *Keeper) hurry() {
	if !k.busy {
		k.busy = true
		k.timer.Reset(busyInterval)
	}
}

func (k *Keeper) closeStale(now time.Time) {
	kept := k.idle[:0]
	for _, c := range k.idle {
		if now.Sub(c.idleAt) > idleTimeout && len(kept) >= warmTarget {
			k.drop(c)
			continue
		}
		kept = append(kept, c)
	}
	k.idle = kept
}

func (k *Keeper) closeIdle() {
	for _, c := range k.idle {
		k.drop(c)
	}
	k.idle = nil
}

func (k *Keeper) snapshot() Dump {
	d := Dump{
		announcement: k.current, state: k.gate.State(), limit: k.gate.Limit(), inFlight: k.gate.InFlight(),
		idle: len(k.idle), open: k.open, granted: k.granted, breaches: k.gate.InvariantBreaches(),
		refused: map[admission.Reason]uint64{},
	}
	for c := range d.queued {
		d.queued[c] = k.gate.ClassQueueLen(document.Class(c))
	}
	for reason, n := range k.refused {
		d.refused[reason] = n
	}
	return d
}
