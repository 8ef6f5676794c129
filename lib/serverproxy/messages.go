package serverproxy

import (
	"context"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// message is a closed union; exactly one part is set.
type message struct {
	ask       *askMessage
	withdraw  *limiter.Key
	submit    *submitMessage
	cancel    *limiter.Key
	drop      *uint64
	ended     *endedMessage
	announce  *announceMessage
	leave     *leaveMessage
	departed  *departedMessage
	situation *Snapshot
	probed    *probeResult
	close     bool
	dump      task.Reply[Dump]
}

type askMessage struct {
	key   limiter.Key
	ask   upstream.SlotRequest
	reply func(upstream.Event)
}

type submitMessage struct {
	key     limiter.Key
	request *upstream.Request
}

type endedMessage struct {
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
	id    string
	born  int64
	reply task.Reply[bool]
}

type departedMessage struct {
	id   string
	born int64
}

// Dump is the state of a keeper for the state dump.
type Dump struct {
	state      string
	dataCentre string
	instance   string
	slots      int
	inUse      int
	inLine     int
	idle       int
	slowness   float64
}

// State returns the state of the server's chart.
func (d Dump) State() string { return d.state }

// DataCentre returns the state of the data centre's chart.
func (d Dump) DataCentre() string { return d.dataCentre }

// Instance returns the id of the instance.
func (d Dump) Instance() string { return d.instance }

// Slots returns the number of slots.
func (d Dump) Slots() int { return d.slots }

// InUse returns how many places are held.
func (d Dump) InUse() int { return d.inUse }

// QueueLen returns how many asks wait.
func (d Dump) QueueLen() int { return d.inLine }

// Idle returns how many idle connections are kept.
func (d Dump) Idle() int { return d.idle }

// Slowness returns how many times longer than usual work takes.
func (d Dump) Slowness() float64 { return d.slowness }

func (k *Proxy) handle(ctx context.Context, m message) {
	switch {
	case m.ask != nil:
		k.handleAsk(m.ask)
	case m.withdraw != nil:
		k.withdraw(*m.withdraw)
	case m.submit != nil:
		k.handleSubmit(ctx, m.submit)
	case m.cancel != nil:
		k.cancel(*m.cancel)
	case m.drop != nil:
		k.handleDrop(*m.drop)
	case m.ended != nil:
		k.handleEnded(m.ended)
	case m.announce != nil:
		m.announce.reply <- k.handleAnnounce(m.announce.announcement)
	case m.leave != nil:
		m.leave.reply <- k.handleLeave(m.leave.id, m.leave.born)
	case m.departed != nil:
		k.handleDeparted(m.departed)
	case m.situation != nil:
		k.handleSituation(*m.situation)
	case m.probed != nil:
		k.handleProbed(m.probed)
	case m.close:
		k.fire(eventDrain)
	case m.dump != nil:
		m.dump <- k.dump()
	}
}

func (k *Proxy) dump() Dump {
	return Dump{
		state: string(k.machine.State()), dataCentre: string(k.dataCentre.State()), instance: k.instance,
		slots: k.book.Slots(), inUse: k.book.InUse(), inLine: k.book.QueueLen(), idle: len(k.idle), slowness: k.book.Slowness(),
	}
}

// Reserve asks for a place. reply is called from the keeper's task and must not
// block.
func (k *Proxy) Reserve(key limiter.Key, a upstream.SlotRequest, reply func(upstream.Event)) {
	if !k.inbox.Send(message{ask: &askMessage{key: key, ask: a, reply: reply}}) {
		reply(upstream.NewEvent(upstream.Refused, key.Number()).WithReason("node stopping"))
	}
}

// Withdraw gives up an ask or an offer.
func (k *Proxy) Withdraw(key limiter.Key) { k.inbox.Send(message{withdraw: &key}) }

// Submit sends a request to the place that was offered under key. How it ends
// is told to the function that was given with the ask.
func (k *Proxy) Submit(key limiter.Key, r *upstream.Request) {
	k.inbox.Send(message{submit: &submitMessage{key: key, request: r}})
}

// Cancel ends a request whose caller has left.
func (k *Proxy) Cancel(key limiter.Key) { k.inbox.Send(message{cancel: &key}) }

// ReleaseLink gives up everything that came by a link which is gone.
func (k *Proxy) ReleaseLink(link uint64) { k.inbox.Send(message{drop: &link}) }

// Announce records what the server says of itself. It reports false for an
// announcement that an instance before the present one sent.
func (k *Proxy) Announce(ctx context.Context, a Announcement) bool {
	reply := task.NewReply[bool]()
	if !k.inbox.Send(message{announce: &announceMessage{announcement: a, reply: reply}}) {
		return false
	}
	accepted, ok := reply.Wait(ctx, k.inbox.Done())
	return ok && accepted
}

// RecordDeparture tells that an instance started at born said, also to an earlier
// process of this node, that it leaves.
func (k *Proxy) RecordDeparture(id string, born int64) {
	k.inbox.Send(message{departed: &departedMessage{id: id, born: born}})
}

// Leave records that the instance leaves. born is when it was started, 0 when it
// does not say.
func (k *Proxy) Leave(ctx context.Context, id string, born int64) bool {
	reply := task.NewReply[bool]()
	if !k.inbox.Send(message{leave: &leaveMessage{id: id, born: born, reply: reply}}) {
		return false
	}
	accepted, ok := reply.Wait(ctx, k.inbox.Done())
	return ok && accepted
}

// SetSnapshot puts a configuration in force.
func (k *Proxy) SetSnapshot(s Snapshot) { k.inbox.Send(message{situation: &s}) }

// InFlight returns how many requests are at the server.
func (k *Proxy) InFlight() int { return int(k.running.Load()) }

// Drain stops giving work; requests in flight go on.
func (k *Proxy) Drain() { k.inbox.Send(message{close: true}) }

// Dump returns the state of the keeper.
func (k *Proxy) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !k.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, k.inbox.Done())
	return d
}

// Endpoint returns the server as this node's own requests see it.
func (k *Proxy) Endpoint(node string) *upstream.Endpoint {
	var port *upstream.Endpoint
	port = upstream.NewEndpoint(node,
		func(number uint64, a upstream.SlotRequest, events chan<- upstream.Event) {
			k.Reserve(limiter.NewKey(0, number), a, func(e upstream.Event) { events <- e.WithEndpoint(port) })
		},
		func(number uint64) { k.Withdraw(limiter.NewKey(0, number)) },
		func(number uint64, r *upstream.Request) { k.Submit(limiter.NewKey(0, number), r) },
		func(number uint64) { k.Cancel(limiter.NewKey(0, number)) },
	)
	return port
}
