package downstream_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/downstream"
	"savorygap.example/lib/limiter"
)

func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

// The kinds of requests: upload and purchase use the scarce service themselves, and 0.7 of
// the runs of the report call it twice.
const (
	upload = iota
	purchase
	report
)

// load is a case of the simulation: how much of the requests below arrive, the priority of
// the reports, and whether half of the servers end.
type load struct {
	factor         float64
	reportPriority int
	halfEnd        bool
}

// kinds are their priorities, requests a second, times at the scarce service and longest
// waits in its queue, in ms.
var kinds = [3]struct {
	priority, perSecond, serviceTime, maxWait int
}{upload: {1, 330, 140, 240}, purchase: {2, 640, 85, 90}, report: {2, 520, 32, 400}}

// run is one request to the scarce service. A report is served if neither call failed.
type run struct {
	kind      int
	pending   int
	failed    bool
	caller    *downstream.Controller
	startedAt int
}

// scarce plays waves of load on 15 servers with 9 slots, taken together. 56 nodes beside
// servers of the calling service decide how many reports they start. The counts exclude the
// first wave.
type scarce struct {
	load          load
	random        *rand.Rand
	slots         *limiter.Limiter
	controllers   []*downstream.Controller
	runs          map[limiter.Key]*run
	ends          map[int][]limiter.Key
	next          uint64
	served, asked [3]float64
	wasted        float64
}

func play(seed uint64, l load, limited bool) *scarce {
	s := &scarce{load: l, random: rand.New(rand.NewPCG(seed, 2)), slots: limiter.New(15 * 9), runs: map[limiter.Key]*run{}, ends: map[int][]limiter.Key{}}
	s.slots.TrackPressure()
	for range 56 {
		s.controllers = append(s.controllers, downstream.New())
	}
	for ms := range 45_000 {
		if ms == 15_000 && l.halfEnd {
			s.slots.SetSlots(7 * 9)
		}
		for _, key := range s.ends[ms] {
			s.slots.Release(key)
			s.end(key, true)
		}
		if len(s.ends[ms]) > 0 || ms%10 == 0 {
			for _, d := range s.slots.Advance(at(ms)) {
				s.decide(ms, d)
			}
		}
		delete(s.ends, ms)
		wave := l.factor * (1 + 0.55*math.Sin(2*math.Pi*float64(ms)/15_000))
		for kind, k := range kinds {
			for due := wave * float64(k.perSecond) / 1000; due > 0; due-- {
				if s.random.Float64() < due {
					s.arrive(ms, kind, limited)
				}
			}
		}
	}
	return s
}

func (s *scarce) arrive(ms, kind int, limited bool) {
	if ms >= 15_000 {
		s.asked[kind]++
	}
	r := &run{kind: kind, pending: 1, startedAt: ms}
	if kind != report {
		s.reserve(ms, r, false)
		return
	}
	// The ingress asks five nodes, and one refusal ends its search.
	id := fmt.Sprint(s.random.Uint64())
	for range 5 {
		r.caller = s.controllers[s.random.IntN(len(s.controllers))]
		if limited && !r.caller.Admits(at(ms), "report", id) {
			return
		}
	}
	r.caller.RecordRun(at(ms), "report")
	if s.random.Float64() >= 0.7 {
		s.count(r)
		return
	}
	r.pending = 2
	s.reserve(ms, r, true)
	s.reserve(ms, r, true)
}

func (s *scarce) reserve(ms int, r *run, nested bool) {
	s.next++
	key, k := limiter.NewKey(0, s.next), kinds[r.kind]
	if r.kind == report {
		k.priority = s.load.reportPriority
	}
	s.runs[key] = r
	if nested {
		r.caller.RecordCall(at(ms), "report", "scarce")
		r.caller.RecordPressure(at(ms), "report", "scarce", s.slots.Pressure(at(ms), k.priority))
	}
	s.decide(ms, s.slots.Reserve(at(ms), key, limiter.NewRequest(k.priority, nested, time.Duration(k.maxWait)*time.Millisecond)))
}

func (s *scarce) decide(ms int, d limiter.Decision) {
	switch r := s.runs[d.Key()]; {
	case d.Status() == limiter.Denied:
		s.end(d.Key(), false)
	case d.Status() == limiter.Granted:
		s.slots.Start(at(ms), d.Key())
		end := ms + int(float64(kinds[r.kind].serviceTime)*(0.7+0.6*s.random.Float64()))
		s.ends[end] = append(s.ends[end], d.Key())
	}
}

func (s *scarce) end(key limiter.Key, served bool) {
	r := s.runs[key]
	delete(s.runs, key)
	r.failed = r.failed || !served
	if r.pending--; r.pending == 0 {
		s.count(r)
	}
}

func (s *scarce) count(r *run) {
	switch {
	case r.startedAt < 15_000:
	case !r.failed:
		s.served[r.kind]++
	case r.kind == report:
		s.wasted++
	}
}

func (s *scarce) share(kind int) float64 { return s.served[kind] / s.asked[kind] }

// maxAhead is how much more often a kind may be served than one at least as urgent.
const maxAhead = 0.05

// TestScarceServiceCalledByLessUrgentRoute_ServesMoreUrgentFirst guards against a service
// whose more urgent callers are refused while a less urgent route takes its slots by calls,
// also after half of its servers have ended, and against a route that is reduced although
// none more urgent is short of room: a run takes less of the scarce service than a request
// of its equals, so reducing it for their sake serves fewer callers. It shows the served
// shares with and without the limit on started runs.
func TestScarceServiceCalledByLessUrgentRoute_ServesMoreUrgentFirst(t *testing.T) {
	for name, l := range map[string]load{
		"busy":     {factor: 0.9, reportPriority: 2},
		"scarce":   {factor: 1.5, reportPriority: 2},
		"half end": {factor: 0.9, reportPriority: 2, halfEnd: true},
	} {
		before, after := play(1, l, false), play(1, l, true)
		t.Logf("%s: served uploads %.3f, purchases %.3f, reports %.3f; limited %.3f, %.3f, %.3f", name, before.share(upload), before.share(purchase),
			before.share(report), after.share(upload), after.share(purchase), after.share(report))
		must.Less(t, after.share(upload)+maxAhead, after.share(report))
		must.GreaterEq(t, before.share(upload)-0.01, after.share(upload))
		must.GreaterEq(t, before.share(purchase)-0.01, after.share(purchase))
		must.Less(t, 0.001, after.wasted/after.asked[report])
		if before.share(report) < before.share(upload)+maxAhead {
			must.Greater(t, before.share(report)-0.02, after.share(report))
		}
	}
}

// TestScarceServiceCalledByMoreUrgentRoute_IsNotReduced guards against urgent runs that are
// refused for the sake of less urgent callers of the scarce service.
func TestScarceServiceCalledByMoreUrgentRoute_IsNotReduced(t *testing.T) {
	s := play(1, load{factor: 1.5}, true)
	must.Greater(t, 0.98, s.share(report))
}

// TestAllowance_FallsAndReturns guards against an allowance that jumps, that never returns
// once nothing is heard of the called service any more, or that ends a route altogether.
func TestAllowance_FallsAndReturns(t *testing.T) {
	c := downstream.New()
	must.Eq(t, 1, c.Allowance(at(0), "report"))
	before := 1.0
	for ms := 0; ms < 10_000; ms += 100 {
		c.RecordRun(at(ms), "report")
		c.RecordCall(at(ms), "report", "scarce")
		c.RecordPressure(at(ms), "report", "scarce", 1)
		must.GreaterEq(t, before*0.9, c.Allowance(at(ms), "report"))
		before = c.Allowance(at(ms), "report")
	}
	must.Eq(t, 0.3, c.Allowance(at(10_000), "report"))
	must.Between(t, 660*time.Millisecond, c.RetryAfter(at(10_000), "report"), 670*time.Millisecond)
	started := 0
	for n := range 10_000 {
		if c.Admits(at(10_000), "report", fmt.Sprint("id-", n)) {
			started++
		}
	}
	must.Between(t, 2800, started, 3200)
	for ms := 10_000; ms <= 24_000; ms += 500 {
		c.Allowance(at(ms), "report")
	}
	must.Eq(t, 1, c.Allowance(at(24_000), "report"))
}

// TestAllowance_FollowsHowOftenRunsCall guards against a route that is refused because of a
// service that one in twenty of its runs calls.
func TestAllowance_FollowsHowOftenRunsCall(t *testing.T) {
	c := downstream.New()
	for ms := 0; ms < 10_000; ms += 10 {
		c.RecordRun(at(ms), "page")
		if ms%200 == 0 {
			c.RecordCall(at(ms), "page", "scarce")
			c.RecordPressure(at(ms), "page", "scarce", 0.8)
		}
	}
	must.Greater(t, 0.9, c.Allowance(at(10_000), "page"))
}

// TestCalledServiceFallsSilent_PressureIsGoneAfterTwoSeconds guards against a busy route that is
// reduced for long after the last reply of the called service, since many replies weigh more than
// one.
func TestCalledServiceFallsSilent_PressureIsGoneAfterTwoSeconds(t *testing.T) {
	c := downstream.New()
	c.RecordRun(at(0), "report")
	for ms := 0; ms < 4000; ms += 5 {
		c.RecordCall(at(ms), "report", "stock")
		c.RecordPressure(at(ms), "report", "stock", 1)
	}
	must.Eq(t, 0.3, c.Allowance(at(4000), "report"))
	for ms := 4000; ms < 8400; ms += 50 {
		c.Allowance(at(ms), "report")
	}
	pressure, _ := c.Pressure(at(6000), "report")
	must.Eq(t, 0, pressure)
	must.Eq(t, 1, c.Allowance(at(8400), "report"))
}

// TestPressureThatIsNoShare_IsBounded guards against a route that is no longer reduced, or is
// reduced for ever, after a peer has stated a pressure that is no share.
func TestPressureThatIsNoShare_IsBounded(t *testing.T) {
	for _, faulty := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
		c := downstream.New()
		c.RecordRun(at(0), "report")
		c.RecordCall(at(0), "report", "stock")
		c.RecordPressure(at(0), "report", "stock", faulty)
		pressure, _ := c.Pressure(at(0), "report")
		must.Between(t, 0, pressure, 1, must.Sprint(faulty))
		for ms := 3000; ms < 5000; ms += 10 {
			c.RecordPressure(at(ms), "report", "stock", 0.5)
		}
		pressure, _ = c.Pressure(at(5000), "report")
		must.Between(t, 0.3, pressure, 0.51, must.Sprint(faulty))
	}
}
