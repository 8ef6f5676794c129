// Package standin is a small substitute for a users' server: slots, a cold
// start, noisy neighbours, and faults that a test switches on.
//
// One task owns the count of requests, the faults and the record of what ran.
//
// # Usage
//
//	s := standin.New(standin.NewShape(12, 10*time.Millisecond), seed)
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler())
//	s.Set(standin.Faults{}.Slow(8))
package servertest

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"savorygap.example/lib/task"
)

const (
	inboxSize     = 1024
	coldShare     = 0.25 // of the slots that a cold server bears
	overloadPower = 1.5  // of the ratio of load to capacity
	shedFactor    = 2.0  // of the capacity from which requests are shed
	noiseInterval = 5 * time.Millisecond
	noiseMost     = 3.0 // times the usual time
)

// Profile is what a server bears.
type Profile struct {
	slots   int
	service time.Duration
	cold    time.Duration
	noise   float64
}

// NewProfile returns a server with the given slots and mean service time, which
// is warm at once.
func NewProfile(slots int, service time.Duration) Profile {
	return Profile{slots: slots, service: service}
}

// WithColdStart returns the shape with a cold start of the given length.
func (s Profile) WithColdStart(d time.Duration) Profile {
	s.cold = d
	return s
}

// WithNoise returns the shape with neighbours that slow the server down during the
// given share of all short intervals.
func (s Profile) WithNoise(share float64) Profile {
	s.noise = share
	return s
}

// Slots returns the number of slots.
func (s Profile) Slots() int { return s.slots }

// Faults says how the server misbehaves.
type Faults struct {
	slow     float64
	failFast bool
	cold     bool
	cut      bool
}

// WithSlowdown returns the faults with service times multiplied.
func (f Faults) WithSlowdown(factor float64) Faults {
	f.slow = factor
	return f
}

// WithFailFast returns the faults with every request answered by a failure at once.
func (f Faults) WithFailFast() Faults {
	f.failFast = true
	return f
}

// WithColdStart returns the faults with the server turned cold again.
func (f Faults) WithColdStart() Faults {
	f.cold = true
	return f
}

// WithTruncation returns the faults with answers broken off in the middle.
func (f Faults) WithTruncation() Faults {
	f.cut = true
	return f
}

// Stats tells what ran at a server.
type Stats struct {
	runs     map[string]int
	served   int
	shed     int
	over     int
	most     int
	overCold int
}

// Runs returns how often each request id ran.
func (l Stats) Runs() map[string]int { return l.runs }

// Served returns how many requests ran.
func (l Stats) Served() int { return l.served }

// Shed returns how many requests the server refused.
func (l Stats) Shed() int { return l.shed }

// OverCapacity returns how many requests began while the slots were full.
func (l Stats) OverCapacity() int { return l.over }

// OverColdCapacity returns how many requests began above the cold capacity while the
// server was cold after its start.
func (l Stats) OverColdCapacity() int { return l.overCold }

// PeakInFlight returns the largest number of requests held at once.
func (l Stats) PeakInFlight() int { return l.most }

// verdict is what the task decides on one request.
type verdict struct {
	duration time.Duration
	status   int
	cut      bool
}

// message is a closed union; exactly one part is set.
type message struct {
	begin  *begin
	end    bool
	faults *Faults
	ledger task.Reply[Stats]
	reset  bool
}

type begin struct {
	id    string
	work  float64
	reply task.Reply[verdict]
}

// Server is the stand-in.
type Server struct {
	shape    Profile
	rng      *rand.Rand
	inbox    *task.Inbox[message]
	inFlight int
	started  time.Time
	faults   Faults
	noise    float64
	noiseAt  time.Time
	ledger   Stats
}

// New returns a server that is not running yet.
func New(shape Profile, seed uint64) *Server {
	return &Server{
		shape: shape, rng: rand.New(rand.NewPCG(seed, 7)), inbox: task.NewInbox[message](inboxSize),
		started: time.Now(), noise: 1, ledger: Stats{runs: map[string]int{}},
	}
}

// Run serves messages until ctx ends.
func (s *Server) Run(ctx context.Context) { s.inbox.Run(ctx, s.handle) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.inbox.Send(message{faults: &f}) }

// Stats returns what ran so far.
func (s *Server) Stats() Stats {
	reply := task.NewReply[Stats]()
	if !s.inbox.Send(message{ledger: reply}) {
		return Stats{}
	}
	l, _ := reply.Wait(context.Background(), s.inbox.Done())
	return l
}

// Restart forgets the load and starts cold.
func (s *Server) Restart() { s.inbox.Send(message{reset: true}) }

func (s *Server) handle(m message) {
	switch {
	case m.begin != nil:
		m.begin.reply <- s.begin(*m.begin)
	case m.end:
		s.inFlight--
	case m.faults != nil:
		if m.faults.cold && !s.faults.cold {
			s.started = time.Now()
		}
		s.faults = *m.faults
	case m.ledger != nil:
		m.ledger <- s.copyLedger()
	case m.reset:
		s.started = time.Now()
	}
}

func (s *Server) copyLedger() Stats {
	copied := s.ledger
	copied.runs = make(map[string]int, len(s.ledger.runs))
	for id, n := range s.ledger.runs {
		copied.runs[id] = n
	}
	return copied
}

// begin decides how long a request takes: longer the further the load is above
// what the server bears.
func (s *Server) begin(b begin) verdict {
	s.inFlight++
	s.ledger.most = max(s.ledger.most, s.inFlight)
	if s.inFlight > s.shape.slots {
		s.ledger.over++
	}
	if s.faults.failFast {
		return verdict{status: 500}
	}
	capacity := s.capacity()
	load := float64(s.inFlight) / capacity
	if load > 1 && capacity < float64(s.shape.slots) {
		s.ledger.overCold++
	}
	if load > shedFactor {
		s.ledger.shed++
		return verdict{status: 503}
	}
	s.ledger.served++
	s.ledger.runs[b.id]++
	return verdict{status: 200, duration: s.duration(b.work, load), cut: s.faults.cut}
}

func (s *Server) capacity() float64 {
	if s.shape.cold > 0 && time.Since(s.started) < s.shape.cold {
		return math.Max(1, coldShare*float64(s.shape.slots))
	}
	return float64(s.shape.slots)
}

func (s *Server) duration(work, load float64) time.Duration {
	spread := 0.5 + s.rng.ExpFloat64()/2
	d := float64(s.shape.service) * work * spread * s.noiseNow()
	if load > 1 {
		d *= math.Pow(load, overloadPower) * 2
	}
	if s.faults.slow > 0 {
		d *= s.faults.slow
	}
	return time.Duration(d)
}

// noiseNow returns the slowdown by neighbours, which shifts every few
// milliseconds.
func (s *Server) noiseNow() float64 {
	if s.shape.noise == 0 {
		return 1
	}
	if now := time.Now(); now.Sub(s.noiseAt) >= noiseInterval {
		s.noiseAt = now
		s.noise = 1
		if s.rng.Float64() < s.shape.noise {
			s.noise = 1 + s.rng.Float64()*(noiseMost-1)
		}
	}
	return s.noise
}
