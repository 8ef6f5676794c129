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
package standin

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

// Shape is what a server bears.
type Shape struct {
	slots   int
	service time.Duration
	cold    time.Duration
	noise   float64
}

// NewShape returns a server with the given slots and mean service time, which
// is warm at once.
func NewShape(slots int, service time.Duration) Shape {
	return Shape{slots: slots, service: service}
}

// Cold returns the shape with a cold start of the given length.
func (s Shape) Cold(d time.Duration) Shape {
	s.cold = d
	return s
}

// Noisy returns the shape with neighbours that slow the server down during the
// given share of all short intervals.
func (s Shape) Noisy(share float64) Shape {
	s.noise = share
	return s
}

// Slots returns the number of slots.
func (s Shape) Slots() int { return s.slots }

// Faults says how the server misbehaves.
type Faults struct {
	slow     float64
	failFast bool
	cold     bool
	cut      bool
}

// Slow returns the faults with service times multiplied.
func (f Faults) Slow(factor float64) Faults {
	f.slow = factor
	return f
}

// FailFast returns the faults with every request answered by a failure at once.
func (f Faults) FailFast() Faults {
	f.failFast = true
	return f
}

// TurnCold returns the faults with the server turned cold again.
func (f Faults) TurnCold() Faults {
	f.cold = true
	return f
}

// Cut returns the faults with answers broken off in the middle.
func (f Faults) Cut() Faults {
	f.cut = true
	return f
}

// Ledger tells what ran at a server.
type Ledger struct {
	runs     map[string]int
	served   int
	shed     int
	over     int
	most     int
	overCold int
}

// Runs returns how often each request id ran.
func (l Ledger) Runs() map[string]int { return l.runs }

// Served returns how many requests ran.
func (l Ledger) Served() int { return l.served }

// Shed returns how many requests the server refused.
func (l Ledger) Shed() int { return l.shed }

// Over returns how many requests began while the slots were full.
func (l Ledger) Over() int { return l.over }

// OverCold returns how many requests began above the cold capacity while the
// server was cold after its start.
func (l Ledger) OverCold() int { return l.overCold }

// Most returns the largest number of requests held at once.
func (l Ledger) Most() int { return l.most }

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
	ledger task.Reply[Ledger]
	reset  bool
}

type begin struct {
	id    string
	work  float64
	reply task.Reply[verdict]
}

// Server is the stand-in.
type Server struct {
	shape    Shape
	rng      *rand.Rand
	inbox    *task.Inbox[message]
	inFlight int
	started  time.Time
	faults   Faults
	noise    float64
	noiseAt  time.Time
	ledger   Ledger
}

// New returns a server that is not running yet.
func New(shape Shape, seed uint64) *Server {
	return &Server{
		shape: shape, rng: rand.New(rand.NewPCG(seed, 7)), inbox: task.NewInbox[message](inboxSize),
		started: time.Now(), noise: 1, ledger: Ledger{runs: map[string]int{}},
	}
}

// Run serves messages until ctx ends.
func (s *Server) Run(ctx context.Context) { s.inbox.Run(ctx, s.handle) }

// Set replaces the faults in force.
func (s *Server) Set(f Faults) { s.inbox.Send(message{faults: &f}) }

// Ledger returns what ran so far.
func (s *Server) Ledger() Ledger {
	reply := task.NewReply[Ledger]()
	if !s.inbox.Send(message{ledger: reply}) {
		return Ledger{}
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

func (s *Server) copyLedger() Ledger {
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
