// Package standin is a small in-memory substitute for the platform's key-value
// service, with faults that tests and the bench can switch on.
//
// One task owns the entries, the leases and the waiting watches; the HTTP
// handlers send it messages.
//
// # Usage
//
//	s := standin.New(clock)
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler())
//	s.Inject(standin.Faults().Down(true))
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
	inboxSize     = 256
	sweepInterval = 100 * time.Millisecond
	maxValue      = 1 << 20 // bytes
)

// Faults says how the stand-in misbehaves. The zero value is a sound service.
type Faults struct {
	down        bool
	delay       time.Duration
	loseAnswers int
	lapseLeases bool
}

// NewFaults returns an empty set of faults.
func NewFaults() Faults { return Faults{} }

// WithUnavailable returns the set with all calls refused.
func (f Faults) WithUnavailable(down bool) Faults {
	f.down = down
	return f
}

// WithDelay returns the set with every call delayed.
func (f Faults) WithDelay(delay time.Duration) Faults {
	f.delay = delay
	return f
}

// WithDroppedReplies returns the set in which the next n writes take effect but their
// answers are lost.
func (f Faults) WithDroppedReplies(n int) Faults {
	f.loseAnswers = n
	return f
}

// WithExpiredLeases returns the set in which all present leases lapse at once.
func (f Faults) WithExpiredLeases() Faults {
	f.lapseLeases = true
	return f
}

// Counts holds how many calls of each kind arrived.
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

type outcome struct {
	entry   store.Entry
	entries []store.Entry
	lease   store.LeaseID
	status  int
	text    string
	lost    bool
	delay   time.Duration
	counts  Counts
}

type message struct {
	call   store.Call
	key    string
	write  store.Write
	after  store.Version
	wait   time.Duration
	ttl    time.Duration
	lease  store.LeaseID
	faults *Faults
	counts bool
	reply  task.Reply[outcome]
}

type waiter struct {
	after    store.Version
	deadline time.Time
	reply    task.Reply[outcome]
}

// Server is the stand-in.
type Server struct {
	clock   clockwork.Clock
	inbox   *task.Inbox[message]
	entries map[string]entry
	leases  map[store.LeaseID]*lease
	waiters map[string][]waiter
	counts  Counts
	faults  Faults
	next    uint64
}

// New returns a stand-in that is not running yet.
func New(clock clockwork.Clock) *Server {
	return &Server{
		clock: clock, inbox: task.NewInbox[message](inboxSize), entries: map[string]entry{},
		leases: map[store.LeaseID]*lease{}, waiters: map[string][]waiter{}, counts: Counts{},
	}
}

// Run serves messages until ctx ends.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	ticker := s.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Messages():
			s.handle(m)
		case <-ticker.Chan():
			s.sweep(s.clock.Now())
		}
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.ask(context.Background(), message{faults: &f})
}

// CallCounts returns how many calls of each kind arrived so far.
func (s *Server) CallCounts() Counts {
	out, _ := s.ask(context.Background(), message{counts: true})
	return out.counts
}

func (s *Server) ask(ctx context.Context, m message) (outcome, bool) {
	m.reply = task.NewReply[outcome]()
	if !s.inbox.Send(m) {
		return outcome{}, false
	}
	return m.reply.Wait(ctx, s.inbox.Done())
}

func (s *Server) handle(m message) {
	switch {
	case m.faults != nil:
		s.inject(*m.faults)
		m.reply <- outcome{}
	case m.counts:
		copied := Counts{}
		for k, v := range s.counts {
			copied[k] = v
		}
		m.reply <- outcome{counts: copied}
	default:
		s.serve(m)
	}
}

func (s *Server) inject(f Faults) {
	if f.lapseLeases {
		for id := range s.leases {
			s.lapse(id)
		}
		f.lapseLeases = false
	}
	s.faults = f
}

func (s *Server) serve(m message) {
	s.counts[m.call]++
	if s.faults.down {
		m.reply <- outcome{status: 503, text: "service is down", delay: s.faults.delay}
		return
	}
	if m.call == store.CallWatch && s.current(m.key).Version() <= m.after {
		w := waiter{after: m.after, deadline: s.clock.Now().Add(m.wait), reply: m.reply}
		s.waiters[m.key] = append(s.waiters[m.key], w)
		return
	}
	out := s.apply(m)
	out.delay = s.faults.delay
	if out.status == 0 && m.call.Writes() && s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		out.lost = true
	}
	m.reply <- out
}

func (s *Server) apply(m message) outcome {
	switch m.call {
	case store.CallGet, store.CallWatch:
		return outcome{entry: s.current(m.key)}
	case store.CallList:
		return outcome{entries: s.under(m.key)}
	case store.CallCompareAndSwap:
		return s.swap(m.write)
	case store.CallGrant:
		s.next++
		id := store.LeaseID(fmt.Sprintf("lease-%d", s.next))
		s.leases[id] = &lease{ttl: m.ttl, expires: s.clock.Now().Add(m.ttl)}
		return outcome{lease: id}
	case store.CallRenew:
		l, ok := s.leases[m.lease]
		if !ok {
			return outcome{status: 404, text: "lease does not exist"}
		}
		l.expires = s.clock.Now().Add(l.ttl)
		return outcome{lease: m.lease}
	case store.CallRevoke:
		s.lapse(m.lease)
		return outcome{lease: m.lease}
	}
	return outcome{status: 400, text: "unknown call"}
}

func (s *Server) swap(w store.Write) outcome {
	current := s.current(w.Key())
	if current.Version() != w.ExpectedVersion() {
		return outcome{status: 409, text: "version differs", entry: current}
	}
	if len(w.Value()) > maxValue {
		return outcome{status: 413, text: "value is above 1 MiB"}
	}
	if w.Lease() != "" {
		if _, ok := s.leases[w.Lease()]; !ok {
			return outcome{status: 404, text: "lease does not exist"}
		}
	}
	s.put(w.Key(), entry{value: w.Value(), version: current.Version() + 1, lease: w.Lease()})
	return outcome{entry: s.current(w.Key())}
}

func (s *Server) put(key string, e entry) {
	s.entries[key] = e
	waiting := s.waiters[key]
	delete(s.waiters, key)
	for _, w := range waiting {
		w.reply <- outcome{entry: s.current(key), delay: s.faults.delay}
	}
}

func (s *Server) current(key string) store.Entry {
	e := s.entries[key]
	return store.NewEntry(key, e.value, e.version)
}

func (s *Server) under(prefix string) []store.Entry {
	var out []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.value != nil {
			out = append(out, store.NewEntry(key, e.value, e.version))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key() < out[j].Key() })
	return out
}

// lapse ends a lease. The keys under it lose their values and keep a version,
// so that a stale compare-and-swap on them fails.
func (s *Server) lapse(id store.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.put(key, entry{version: e.version + 1})
		}
	}
}

func (s *Server) sweep(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.lapse(id)
		}
	}
	for key, list := range s.waiters {
		kept := list[:0]
		for _, w := range list {
			if s.faults.down || now.After(w.deadline) {
				w.reply <- s.expired(key)
				continue
			}
			kept = append(kept, w)
		}
		s.waiters[key] = kept
	}
}

func (s *Server) expired(key string) outcome {
	if s.faults.down {
		return outcome{status: 503, text: "service is down"}
	}
	return outcome{entry: s.current(key)}
}
