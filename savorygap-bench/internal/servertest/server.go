// Package servertest provides a fake back-end server with a limited number of slots,
// a cold start, noisy neighbours and faults that a test can inject.
//
// One task owns the requests in flight, the faults and the statistics.
//
// # Usage
//
//	s := servertest.New(servertest.NewProfile(12, 10*time.Millisecond), seed)
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler())
//	s.SetFaults(servertest.Faults{}.WithSlowdown(8))
package servertest

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"savorygap.example/lib/task"
)

const (
	inboxSize        = 1024
	coldShare        = 0.25 // of the slots are the capacity of a cold server
	overloadExponent = 1.5  // exponent of load over capacity, by which overload slows requests
	shedFactor       = 2.0  // times the capacity, above which requests are shed
	noiseInterval    = 5 * time.Millisecond
	maxNoise         = 3.0 // times the usual service time
)

// Profile describes the capacity and the speed of a server.
type Profile struct {
	slots       int
	serviceTime time.Duration
	coldStart   time.Duration
	noiseShare  float64
}

// NewProfile returns the profile of a server with the given slots and mean service
// time, without a cold start.
func NewProfile(slots int, serviceTime time.Duration) Profile {
	return Profile{slots: slots, serviceTime: serviceTime}
}

// WithColdStart returns the profile with a cold start of the given length.
func (p Profile) WithColdStart(d time.Duration) Profile {
	p.coldStart = d
	return p
}

// WithNoise returns the profile with neighbours that slow the server down in the
// given share of all intervals of length noiseInterval.
func (p Profile) WithNoise(share float64) Profile {
	p.noiseShare = share
	return p
}

// Slots returns the number of slots.
func (p Profile) Slots() int { return p.slots }

// Faults is a set of faults to inject. The zero value has none.
type Faults struct {
	slowdown float64
	failFast bool
	cold     bool
	truncate bool
}

// WithSlowdown returns the faults with service times multiplied by factor.
func (f Faults) WithSlowdown(factor float64) Faults {
	f.slowdown = factor
	return f
}

// WithFailFast returns the faults with status 500 returned for every request
// immediately.
func (f Faults) WithFailFast() Faults {
	f.failFast = true
	return f
}

// WithColdStart returns the faults with a new cold start.
func (f Faults) WithColdStart() Faults {
	f.cold = true
	return f
}

// WithTruncation returns the faults with response bodies truncated.
func (f Faults) WithTruncation() Faults {
	f.truncate = true
	return f
}

// Stats counts the requests that a server handled.
type Stats struct {
	executions       map[string]int
	served           int
	shed             int
	overCapacity     int
	peakInFlight     int
	overColdCapacity int
}

// Executions returns how often each request id was executed.
func (s Stats) Executions() map[string]int { return s.executions }

// Served returns how many requests were executed.
func (s Stats) Served() int { return s.served }

// Shed returns how many requests the server refused.
func (s Stats) Shed() int { return s.shed }

// OverCapacity returns how many requests arrived while all slots were taken.
func (s Stats) OverCapacity() int { return s.overCapacity }

// OverColdCapacity returns how many requests arrived above the capacity of the
// server during its cold start.
func (s Stats) OverColdCapacity() int { return s.overColdCapacity }

// PeakInFlight returns the largest number of requests in flight at once.
func (s Stats) PeakInFlight() int { return s.peakInFlight }

// decision is how a request is to be answered.
type decision struct {
	duration time.Duration
	status   int
	truncate bool
}

// message is a closed union; exactly one part is set.
type message struct {
	arrival   *arrival
	completed bool
	faults    *Faults
	stats     task.Reply[Stats]
	restart   bool
}

type arrival struct {
	id         string
	workFactor float64
	reply      task.Reply[decision]
}

// Server is a fake back-end server.
type Server struct {
	profile       Profile
	rng           *rand.Rand
	inbox         *task.Inbox[message]
	inFlight      int
	coldStartedAt time.Time
	faults        Faults
	noiseFactor   float64
	noiseChanged  time.Time
	stats         Stats
}

// New returns a server that is not running yet. seed determines its service times.
func New(profile Profile, seed uint64) *Server {
	return &Server{
		profile: profile, rng: rand.New(rand.NewPCG(seed, 7)), inbox: task.NewInbox[message](inboxSize),
		coldStartedAt: time.Now(), noiseFactor: 1, stats: Stats{executions: map[string]int{}},
	}
}

// Run handles messages until ctx ends.
func (s *Server) Run(ctx context.Context) { s.inbox.Run(ctx, s.handle) }

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) { s.inbox.Send(message{faults: &f}) }

// Stats returns the statistics so far.
func (s *Server) Stats() Stats {
	reply := task.NewReply[Stats]()
	if !s.inbox.Send(message{stats: reply}) {
		return Stats{}
	}
	stats, _ := reply.Wait(context.Background(), s.inbox.Done())
	return stats
}

// Restart begins a new cold start.
func (s *Server) Restart() { s.inbox.Send(message{restart: true}) }

func (s *Server) handle(m message) {
	switch {
	case m.arrival != nil:
		m.arrival.reply <- s.admit(*m.arrival)
	case m.completed:
		s.inFlight--
	case m.faults != nil:
		if m.faults.cold && !s.faults.cold {
			s.coldStartedAt = time.Now()
		}
		s.faults = *m.faults
	case m.stats != nil:
		m.stats <- s.copyStats()
	case m.restart:
		s.coldStartedAt = time.Now()
	}
}

func (s *Server) copyStats() Stats {
	copied := s.stats
	copied.executions = make(map[string]int, len(s.stats.executions))
	for id, n := range s.stats.executions {
		copied.executions[id] = n
	}
	return copied
}

// admit decides how to answer a request and how long it takes, which is longer the
// more the requests in flight exceed the capacity.
func (s *Server) admit(a arrival) decision {
	s.inFlight++
	s.stats.peakInFlight = max(s.stats.peakInFlight, s.inFlight)
	if s.inFlight > s.profile.slots {
		s.stats.overCapacity++
	}
	if s.faults.failFast {
		return decision{status: 500}
	}
	capacity := s.capacity()
	load := float64(s.inFlight) / capacity
	if load > 1 && capacity < float64(s.profile.slots) {
		s.stats.overColdCapacity++
	}
	if load > shedFactor {
		s.stats.shed++
		return decision{status: 503}
	}
	s.stats.served++
	s.stats.executions[a.id]++
	return decision{status: 200, duration: s.duration(a.workFactor, load), truncate: s.faults.truncate}
}

func (s *Server) capacity() float64 {
	if s.profile.coldStart > 0 && time.Since(s.coldStartedAt) < s.profile.coldStart {
		return math.Max(1, coldShare*float64(s.profile.slots))
	}
	return float64(s.profile.slots)
}

func (s *Server) duration(workFactor, load float64) time.Duration {
	spread := 0.5 + s.rng.ExpFloat64()/2
	d := float64(s.profile.serviceTime) * workFactor * spread * s.currentNoise()
	if load > 1 {
		d *= math.Pow(load, overloadExponent) * 2
	}
	if s.faults.slowdown > 0 {
		d *= s.faults.slowdown
	}
	return time.Duration(d)
}

// currentNoise returns the factor by which neighbours slow the server down. It
// changes every noiseInterval.
func (s *Server) currentNoise() float64 {
	if s.profile.noiseShare == 0 {
		return 1
	}
	if now := time.Now(); now.Sub(s.noiseChanged) >= noiseInterval {
		s.noiseChanged = now
		s.noiseFactor = 1
		if s.rng.Float64() < s.profile.noiseShare {
			s.noiseFactor = 1 + s.rng.Float64()*(maxNoise-1)
		}
	}
	return s.noiseFactor
}
