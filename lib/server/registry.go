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
	registryInboxSize = 64 // messages
	renewalTimeout    = 3 * time.Second
	removalTimeout    = 60 * time.Second
	expiryInterval    = 250 * time.Millisecond
	maxServers        = 64 // on one host
)

// Registry is the task that tracks the servers on this host. It runs a Proxy for
// each server and publishes their statuses.
type Registry struct {
	clock     clockwork.Clock
	chart     *chart.Chart
	inbox     *task.Inbox[registryMessage]
	servers   map[string]*serverEntry
	suspended bool
	draining  bool
	publish   func([]Status)
}

type serverEntry struct {
	proxy         *Proxy
	announcement  Announcement
	lastAnnounced time.Time
	announcedAt   time.Time
	silent        bool
	cancel        context.CancelFunc
	draining      bool
}

// registryMessage is a union of which exactly one field is set.
type registryMessage struct {
	announce *announceRequest
	leave    *leaveRequest
	lookup   *lookupRequest
	suspend  *suspendRequest
	drain    bool
	proxies  task.Reply[[]*Proxy]
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

// NewRegistry returns a registry. Call Run to start it. Whenever a status
// changes, the registry calls publish from its own goroutine with the statuses
// of all servers. publish must not block.
func NewRegistry(clock clockwork.Clock, serverChart *chart.Chart, publish func([]Status)) *Registry {
	return &Registry{
		clock: clock, chart: serverChart, inbox: task.NewInbox[registryMessage](registryInboxSize),
		servers: map[string]*serverEntry{}, publish: publish,
	}
}

// Run handles messages until ctx ends. The proxies stop at the same time.
func (r *Registry) Run(ctx context.Context) {
	defer r.inbox.Close()
	ticker := r.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox.Messages():
			r.handle(ctx, m)
		case <-ticker.Chan():
			r.expireAnnouncements(r.clock.Now())
		}
	}
}

// Announce registers a server or renews its announcement.
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

// Leave deregisters a server that has stopped.
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

// Lookup returns the proxy of a server on this host. If address is empty, it
// returns the proxy of any server of the service that accepts requests.
func (r *Registry) Lookup(ctx context.Context, service, address string) (*Proxy, bool) {
	reply := task.NewReply[*Proxy]()
	if !r.inbox.Send(registryMessage{lookup: &lookupRequest{service: service, address: address, reply: reply}}) {
		return nil, false
	}
	proxy, ok := reply.Wait(ctx, r.inbox.Done())
	return proxy, ok && proxy != nil
}

// SetSuspended suspends or resumes admission at all servers, according to
// whether the configuration takes this data centre out of service.
func (r *Registry) SetSuspended(suspended bool) {
	r.inbox.Send(registryMessage{suspend: &suspendRequest{suspended: suspended}})
}

// Drain stops admission permanently. Requests in flight may finish.
func (r *Registry) Drain() { r.inbox.Send(registryMessage{drain: true}) }

// Proxies returns the proxies of all servers on this host.
func (r *Registry) Proxies(ctx context.Context) []*Proxy {
	reply := task.NewReply[[]*Proxy]()
	if !r.inbox.Send(registryMessage{proxies: reply}) {
		return nil
	}
	proxies, _ := reply.Wait(ctx, r.inbox.Done())
	return proxies
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
		r.setSuspended(m.suspend.suspended)
	case m.drain:
		r.draining = true
		r.sendEventToAll(admission.EventDrain)
		r.publishStatuses()
	case m.proxies != nil:
		m.proxies <- r.proxies()
	}
}

func serverKey(service, address string) string { return service + " " + address }

func (r *Registry) announce(ctx context.Context, a Announcement) error {
	key := serverKey(a.service, a.address)
	s, exists := r.servers[key]
	switch {
	case !exists && len(r.servers) >= maxServers:
		return &AnnouncementError{field: "service", reason: "comes after the greatest number of servers of one host"}
	case !exists:
		return r.start(ctx, key, a)
	case a.slots != s.announcement.slots || a.connections != s.announcement.connections:
		s.cancel()
		delete(r.servers, key)
		return r.start(ctx, key, a)
	}
	r.renew(s, a)
	return nil
}

func (r *Registry) start(ctx context.Context, key string, a Announcement) error {
	proxy, err := NewProxy(r.clock, r.chart, a)
	if err != nil {
		return err
	}
	proxyCtx, cancel := context.WithCancel(ctx)
	s := &serverEntry{proxy: proxy, announcement: a, lastAnnounced: r.clock.Now(), announcedAt: r.clock.Now(), cancel: cancel}
	r.servers[key] = s
	go proxy.Run(proxyCtx)
	if r.suspended {
		s.sendEvent(admission.EventSuspend)
	}
	if a.draining || r.draining {
		s.draining = true
		s.sendEvent(admission.EventDrain)
	}
	r.publishStatuses()
	return nil
}

func (s *serverEntry) sendEvent(e chart.Event) {
	s.proxy.inbox.Send(proxyMessage{event: &lifecycleEvent{event: e}})
}

// renew applies a repeated announcement. The server starts cold if it has a new
// instance ID or returns after it was draining or silent.
func (r *Registry) renew(s *serverEntry, a Announcement) {
	startsCold := a.instance != s.announcement.instance || s.silent || (s.draining && !a.draining)
	startsDraining := (a.draining || r.draining) && (!s.draining || startsCold)
	s.lastAnnounced = r.clock.Now()
	s.announcement = a
	s.proxy.inbox.Send(proxyMessage{announcement: &a})
	if startsCold {
		s.silent = false
		s.announcedAt = r.clock.Now()
		s.sendEvent(admission.EventRestart)
		if r.suspended {
			s.sendEvent(admission.EventSuspend)
		}
	}
	if startsDraining {
		s.sendEvent(admission.EventDrain)
	}
	s.draining = a.draining || r.draining
	if startsCold || startsDraining {
		r.publishStatuses()
	}
}

func (r *Registry) leave(service, address string) error {
	key := serverKey(service, address)
	s, ok := r.servers[key]
	if !ok {
		return &AnnouncementError{field: "address", reason: "is not announced"}
	}
	s.sendEvent(admission.EventLeave)
	s.draining = true
	r.publishStatuses()
	return nil
}

func (r *Registry) lookup(service, address string) *Proxy {
	if s, ok := r.servers[serverKey(service, address)]; ok {
		return s.proxy
	}
	if address != "" {
		return nil
	}
	for _, s := range r.servers {
		if s.announcement.service == service && s.accepting(r.suspended) {
			return s.proxy
		}
	}
	return nil
}

func (s *serverEntry) accepting(suspended bool) bool { return !s.silent && !s.draining && !suspended }

func (r *Registry) setSuspended(suspended bool) {
	if suspended == r.suspended {
		return
	}
	r.suspended = suspended
	if suspended {
		r.sendEventToAll(admission.EventSuspend)
	} else {
		r.sendEventToAll(admission.EventResume)
	}
	r.publishStatuses()
}

func (r *Registry) sendEventToAll(e chart.Event) {
	for _, s := range r.servers {
		s.sendEvent(e)
		if e == admission.EventDrain {
			s.draining = true
		}
	}
}

// expireAnnouncements marks servers as silent whose announcement was not renewed
// within renewalTimeout, and removes them after removalTimeout.
func (r *Registry) expireAnnouncements(now time.Time) {
	changed := false
	for key, s := range r.servers {
		age := now.Sub(s.lastAnnounced)
		if age > renewalTimeout && !s.silent {
			s.silent = true
			s.sendEvent(admission.EventSilent)
			changed = true
		}
		if age > removalTimeout {
			s.cancel()
			delete(r.servers, key)
			changed = true
		}
	}
	if changed {
		r.publishStatuses()
	}
}

func (r *Registry) publishStatuses() {
	statuses := make([]Status, 0, len(r.servers))
	for _, s := range r.servers {
		statuses = append(statuses, Status{
			service: s.announcement.service, address: s.announcement.address, slots: s.announcement.slots,
			accepting: !s.silent && !s.draining, announcedAt: s.announcedAt,
		})
	}
	r.publish(statuses)
}

func (r *Registry) proxies() []*Proxy {
	proxies := make([]*Proxy, 0, len(r.servers))
	for _, s := range r.servers {
		proxies = append(proxies, s.proxy)
	}
	return proxies
}
