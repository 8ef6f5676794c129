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
	proxyInboxSize   = 256 // messages
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = time.Second
	idleConnTimeout  = 60 * time.Second
	minIdleConns     = 2
)

// Proxy is the task through which all requests to one server pass. It owns the
// server's admission controller and idle connections.
type Proxy struct {
	clock         clockwork.Clock
	inbox         *task.Inbox[proxyMessage]
	controller    *admission.Controller
	pending       map[admission.ID]pendingRequest
	idleConns     []*Conn
	openConns     int
	dialing       bool
	lastID        admission.ID
	timer         clockwork.Timer
	busy          bool
	lastSweep     time.Time
	announcement  Announcement
	lastAnnounced time.Time
	announcedAt   time.Time
	refusals      map[admission.Reason]uint64
	grants        uint64
	results       map[admission.Result]uint64
}

type pendingRequest struct {
	reply task.Reply[Slot]
}

// proxyMessage is a union of which exactly one field is set.
type proxyMessage struct {
	acquire      *acquireRequest
	release      *releaseRequest
	cancel       *cancelRequest
	event        *lifecycleEvent
	announcement *Announcement
	dialled      *dialResult
	dump         task.Reply[Dump]
}

type acquireRequest struct {
	class    document.Class
	depth    int
	short    bool
	failFast bool
	deadline time.Time
	reply    task.Reply[Slot]
}

type releaseRequest struct {
	slot    admission.ID
	conn    *Conn
	result  admission.Result
	latency time.Duration
	reply   task.Reply[load.Report]
}

type cancelRequest struct {
	reply task.Reply[Slot]
}

type lifecycleEvent struct {
	event chart.Event
}

type dialResult struct {
	conn *Conn
}

// Slot is the result of Acquire: the permission to send one request, or a
// refusal.
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

// Report returns the load report of the server at the time of the decision.
func (s Slot) Report() load.Report { return s.report }

// Dump is the part of the state dump about one server.
type Dump struct {
	announcement      Announcement
	state             chart.State
	limit             int
	inFlight          int
	queued            [document.NumClasses]int
	idleConnections   int
	openConnections   int
	granted           uint64
	refused           map[admission.Reason]uint64
	invariantBreaches int
}

// Announcement returns the latest announcement.
func (d Dump) Announcement() Announcement { return d.announcement }

// State returns the state of the server's life cycle.
func (d Dump) State() chart.State { return d.state }

// Limit returns the current concurrency limit.
func (d Dump) Limit() int { return d.limit }

// InFlight returns the number of granted requests that have not finished.
func (d Dump) InFlight() int { return d.inFlight }

// Queued returns the number of queued requests by class.
func (d Dump) Queued() [document.NumClasses]int { return d.queued }

// IdleConnections returns the number of idle connections.
func (d Dump) IdleConnections() int { return d.idleConnections }

// OpenConnections returns the number of open connections, including those being
// dialled.
func (d Dump) OpenConnections() int { return d.openConnections }

// Granted returns how many requests were admitted.
func (d Dump) Granted() uint64 { return d.granted }

// Refused returns how many requests were refused, by reason.
func (d Dump) Refused() map[admission.Reason]uint64 { return d.refused }

// InvariantBreaches returns how often a check of the admission controller's
// invariants failed.
func (d Dump) InvariantBreaches() int { return d.invariantBreaches }

// NewProxy returns the proxy of a server that starts cold. Call Run to start the
// proxy.
func NewProxy(clock clockwork.Clock, serverChart *chart.Chart, announcement Announcement) (*Proxy, error) {
	controller, err := admission.New(serverChart, min(announcement.slots, announcement.connections), clock.Now())
	if err != nil {
		return nil, err
	}
	return &Proxy{
		clock: clock, inbox: task.NewInbox[proxyMessage](proxyInboxSize), controller: controller,
		pending: map[admission.ID]pendingRequest{}, announcement: announcement, lastAnnounced: clock.Now(), announcedAt: clock.Now(),
		refusals: map[admission.Reason]uint64{}, results: map[admission.Result]uint64{},
	}, nil
}

// Run handles messages until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	defer p.inbox.Close()
	defer p.closeIdle()
	p.timer = p.clock.NewTimer(idleTickInterval)
	defer p.timer.Stop()
	p.dialAhead(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.inbox.Messages():
			p.handle(ctx, m)
		case <-p.timer.Chan():
			p.tick(p.clock.Now())
		}
	}
}

// Acquire requests a slot and waits until it is granted or refused. If ctx ends
// first, Acquire cancels the request and returns a refusal.
func (p *Proxy) Acquire(ctx context.Context, class document.Class, depth int, short, failFast bool, deadline time.Time) Slot {
	request := &acquireRequest{class: class, depth: depth, short: short, failFast: failFast, deadline: deadline, reply: task.NewReply[Slot]()}
	cancelled := Slot{reason: admission.ReasonCancelled}
	if !p.inbox.Send(proxyMessage{acquire: request}) {
		return Slot{reason: admission.ReasonClosed}
	}
	slot, ok := request.reply.Wait(ctx, p.inbox.Done())
	if ok {
		return slot
	}
	if !p.inbox.Send(proxyMessage{cancel: &cancelRequest{reply: request.reply}}) {
		return cancelled
	}
	slot, ok = request.reply.Wait(context.Background(), p.inbox.Done())
	if ok && slot.granted {
		p.Release(slot, slot.conn, admission.ResultIgnored, 0)
	}
	return cancelled
}

// Release releases a granted slot and returns its connection to the proxy. A nil
// conn means that the connection was closed. Release returns the resulting load
// report of the server.
func (p *Proxy) Release(s Slot, conn *Conn, result admission.Result, latency time.Duration) load.Report {
	request := &releaseRequest{slot: s.id, conn: conn, result: result, latency: latency, reply: task.NewReply[load.Report]()}
	if !p.inbox.Send(proxyMessage{release: request}) {
		return s.report
	}
	report, ok := request.reply.Wait(context.Background(), p.inbox.Done())
	if !ok {
		return s.report
	}
	return report
}

// Dump returns the state of the proxy. It returns false if the proxy has stopped
// or ctx ends first.
func (p *Proxy) Dump(ctx context.Context) (Dump, bool) {
	reply := task.NewReply[Dump]()
	if !p.inbox.Send(proxyMessage{dump: reply}) {
		return Dump{}, false
	}
	return reply.Wait(ctx, p.inbox.Done())
}

func (p *Proxy) handle(ctx context.Context, m proxyMessage) {
	switch {
	case m.acquire != nil:
		p.acquire(*m.acquire)
	case m.release != nil:
		p.release(ctx, *m.release)
	case m.cancel != nil:
		p.cancel(*m.cancel)
	case m.event != nil:
		p.handleEvent(m.event.event)
	case m.announcement != nil:
		p.handleAnnouncement(*m.announcement)
	case m.dialled != nil:
		p.handleDialled(ctx, m.dialled.conn)
	case m.dump != nil:
		m.dump <- p.dumpState()
	}
}

func (p *Proxy) acquire(r acquireRequest) {
	p.lastID++
	id := p.lastID
	request := admission.NewRequest(id, r.class, r.depth, r.deadline).WithShort(r.short).WithFailFast(r.failFast)
	d := p.controller.Submit(p.clock.Now(), request)
	p.pending[id] = pendingRequest{reply: r.reply}
	p.speedUpTicks()
	if d.Status() != admission.Queued {
		p.resolve(d)
	}
}

// resolve sends the final decision on a request to the waiting Acquire. A
// granted request gets an idle connection, if there is one.
func (p *Proxy) resolve(d admission.Decision) {
	pending, ok := p.pending[d.ID()]
	if !ok {
		return
	}
	delete(p.pending, d.ID())
	slot := Slot{id: d.ID(), granted: d.Status() == admission.Granted, reason: d.Reason(), report: p.controller.Report()}
	if slot.granted {
		p.grants++
		slot.conn = p.takeIdle()
		if slot.conn == nil {
			p.openConns++
		}
	} else {
		p.refusals[d.Reason()]++
	}
	pending.reply <- slot
}

func (p *Proxy) resolveAll(decisions []admission.Decision) {
	for _, d := range decisions {
		p.resolve(d)
	}
}

// takeIdle returns the most recently used idle connection that is still usable,
// or nil. It closes unusable connections.
func (p *Proxy) takeIdle() *Conn {
	for len(p.idleConns) > 0 {
		c := p.idleConns[len(p.idleConns)-1]
		p.idleConns = p.idleConns[:len(p.idleConns)-1]
		if c.usable() {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

func (p *Proxy) closeConn(c *Conn) {
	c.Close()
	p.openConns--
}

func (p *Proxy) release(ctx context.Context, r releaseRequest) {
	p.results[r.result]++
	if r.conn == nil {
		p.openConns--
	} else {
		r.conn.idleSince = p.clock.Now()
		p.idleConns = append(p.idleConns, r.conn)
	}
	p.resolveAll(p.controller.Finish(p.clock.Now(), r.slot, r.result, r.latency))
	r.reply <- p.controller.Report()
	p.dialAhead(ctx)
}

// cancel refuses a queued request that Acquire no longer waits for. If the
// request was already decided, the decision stays in the reply channel.
func (p *Proxy) cancel(r cancelRequest) {
	for id, pending := range p.pending {
		if pending.reply == r.reply {
			p.controller.Cancel(id)
			delete(p.pending, id)
			r.reply <- Slot{reason: admission.ReasonCancelled}
			return
		}
	}
}

func (p *Proxy) handleEvent(e chart.Event) {
	decisions, err := p.controller.HandleEvent(p.clock.Now(), e)
	if err != nil {
		return
	}
	p.resolveAll(decisions)
}

func (p *Proxy) handleAnnouncement(a Announcement) {
	p.lastAnnounced = p.clock.Now()
	if a.instance != p.announcement.instance {
		p.closeIdle()
		p.announcedAt = p.clock.Now()
	}
	p.announcement = a
}

func (p *Proxy) handleDialled(ctx context.Context, c *Conn) {
	p.dialing = false
	if c == nil {
		p.openConns--
		return
	}
	c.idleSince = p.clock.Now()
	p.idleConns = append(p.idleConns, c)
	p.dialAhead(ctx)
}

// dialAhead opens a connection in advance if fewer than minIdleConns are idle
// and the connection limit permits it, so that requests rarely wait for a new
// connection.
func (p *Proxy) dialAhead(ctx context.Context) {
	if p.dialing || !p.controller.Admits() || len(p.idleConns) >= minIdleConns || p.openConns >= min(p.announcement.connections, p.controller.Limit()+minIdleConns) {
		return
	}
	p.dialing = true
	p.openConns++
	address := p.announcement.address
	go func() {
		c, err := Dial(ctx, address)
		if err != nil {
			c = nil
		}
		if !p.inbox.Send(proxyMessage{dialled: &dialResult{conn: c}}) && c != nil {
			c.Close()
		}
	}()
}

func (p *Proxy) tick(now time.Time) {
	p.resolveAll(p.controller.Tick(now))
	if now.Sub(p.lastSweep) >= idleTickInterval {
		p.lastSweep = now
		p.closeExpired(now)
	}
	p.busy = p.controller.InFlight()+p.controller.QueueLen() > 0
	if p.busy {
		p.timer.Reset(busyTickInterval)
		return
	}
	p.timer.Reset(idleTickInterval)
}

// speedUpTicks switches to the short tick interval, which tick keeps while
// requests are in flight or queued.
func (p *Proxy) speedUpTicks() {
	if !p.busy {
		p.busy = true
		p.timer.Reset(busyTickInterval)
	}
}

// closeExpired closes connections that were idle for longer than
// idleConnTimeout, but keeps minIdleConns of them.
func (p *Proxy) closeExpired(now time.Time) {
	kept := p.idleConns[:0]
	for _, c := range p.idleConns {
		if now.Sub(c.idleSince) > idleConnTimeout && len(kept) >= minIdleConns {
			p.closeConn(c)
			continue
		}
		kept = append(kept, c)
	}
	p.idleConns = kept
}

func (p *Proxy) closeIdle() {
	for _, c := range p.idleConns {
		p.closeConn(c)
	}
	p.idleConns = nil
}

func (p *Proxy) dumpState() Dump {
	d := Dump{
		announcement: p.announcement, state: p.controller.State(), limit: p.controller.Limit(), inFlight: p.controller.InFlight(),
		idleConnections: len(p.idleConns), openConnections: p.openConns, granted: p.grants, invariantBreaches: p.controller.InvariantBreaches(),
		refused: map[admission.Reason]uint64{},
	}
	for c := range d.queued {
		d.queued[c] = p.controller.ClassQueueLen(document.Class(c))
	}
	for reason, n := range p.refusals {
		d.refused[reason] = n
	}
	return d
}
