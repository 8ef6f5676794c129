package server

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/task"
)

const (
	registryInbox  = 64
	renewalTimeout = 3 * time.Second
	forgetAfter    = 60 * time.Second
	sweepInterval  = 250 * time.Millisecond
	maxServers     = 64
)

// Registry is the task that knows the servers of this host. It starts a keeper
// for each and tells the membership which servers there are.
type Registry struct {
	clock     clockwork.Clock
	chart     *chart.Chart
	inbox     *task.Inbox[registryMessage]
	servers   map[string]*registered
	suspended bool
	closing   bool
	publish   func([]Status)
}

type registered struct {
	keeper  *Proxy
	latest  Announcement
	seen    time.Time
	since   time.Time
	silent  bool
	cancel  context.CancelFunc
	drained bool
}

// registryMessage is a closed union; exactly one part is set.
type registryMessage struct {
	announce *announceRequest
	leave    *leaveRequest
	lookup   *lookupRequest
	suspend  *suspendRequest
	closing  bool
	dump     task.Reply[[]*Proxy]
}

type announceRequest struct {
	announcement Announcement
	reply        task.Reply[error]
}

type leaveRequest struct {
	service string
	address string
	reply   task.Reply[error]
}

type lookupRequest struct {
	service string
	address string
	reply   task.Reply[*Proxy]
}

type suspendRequest struct {
	suspended bool
}

// NewRegistry returns a registry that is not running yet. It calls publish
// from its own goroutine whenever the servers change; publish must not block.
func NewRegistry(clock clockwork.Clock, serverChart *chart.Chart, publish func([]Status)) *Registry {
	return &Registry{
		clock: clock, chart: serverChart, inbox: task.NewInbox[registryMessage](registryInbox),
		servers: map[string]*registered{}, publish: publish,
	}
}

// Run serves messages until ctx ends; its keepers end with it.
func (r *Registry) Run(ctx context.Context) {
	defer r.inbox.Close()
	ticker := r.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox.Messages():
			r.handle(ctx, m)
		case <-ticker.Chan():
			r.sweep(r.clock.Now())
		}
	}
}

// Announce registers or renews a server.
func (r *Registry) Announce(ctx context.Context, a Announcement) error {
	reply := task.NewReply[error]()
	if !r.inbox.Send(registryMessage{announce: &announceRequest{announcement: a, reply: reply}}) {
		return context.Canceled
	}
	err, ok := reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return context.Canceled
	}
	return err
}

// Leave removes a server that has ended.
func (r *Registry) Leave(ctx context.Context, service, address string) error {
	reply := task.NewReply[error]()
	if !r.inbox.Send(registryMessage{leave: &leaveRequest{service: service, address: address, reply: reply}}) {
		return context.Canceled
	}
	err, ok := reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return context.Canceled
	}
	return err
}

// Lookup returns the keeper of a server of this host. An empty address means
// any server of the service.
func (r *Registry) Lookup(ctx context.Context, service, address string) (*Proxy, bool) {
	reply := task.NewReply[*Proxy]()
	if !r.inbox.Send(registryMessage{lookup: &lookupRequest{service: service, address: address, reply: reply}}) {
		return nil, false
	}
	k, ok := reply.Wait(ctx, r.inbox.Done())
	return k, ok && k != nil
}

// SetSuspended stops or resumes admission at all servers, as the configuration says
// of this data centre.
func (r *Registry) SetSuspended(suspended bool) {
	r.inbox.Send(registryMessage{suspend: &suspendRequest{suspended: suspended}})
}

// Drain stops admission for good; requests in flight finish.
func (r *Registry) Drain() { r.inbox.Send(registryMessage{closing: true}) }

// Proxies returns the keepers of all servers of this host.
func (r *Registry) Proxies(ctx context.Context) []*Proxy {
	reply := task.NewReply[[]*Proxy]()
	if !r.inbox.Send(registryMessage{dump: reply}) {
		return nil
	}
	list, _ := reply.Wait(ctx, r.inbox.Done())
	return list
}

func (r *Registry) handle(ctx context.Context, m registryMessage) {
	switch {
	case m.announce != nil:
		m.announce.reply <- r.announce(ctx, m.announce.announcement)
	case m.leave != nil:
		m.leave.reply <- r.leave(m.leave.service, m.leave.address)
	case m.lookup != nil:
		m.lookup.reply <- r.lookup(m.lookup.service, m.lookup.address)
	case m.suspend != nil:
		r.suspend(m.suspend.suspended)
	case m.closing:
		r.closing = true
		r.signalAll(admission.EventDrain)
		r.publishAll()
	case m.dump != nil:
		m.dump <- r.keepers()
	}
}

func serverKey(service, address string) string { return service + " " + address }

func (r *Registry) announce(ctx context.Context, a Announcement) error {
	key := serverKey(a.service, a.address)
	s, known := r.servers[key]
	switch {
	case !known && len(r.servers) >= maxServers:
		return &AnnouncementError{field: "service", reason: "comes after the greatest number of servers of one host"}
	case !known:
		return r.start(ctx, key, a)
	case a.slots != s.latest.slots || a.connections != s.latest.connections:
		s.cancel()
		delete(r.servers, key)
		return r.start(ctx, key, a)
	}
	r.renew(s, a)
	return nil
}

func (r *Registry) start(ctx context.Context, key string, a Announcement) error {
	k, err := NewProxy(r.clock, r.chart, a)
	if err != nil {
		return err
	}
	keeperCtx, cancel := context.WithCancel(ctx)
	s := &registered{keeper: k, latest: a, seen: r.clock.Now(), since: r.clock.Now(), cancel: cancel}
	r.servers[key] = s
	go k.Run(keeperCtx)
	if r.suspended {
		s.signal(admission.EventSuspend)
	}
	if a.draining || r.closing {
		s.drained = true
		s.signal(admission.EventDrain)
	}
	r.publishAll()
	return nil
}

func (s *registered) signal(e chart.Event) {
	s.keeper.inbox.Send(keeperMessage{signal: &signal{event: e}})
}

// renew takes a further announcement: a new run of the server, or one that
// drained or was silent and is back, starts cold.
func (r *Registry) renew(s *registered, a Announcement) {
	restarted := a.instance != s.latest.instance || s.silent || (s.drained && !a.draining)
	drains := (a.draining || r.closing) && (!s.drained || restarted)
	s.seen = r.clock.Now()
	s.latest = a
	s.keeper.inbox.Send(keeperMessage{announce: &a})
	if restarted {
		s.silent = false
		s.since = r.clock.Now()
		s.signal(admission.EventRestart)
		if r.suspended {
			s.signal(admission.EventSuspend)
		}
	}
	if drains {
		s.signal(admission.EventDrain)
	}
	s.drained = a.draining || r.closing
	if restarted || drains {
		r.publishAll()
	}
}

func (r *Registry) leave(service, address string) error {
	key := serverKey(service, address)
	s, ok := r.servers[key]
	if !ok {
		return &AnnouncementError{field: "address", reason: "is not announced"}
	}
	s.signal(admission.EventLeave)
	s.drained = true
	r.publishAll()
	return nil
}

func (r *Registry) lookup(service, address string) *Proxy {
	if s, ok := r.servers[serverKey(service, address)]; ok {
		return s.keeper
	}
	if address != "" {
		return nil
	}
	for _, s := range r.servers {
		if s.latest.service == service && s.open(r.suspended) {
			return s.keeper
		}
	}
	return nil
}

func (s *registered) open(suspended bool) bool { return !s.silent && !s.drained && !suspended }

func (r *Registry) suspend(suspended bool) {
	if suspended == r.suspended {
		return
	}
	r.suspended = suspended
	if suspended {
		r.signalAll(admission.EventSuspend)
	} else {
		r.signalAll(admission.EventResume)
	}
	r.publishAll()
}

func (r *Registry) signalAll(e chart.Event) {
	for _, s := range r.servers {
		s.signal(e)
		if e == admission.EventDrain {
			s.drained = true
		}
	}
}

// sweep marks servers silent whose announcement was not renewed, and forgets
// them later.
func (r *Registry) sweep(now time.Time) {
	changed := false
	for key, s := range r.servers {
		age := now.Sub(s.seen)
		if age > renewalTimeout && !s.silent {
			s.silent = true
			s.signal(admission.EventSilent)
			changed = true
		}
		if age > forgetAfter {
			s.cancel()
			delete(r.servers, key)
			changed = true
		}
	}
	if changed {
		r.publishAll()
	}
}

func (r *Registry) publishAll() {
	list := make([]Status, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, Status{
			service: s.latest.service, address: s.latest.address, slots: s.latest.slots,
			open: !s.silent && !s.drained, since: s.since,
		})
	}
	r.publish(list)
}

func (r *Registry) keepers() []*Proxy {
	list := make([]*Proxy, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s.keeper)
	}
	return list
}
