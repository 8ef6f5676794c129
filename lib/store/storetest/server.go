// Package storetest provides an in-memory implementation of the platform's
// key-value service with fault injection, for tests and benchmarks.
//
// A task owns the entries, leases and pending watches. The HTTP handlers send it
// messages.
//
// # Usage
//
//	s := storetest.New(clock)
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler())
//	s.SetFaults(storetest.NewFaults().WithUnavailable(true))
package storetest

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/store"
	"savorygap.example/lib/task"
)

const (
	inboxSize      = 256 // messages
	expiryInterval = 100 * time.Millisecond
	maxValueBytes  = 1 << 20
)

// Faults is a set of faults to inject. The zero value injects none.
type Faults struct {
	unavailable  bool
	delay        time.Duration
	dropReplies  int
	expireLeases bool
}

// NewFaults returns an empty set of faults.
func NewFaults() Faults { return Faults{} }

// WithUnavailable returns the set with unavailable set. While it is true, the
// server refuses all calls.
func (f Faults) WithUnavailable(unavailable bool) Faults {
	f.unavailable = unavailable
	return f
}

// WithDelay returns the set with a delay of every reply.
func (f Faults) WithDelay(delay time.Duration) Faults {
	f.delay = delay
	return f
}

// WithDroppedReplies returns the set with the replies to the next n writes
// dropped. The writes take effect.
func (f Faults) WithDroppedReplies(n int) Faults {
	f.dropReplies = n
	return f
}

// WithExpiredLeases returns the set with the expiry of all current leases, which
// happens once, when the set is injected.
func (f Faults) WithExpiredLeases() Faults {
	f.expireLeases = true
	return f
}

// Counts is the number of received calls by kind.
type Counts map[store.Call]int

type entry struct {
	value   []byte
	version store.Version
	lease   store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type result struct {
	entry   store.Entry
	entries []store.Entry
	lease   store.LeaseID
	status  int
	text    string
	dropped bool
	delay   time.Duration
	counts  Counts
}

type message struct {
	call       store.Call
	key        string
	write      store.Write
	after      store.Version
	wait       time.Duration
	ttl        time.Duration
	lease      store.LeaseID
	faults     *Faults
	readCounts bool
	reply      task.Reply[result]
}

type watch struct {
	after    store.Version
	deadline time.Time
	reply    task.Reply[result]
}

// Server is the in-memory key-value service.
type Server struct {
	clock      clockwork.Clock
	inbox      *task.Inbox[message]
	entries    map[string]entry
	leases     map[store.LeaseID]*lease
	watches    map[string][]watch
	callCounts Counts
	faults     Faults
	lastLease  uint64
}

// New returns an empty server. Call Run to start it.
func New(clock clockwork.Clock) *Server {
	return &Server{
		clock: clock, inbox: task.NewInbox[message](inboxSize), entries: map[string]entry{},
		leases: map[store.LeaseID]*lease{}, watches: map[string][]watch{}, callCounts: Counts{},
	}
}

// Run handles messages until ctx ends.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	ticker := s.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Messages():
			s.handle(m)
		case <-ticker.Chan():
			s.expire(s.clock.Now())
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.send(context.Background(), message{faults: &f})
}

// CallCounts returns the number of calls received so far, by kind.
func (s *Server) CallCounts() Counts {
	reply, _ := s.send(context.Background(), message{readCounts: true})
	return reply.counts
}

func (s *Server) send(ctx context.Context, m message) (result, bool) {
	m.reply = task.NewReply[result]()
	if !s.inbox.Send(m) {
		return result{}, false
	}
	return m.reply.Wait(ctx, s.inbox.Done())
}

func (s *Server) handle(m message) {
	switch {
	case m.faults != nil:
		s.setFaults(*m.faults)
		m.reply <- result{}
	case m.readCounts:
		copied := Counts{}
		for k, v := range s.callCounts {
			copied[k] = v
		}
		m.reply <- result{counts: copied}
	default:
		s.handleCall(m)
	}
}

func (s *Server) setFaults(f Faults) {
	if f.expireLeases {
		for id := range s.leases {
			s.expireLease(id)
		}
		f.expireLeases = false
	}
	s.faults = f
}

func (s *Server) handleCall(m message) {
	s.callCounts[m.call]++
	if s.faults.unavailable {
		m.reply <- result{status: 503, text: "service is down", delay: s.faults.delay}
		return
	}
	if m.call == store.CallWatch && s.currentEntry(m.key).Version() <= m.after {
		w := watch{after: m.after, deadline: s.clock.Now().Add(m.wait), reply: m.reply}
		s.watches[m.key] = append(s.watches[m.key], w)
		return
	}
	reply := s.apply(m)
	reply.delay = s.faults.delay
	if reply.status == 0 && m.call.Writes() && s.faults.dropReplies > 0 {
		s.faults.dropReplies--
		reply.dropped = true
	}
	m.reply <- reply
}

func (s *Server) apply(m message) result {
	switch m.call {
	case store.CallGet, store.CallWatch:
		return result{entry: s.currentEntry(m.key)}
	case store.CallList:
		return result{entries: s.entriesWithPrefix(m.key)}
	case store.CallCompareAndSwap:
		return s.compareAndSwap(m.write)
	case store.CallGrant:
		s.lastLease++
		id := store.LeaseID(fmt.Sprintf("lease-%d", s.lastLease))
		s.leases[id] = &lease{ttl: m.ttl, expires: s.clock.Now().Add(m.ttl)}
		return result{lease: id}
	case store.CallRenew:
		l, ok := s.leases[m.lease]
		if !ok {
			return result{status: 404, text: "lease does not exist"}
		}
		l.expires = s.clock.Now().Add(l.ttl)
		return result{lease: m.lease}
	case store.CallRevoke:
		s.expireLease(m.lease)
		return result{lease: m.lease}
	}
	return result{status: 400, text: "unknown call"}
}

func (s *Server) compareAndSwap(w store.Write) result {
	current := s.currentEntry(w.Key())
	if current.Version() != w.ExpectedVersion() {
		return result{status: 409, text: "version differs", entry: current}
	}
	if len(w.Value()) > maxValueBytes {
		return result{status: 413, text: "value is above 1 MiB"}
	}
	if w.Lease() != "" {
		if _, ok := s.leases[w.Lease()]; !ok {
			return result{status: 404, text: "lease does not exist"}
		}
	}
	s.putEntry(w.Key(), entry{value: w.Value(), version: current.Version() + 1, lease: w.Lease()})
	return result{entry: s.currentEntry(w.Key())}
}

func (s *Server) putEntry(key string, e entry) {
	s.entries[key] = e
	watches := s.watches[key]
	delete(s.watches, key)
	for _, w := range watches {
		w.reply <- result{entry: s.currentEntry(key), delay: s.faults.delay}
	}
}

func (s *Server) currentEntry(key string) store.Entry {
	e := s.entries[key]
	return store.NewEntry(key, e.value, e.version)
}

func (s *Server) entriesWithPrefix(prefix string) []store.Entry {
	var entries []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.value != nil {
			entries = append(entries, store.NewEntry(key, e.value, e.version))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key() < entries[j].Key() })
	return entries
}

// expireLease removes a lease and the values of the keys attached to it. Each of
// these keys gets a new version, so that a stale compare-and-swap fails.
func (s *Server) expireLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.putEntry(key, entry{version: e.version + 1})
		}
	}
}

// expire removes the leases that were not renewed in time and answers the watches
// whose wait has ended. While the service is unavailable, all watches fail.
func (s *Server) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.expireLease(id)
		}
	}
	for key, waiting := range s.watches {
		kept := waiting[:0]
		for _, w := range waiting {
			if s.faults.unavailable || now.After(w.deadline) {
				w.reply <- s.watchTimeoutResult(key)
				continue
			}
			kept = append(kept, w)
		}
		s.watches[key] = kept
	}
}

func (s *Server) watchTimeoutResult(key string) result {
	if s.faults.unavailable {
		return result{status: 503, text: "service is down"}
	}
	return result{entry: s.currentEntry(key)}
}
