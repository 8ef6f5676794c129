package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/rollout"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
	tick       = 100 * time.Millisecond
	duration   = 15 * time.Second
)

// bounds are those of the deployments.
var bounds = rollout.NewBounds(0.1, 50, 5*time.Second)

// world plays a rollout in virtual time: requests are divided by the policy of the
// rollout among servers, whose responses are bad with a probability that the test sets.
type world struct {
	random     *rand.Rand
	rollout    *rollout.Rollout
	newRollout func() *rollout.Rollout
	start      time.Time
	now        time.Time
	version    uint64
	rate       float64 // requests per second
	routes     int
	old        int
	targets    int
	loss       float64         // probability that a sound server's response is bad
	faulty     map[string]bool // servers that fail half of their requests
	storeAway  func(after time.Duration) bool
	bad        func(after time.Duration, route int, perSecond float64) float64 // of the target version
	badOld     float64                                                         // of the old version
	tallies    map[string]rollout.Tally
	credit     float64
	result     result
	restartAt  time.Duration  // when all nodes restart, 0 for never
	record     rollout.Record // as the store has it
}

// result is what came of a played rollout.
type result struct {
	state       string
	endedAfter  time.Duration
	requests    int
	exposed     int
	badExposed  int
	fiftiethBad time.Duration
	verdict     rollout.Verdict
	steps       []time.Duration
	exposedLate int // requests to the target version after its rollback
}

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), version: 10, rate: 300, routes: 1, old: 23, targets: 12, loss: 0.03,
		faulty: map[string]bool{}, tallies: map[string]rollout.Tally{},
		storeAway: func(time.Duration) bool { return false }, bad: func(time.Duration, int, float64) float64 { return 0 },
	}
	w.now = w.start
	w.newRollout = func() *rollout.Rollout {
		r, err := rollout.New(charts, rollout.NewOrder("shop", newVersion, duration, 10), bounds, w.now)
		must.NoError(t, err)
		return r
	}
	w.rollout = w.newRollout()
	return w
}

// restart has all nodes forget what the store does not have.
func (w *world) restart() {
	w.rollout = w.newRollout()
	w.rollout.MergeRecord(w.now, w.record)
	clear(w.tallies)
}

func (w *world) servers() []rollout.Server {
	var list []rollout.Server
	for i := range w.old {
		list = append(list, rollout.NewServer(fmt.Sprint("old-", i), oldVersion, true))
	}
	for i := range w.targets {
		list = append(list, rollout.NewServer(fmt.Sprint("new-", i), newVersion, true))
	}
	return list
}

// markFaulty has a share of all servers fail half of their requests.
func (w *world) markFaulty(share float64) {
	for _, s := range w.servers() {
		if w.random.Float64() < share {
			w.faulty[s.Node()] = true
		}
	}
}

// play plays the rollout until the deadline.
func (w *world) play() result {
	for w.now.Before(w.start.Add(duration)) {
		w.now = w.now.Add(tick)
		w.playTick()
	}
	w.result.state = w.rollout.State()
	return w.result
}

func (w *world) playTick() {
	after, servers := w.now.Sub(w.start), w.servers()
	if w.restartAt > 0 && after >= w.restartAt {
		w.restartAt = 0
		w.restart()
	}
	w.sendRequests(after, servers)
	for _, t := range w.tallies {
		w.rollout.MergeTally(t)
	}
	if v, bad := w.rollout.Judge(w.now, servers); bad {
		w.result.verdict, w.result.endedAfter = v, after
	}
	action := w.rollout.Next(w.now, servers)
	if action.Kind() == rollout.None || w.storeAway(after) {
		return
	}
	w.version++
	w.record = action.Record().WithVersion(w.version)
	w.rollout.MergeRecord(w.now, w.record)
	w.result.steps = append(w.result.steps, after)
	if w.rollout.IsComplete() {
		w.result.endedAfter = after
	}
}

func (w *world) sendRequests(after time.Duration, servers []rollout.Server) {
	policy := w.rollout.Policy(servers, oldVersion)
	used := map[string][]rollout.Server{}
	for _, s := range servers {
		for _, v := range []string{oldVersion, newVersion} {
			if policy.Uses(v, s.Node(), s.Release()) {
				used[v] = append(used[v], s)
			}
		}
	}
	for w.credit += w.rate * tick.Seconds(); w.credit >= 1; w.credit-- {
		version := policy.Base()
		if policy.Target() != "" && w.random.Float64() < policy.Share() {
			version = policy.Target()
		}
		list := used[version]
		if len(list) == 0 {
			list = used[policy.Base()]
		}
		if len(list) == 0 {
			continue
		}
		s := list[w.random.IntN(len(list))]
		w.respond(after, s, w.rate*max(policy.Share(), 0)/float64(max(len(used[newVersion]), 1)))
	}
}

// respond counts the response of a server that gets perSecond requests.
func (w *world) respond(after time.Duration, s rollout.Server, perSecond float64) {
	route := w.random.IntN(w.routes)
	p := w.loss
	if w.faulty[s.Node()] {
		p = max(p, 0.5)
	}
	isTarget := s.Release() == newVersion
	if isTarget {
		p = max(p, w.bad(after, route, perSecond))
	} else {
		p = max(p, w.badOld)
	}
	bad := w.random.Float64() < p
	t, ok := w.tallies[s.Node()]
	if !ok {
		t = rollout.NewTally(s.Node(), s.Release(), "i-"+s.Node())
	}
	w.tallies[s.Node()] = t.Add(fmt.Sprint("/route-", route), bad)
	w.result.requests++
	if !isTarget {
		return
	}
	w.result.exposed++
	if w.rollout.IsRolledBack() {
		w.result.exposedLate++
	}
	if bad {
		if w.result.badExposed++; w.result.badExposed == 50 {
			w.result.fiftiethBad = after
		}
	}
}

// mustBeRolledBack checks a played rollout of a bad version against the bounds.
func mustBeRolledBack(t *testing.T, r result, name string) {
	t.Helper()
	must.Eq(t, "rolledBack", r.state, must.Sprint(name, r))
	must.LessEq(t, 0.1*float64(r.requests)+50, float64(r.exposed), must.Sprint(name, r))
	must.Eq(t, 0, r.exposedLate, must.Sprint(name))
	if r.fiftiethBad > 0 {
		must.LessEq(t, 5*time.Second, r.endedAfter-r.fiftiethBad, must.Sprint(name))
	}
}
