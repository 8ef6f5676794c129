package serverproxy

import (
	"context"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// message is a request to the proxy's task; exactly one field is set.
type message struct {
	reserve     *reserveMessage
	withdraw    *limiter.Key
	submit      *submitMessage
	cancel      *limiter.Key
	releaseLink *uint64
	finished    *finishedMessage
	announce    *announceMessage
	leave       *leaveMessage
	departure   *departureMessage
	snapshot    *Snapshot
	checkResult *healthResult
	verdict     *verdict
	settled     []lostRequest
	stop        *upstream.Shutdown
	admission   *rollout.Admission
	recalled    *recalledServer
	drain       bool
	runQuery    *runQuery
	pressure    *pressureReport
	dump        task.Reply[Dump]
}

type reserveMessage struct {
	key     limiter.Key
	request upstream.SlotRequest
	reply   func(upstream.Event)
}

type submitMessage struct {
	key     limiter.Key
	request *upstream.Request
}

type finishedMessage struct {
	key     limiter.Key
	result  *httpclient.Result
	conn    *httpclient.Conn
	dialled bool
}

type announceMessage struct {
	announcement Announcement
	reply        task.Reply[bool]
}

type leaveMessage struct {
	id        string
	startedAt int64
	reply     task.Reply[int64]
}

type departureMessage struct {
	id        string
	startedAt int64
}

// Dump is the proxy's part of the node's state dump.
type Dump struct {
	state           string
	dataCentre      string
	instance        string
	slots           int
	inUse           int
	queueLen        int
	idleConnections int
	slowness        float64
	rateLimit       float64
	tenants         int
}

// State returns the state of the server's chart.
func (d Dump) State() string { return d.state }

// DataCentre returns the state of the data centre's chart.
func (d Dump) DataCentre() string { return d.dataCentre }

// Instance returns the instance ID.
func (d Dump) Instance() string { return d.instance }

// Slots returns the number of slots.
func (d Dump) Slots() int { return d.slots }

// InUse returns the number of slots that are reserved or occupied.
func (d Dump) InUse() int { return d.inUse }

// QueueLen returns the number of queued requests.
func (d Dump) QueueLen() int { return d.queueLen }

// IdleConnections returns the number of idle connections.
func (d Dump) IdleConnections() int { return d.idleConnections }

// Slowness returns the server's current latency as a multiple of its normal
// latency.
func (d Dump) Slowness() float64 { return d.slowness }

// RateLimit returns how many requests per second the server takes, or 0 if it states
// no limit.
func (d Dump) RateLimit() float64 { return d.rateLimit }

// Tenants returns how many tenants have their recent requests to the server counted.
func (d Dump) Tenants() int { return d.tenants }

func (p *Proxy) handle(ctx context.Context, m message) {
	switch {
	case m.reserve != nil:
		p.handleReserve(m.reserve)
	case m.withdraw != nil:
		p.withdraw(*m.withdraw)
	case m.submit != nil:
		p.handleSubmit(ctx, m.submit)
	case m.cancel != nil:
		p.cancel(*m.cancel)
	case m.releaseLink != nil:
		p.handleReleaseLink(*m.releaseLink)
	case m.finished != nil:
		p.handleFinished(ctx, m.finished)
	case m.announce != nil:
		m.announce.reply <- p.handleAnnounce(m.announce.announcement)
	case m.leave != nil:
		m.leave.reply <- p.handleLeave(m.leave.id, m.leave.startedAt)
	case m.departure != nil:
		p.handleDeparture(m.departure)
	case m.snapshot != nil:
		p.handleSnapshot(*m.snapshot)
	case m.checkResult != nil:
		p.handleHealthResult(m.checkResult)
	case m.verdict != nil:
		p.handleVerdict(ctx, m.verdict)
	case m.settled != nil:
		settle(m.settled)
	case m.admission != nil:
		p.setAdmission(*m.admission)
	case m.recalled != nil:
		p.recalled = m.recalled
	case m.stop != nil:
		p.handleStop(*m.stop)
	case m.runQuery != nil:
		p.handleRunQuery(m.runQuery)
	case m.pressure != nil:
		p.handlePressure(m.pressure)
	case m.drain:
		p.fireIfAccepted(eventDrain)
	case m.dump != nil:
		m.dump <- p.dump()
	}
}

// endAfterPanic ends the wait for the reply to a message whose handling failed.
func (p *Proxy) endAfterPanic(m message) {
	switch {
	case m.reserve != nil:
		p.withdraw(m.reserve.key)
		m.reserve.reply(upstream.NewEvent(upstream.Refused, m.reserve.key.Number()).WithReason("unexpected error"))
	case m.submit != nil:
		p.endUnsent(m.submit.key)
	case m.finished != nil:
		p.endFinished(m.finished)
	case m.announce != nil:
		m.announce.reply.Abandon()
	case m.leave != nil:
		m.leave.reply.Abandon()
	case m.runQuery != nil:
		m.runQuery.reply.Abandon()
	}
	m.dump.Abandon()
}

func (p *Proxy) dump() Dump {
	return Dump{
		state: string(p.lifecycle.State()), dataCentre: string(p.dataCentre.State()), instance: p.instance,
		slots: p.slotLimiter.Slots(), inUse: p.slotLimiter.InUse(), queueLen: p.slotLimiter.QueueLen(), idleConnections: len(p.idleConns), slowness: p.slotLimiter.Slowness(),
		rateLimit: p.stated.perSecond, tenants: p.slotLimiter.RememberedTenants(),
	}
}

// Reserve requests a slot. The proxy's task passes each resulting event to
// reply, which must not block.
func (p *Proxy) Reserve(key limiter.Key, r upstream.SlotRequest, reply func(upstream.Event)) {
	if !p.inbox.Send(message{reserve: &reserveMessage{key: key, request: r, reply: reply}}) {
		reply(upstream.NewEvent(upstream.Refused, key.Number()).WithReason("node stopping"))
	}
}

// Withdraw cancels a queued request or releases a reserved slot.
func (p *Proxy) Withdraw(key limiter.Key) { p.inbox.Send(message{withdraw: &key}) }

// Submit forwards a request in the slot that was reserved under key. The reply
// function passed to Reserve receives the outcome.
func (p *Proxy) Submit(key limiter.Key, r *upstream.Request) {
	if r.IsHedge() {
		p.hooks.hedge(r)
	}
	p.inbox.Send(message{submit: &submitMessage{key: key, request: r}})
}

// Cancel cancels a request whose caller has disconnected.
func (p *Proxy) Cancel(key limiter.Key) { p.inbox.Send(message{cancel: &key}) }

// ReleaseLink cancels every request that arrived over a link that is now down.
func (p *Proxy) ReleaseLink(link uint64) { p.inbox.Send(message{releaseLink: &link}) }

// Announce applies a server's announcement. It returns false when the
// announcement is rejected, for example because an earlier instance sent it.
func (p *Proxy) Announce(ctx context.Context, a Announcement) bool {
	reply := task.NewReply[bool]()
	if !p.inbox.Send(message{announce: &announceMessage{announcement: a, reply: reply}}) {
		return false
	}
	accepted, ok := reply.Wait(ctx, p.inbox.Done())
	return ok && accepted
}

// RecordDeparture records that the instance started at startedAt is leaving.
// The instance may have reported this to an earlier process of this node.
func (p *Proxy) RecordDeparture(id string, startedAt int64) {
	p.inbox.Send(message{departure: &departureMessage{id: id, startedAt: startedAt}})
}

// Leave drains the instance because it is leaving. startedAt is its start time in Unix
// milliseconds, or 0 if the instance does not state it. Leave returns the start time up to
// which the instance counts as having left. It returns false when the task has stopped.
func (p *Proxy) Leave(ctx context.Context, id string, startedAt int64) (int64, bool) {
	reply := task.NewReply[int64]()
	if !p.inbox.Send(message{leave: &leaveMessage{id: id, startedAt: startedAt, reply: reply}}) {
		return 0, false
	}
	return reply.Wait(ctx, p.inbox.Done())
}

// SetSnapshot applies a new configuration.
func (p *Proxy) SetSnapshot(s Snapshot) { p.inbox.Send(message{snapshot: &s}) }

// InFlight returns the number of requests in flight to the server.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// StopAt announces that the process ends. Requests that may outlive it are refused from
// then on, in time for their senders to go elsewhere.
func (p *Proxy) StopAt(shutdown upstream.Shutdown) { p.inbox.Send(message{stop: &shutdown}) }

// Drain stops admitting new requests; requests in flight continue.
func (p *Proxy) Drain() { p.inbox.Send(message{drain: true}) }

// Dump returns the state of the proxy.
func (p *Proxy) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !p.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, p.inbox.Done())
	return d
}

// Endpoint returns the endpoint through which this node's own requests use the
// server. Their keys carry link 0; links to other nodes are numbered from 1.
func (p *Proxy) Endpoint(node string) *upstream.Endpoint {
	var endpoint *upstream.Endpoint
	endpoint = upstream.NewEndpoint(node,
		func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
			p.Reserve(limiter.NewKey(0, number), r, func(e upstream.Event) { events <- e.WithEndpoint(endpoint) })
		},
		func(number uint64) { p.Withdraw(limiter.NewKey(0, number)) },
		func(number uint64, r *upstream.Request) { p.Submit(limiter.NewKey(0, number), r) },
		func(number uint64) { p.Cancel(limiter.NewKey(0, number)) },
	)
	return endpoint
}
