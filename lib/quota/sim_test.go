package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savorygap.example/lib/quota"
)

const (
	oneWay      = 500 * time.Microsecond // between data centres
	viewDelay   = 20 * time.Millisecond  // from a change of a link to the new view
	floodPeriod = 6 * time.Second
	// maxStall is how long a process with 0.16 of a core waits for processor time, at most.
	maxStall = 84 * time.Millisecond
)

// bounds are those of the deployment with tenants.
var bounds = quota.NewBounds(5*time.Second, 0.1, 20)

// event is something that happens at a time of the simulation. Events of one time happen
// in the order in which they were added.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleetSim runs the nodes of a fleet in virtual time. Messages take oneWay, more if
// the receiver has no processor time, and are lost while one end is cut off.
type fleetSim struct {
	rand     *rand.Rand
	start    time.Time
	now      time.Duration
	queue    eventQueue
	order    int
	nodes    []*simNode
	limits   []quota.Limit
	sent     map[string][]time.Duration // by tenant
	refused  map[string][]time.Duration
	arrived  map[string][]time.Duration
	sources  map[quota.Source]int
	messages int
	slotLost float64 // share of admitted requests that find no slot
	lossRate float64 // share of messages that are lost
	stalls   float64 // share of messages that reach a process without processor time
	lastID   uint64
}

type simNode struct {
	sim      *fleetSim
	name     string
	node     *quota.Node
	accounts map[string]*quota.Account
	limits   []quota.Limit
	alive    bool
	cut      bool
	side     int // of a fleet that is split; messages between two sides are lost
	stopping bool
	era      int // rises with each restart
	linked   map[*simNode]bool
	known    int // members that this node knows of
	tenants  map[uint64]string
	viewDue  bool
	expireAt time.Duration
}

// newFleet returns a fleet whose nodes run and are linked.
func newFleet(seed uint64, size int, limits ...quota.Limit) *fleetSim {
	s := &fleetSim{
		rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1e9, 0), limits: limits,
		sent: map[string][]time.Duration{}, refused: map[string][]time.Duration{}, arrived: map[string][]time.Duration{}, sources: map[quota.Source]int{},
	}
	for range size {
		s.addNode()
	}
	for _, n := range s.nodes {
		n.boot()
		for _, other := range s.nodes {
			if other != n {
				n.linked[other] = true
			}
		}
		n.updateView()
		n.configure(limits)
	}
	return s
}

func (s *fleetSim) addNode() *simNode {
	n := &simNode{sim: s, name: fmt.Sprintf("host-%02d", len(s.nodes))}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *fleetSim) time() time.Time { return s.start.Add(s.now) }

func (s *fleetSim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + d, order: s.order, do: do})
}

// run runs the simulation until the given time.
func (s *fleetSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// between returns a random duration.
func (s *fleetSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)+1))
}

// boot starts a process without links and configuration.
func (n *simNode) boot() {
	n.era++
	n.alive, n.stopping, n.linked, n.tenants, n.accounts, n.limits = true, false, map[*simNode]bool{}, map[uint64]string{}, nil, nil
	n.known, n.expireAt = len(n.sim.nodes), 0
	n.node = quota.NewNode(n.sim.time(), n.name, bounds, n.ask, n.settle, quota.NewObserver(
		func(source quota.Source, credits int) { n.sim.sources[source] += credits }, func(string, quota.Verdict) {}, func(int) {}))
}

func (n *simNode) configure(limits []quota.Limit) {
	n.limits = limits
	n.accounts = n.node.Configure(n.sim.time(), limits)
	n.scheduleExpiry()
}

// inEra runs do unless the process of the node has ended by then.
func (n *simNode) inEra(do func()) func() {
	era := n.era
	return func() {
		if n.alive && n.era == era {
			do()
		}
	}
}

func (n *simNode) updateView() {
	n.viewDue = false
	linked, members := []string{}, n.known
	for _, other := range n.sim.nodes {
		switch {
		case other.stopping:
			members--
		case n.linked[other]:
			linked = append(linked, other.name)
		}
	}
	if n.stopping {
		members++ // it is counted as stopping above and stays in its own view
	}
	n.node.SetView(n.sim.time(), quota.NewView(n.name, linked, members, n.stopping))
	n.scheduleExpiry()
}

func (n *simNode) viewChanged() {
	if !n.viewDue {
		n.viewDue = true
		n.sim.after(viewDelay, n.inEra(n.updateView))
	}
}

// setLinked changes whether n has a link to another node.
func (n *simNode) setLinked(other *simNode, linked bool) {
	if n.alive && n.linked[other] != linked {
		n.linked[other] = linked
		n.viewChanged()
	}
}

// deliver runs do at another node after the way of a message, unless it is lost.
func (n *simNode) deliver(to *simNode, do func()) {
	s := n.sim
	s.messages++
	if n.cut || n.side != to.side || s.rand.Float64() < s.lossRate {
		return
	}
	delay := oneWay
	if s.rand.Float64() < s.stalls {
		delay += s.between(0, maxStall)
	}
	s.after(delay, to.inEra(func() {
		if !to.cut {
			do()
		}
	}))
}

func (n *simNode) ask(to string, q quota.Question) bool {
	i := slices.IndexFunc(n.sim.nodes, func(o *simNode) bool { return o.name == to })
	other := n.sim.nodes[i]
	n.deliver(other, func() {
		a := other.node.Answer(n.sim.time(), q)
		other.deliver(n, func() {
			n.node.HandleAnswer(n.sim.time(), a)
			n.scheduleExpiry()
		})
	})
	return true
}

func (n *simNode) scheduleExpiry() {
	due, ok := n.node.NextTimeout()
	at := due.Sub(n.sim.start)
	if !ok || n.expireAt > n.sim.now && n.expireAt <= at {
		return
	}
	n.expireAt = at
	n.sim.after(at-n.sim.now, n.inEra(func() {
		n.expireAt = 0
		n.node.Expire(n.sim.time())
		n.scheduleExpiry()
	}))
}

// request is a request of a caller of the node.
func (n *simNode) request(tenant string) {
	account, limited := n.accounts[tenant]
	if !n.alive || !limited {
		return
	}
	n.sim.arrived[tenant] = append(n.sim.arrived[tenant], n.sim.now)
	if expiresAt, ok := account.Take(n.sim.time()); ok {
		n.submit(tenant, expiresAt)
		return
	}
	n.sim.lastID++
	n.tenants[n.sim.lastID] = tenant
	n.node.Request(n.sim.time(), tenant, n.sim.lastID)
	n.scheduleExpiry()
}

func (n *simNode) settle(id uint64, v quota.Verdict) {
	tenant := n.tenants[id]
	delete(n.tenants, id)
	if !v.Admitted() {
		n.sim.refused[tenant] = append(n.sim.refused[tenant], n.sim.now)
		return
	}
	n.submit(tenant, v.ExpiresAt())
}

// submit sends a request to a server once it has a slot, or returns its credit.
func (n *simNode) submit(tenant string, expiresAt time.Time) {
	s := n.sim
	if s.rand.Float64() < s.slotLost {
		s.after(s.between(0, 100*time.Millisecond), n.inEra(func() {
			if account, ok := n.accounts[tenant]; ok {
				account.Add(s.time(), 1, expiresAt)
			}
		}))
		return
	}
	wait := s.between(time.Millisecond, 10*time.Millisecond)
	if s.rand.Float64() < 0.1 {
		wait = s.between(0, 300*time.Millisecond) // in the queue of a server
	}
	s.after(wait, n.inEra(func() { s.sent[tenant] = append(s.sent[tenant], s.now) }))
}

// load sends requests of a tenant at random times for a while, perSecond over all nodes
// together. weight gives the part of each node.
func (s *fleetSim) load(tenant string, perSecond float64, from, to time.Duration, weight func(i int) float64) {
	total, sums := 0.0, make([]float64, len(s.nodes))
	for i := range s.nodes {
		total += weight(i)
		sums[i] = total
	}
	for at := from; ; {
		at += time.Duration(s.rand.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		i, _ := slices.BinarySearch(sums, s.rand.Float64()*total)
		s.after(at-s.now, func() { s.nodes[i].request(tenant) })
	}
}

func evenly(int) float64 { return 1 }

// busiest returns the largest number of times within one window, and when it begins.
func busiest(times []time.Duration, from, to time.Duration) (count int, at time.Duration) {
	slices.Sort(times)
	first := 0
	for last, t := range times {
		if t > to {
			break
		}
		for times[first] < from && first < last || t-times[first] >= bounds.Window() {
			first++
		}
		if t >= from && last-first+1 > count {
			count, at = last-first+1, times[first]
		}
	}
	return count, at
}

// within counts the times in a range.
func within(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, t := range times {
		if t >= from && t < to {
			count++
		}
	}
	return count
}
