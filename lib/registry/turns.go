package registry

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
)

const (
	// watchPause is the minimum time between two watches of the fleet. A change made
	// within it is returned at the start of the next watch.
	watchPause = 300 * time.Millisecond
	// peerWatchMargin is how much longer than watchTimeout the watch of a peer may
	// take before another node starts one.
	peerWatchMargin = 150 * time.Millisecond
	// startDelayMean is the mean time until the first node of the fleet starts a watch
	// once any may. It is several times the latency between data centres, so that
	// usually only one node starts.
	startDelayMean = 30 * time.Millisecond
	// preferenceTime is how long nodes with fast links are preferred. If none of them
	// has started a watch by then, any node may.
	preferenceTime = 150 * time.Millisecond
	// checkMargin is how long nodes wait for the reply to the check of a peer.
	checkMargin = 50 * time.Millisecond
	// outageDelayMean is the mean time until the first node of the fleet retries
	// during an outage of the store.
	outageDelayMean = 250 * time.Millisecond
	// maxOutageDelay is the longest time until a node of the fleet retries.
	maxOutageDelay = 10 * time.Second

	eventStarted chart.Event = "started"
	eventEnded   chart.Event = "ended"
	eventFailed  chart.Event = "failed"
	eventOverdue chart.Event = "overdue"

	stateWatched chart.State = "watched"
	tagChecking  chart.Tag   = "checking"
)

// turns decides when a node starts its next watch, from what its peers announce and the
// results of its own calls. It belongs to the task of the watcher.
type turns struct {
	machine      *chart.Machine
	clock        clockwork.Clock
	share        func() Share
	due          time.Time       // when the node may start a watch, or the watch of activePeer is overdue
	healthy      bool            // whether the last call of this node succeeded
	activePeer   string          // the peer whose watch is waited for
	overduePeers map[string]bool // peers whose last watch did not end in time
}

func newTurns(charts *chart.Set, clock clockwork.Clock, share func() Share) (*turns, error) {
	watch, err := charts.Chart("watch")
	if err != nil {
		return nil, err
	}
	t := &turns{clock: clock, share: share, overduePeers: map[string]bool{}}
	t.machine, err = watch.NewMachine(chart.Actions{"awaitEnd": t.awaitEnd, "awaitTurn": t.awaitTurn, "contest": t.contest, "yield": t.yield})
	return t, err
}

func (t *turns) state() string { return string(t.machine.State()) }

// isChecking reports whether the next call only checks whether the store can be reached.
func (t *turns) isChecking() bool { return t.machine.HasTag(tagChecking) }

// handlePeer handles what a peer announces of its watch.
func (t *turns) handlePeer(p peerWatch) {
	if p.phase == WatchStarted {
		t.handleStart(p.peer)
		return
	}
	wasOverdue := t.overduePeers[p.peer]
	delete(t.overduePeers, p.peer)
	isOther := t.machine.State() == stateWatched && p.peer != t.activePeer
	switch {
	case p.phase == WatchFailed && (wasOverdue || isOther):
		// Another watch than the one that is waited for has failed.
	case wasOverdue && !t.isChecking():
		// A late reply is no news while the store is known to reply.
	default:
		t.fire(p.phase.event())
	}
}

// handleStart waits for the watch of a peer, but not for one whose previous watch is
// overdue. The check of a peer counts as overdue at once, since other nodes check the
// store meanwhile.
func (t *turns) handleStart(peer string) {
	if t.overduePeers[peer] || !t.machine.Accepts(eventStarted) {
		return
	}
	if t.isChecking() {
		t.overduePeers[peer] = true
	}
	t.activePeer = peer
	t.fire(eventStarted)
}

// endOwn records the end of a call of this node.
func (t *turns) endOwn(phase WatchPhase) {
	t.healthy = phase == WatchEnded
	t.fire(phase.event())
}

// handleDue handles that the time due has come, and reports whether this node may start a
// watch. It may not yet if the watch of a peer has become overdue.
func (t *turns) handleDue() bool {
	if t.machine.State() != stateWatched {
		return true
	}
	t.overduePeers[t.activePeer] = true
	t.fire(eventOverdue)
	return false
}

// retryAfter sets the time of the next call after one has failed: not before the given
// time, and later in a large fleet.
func (t *turns) retryAfter(least time.Duration) {
	t.due = t.clock.Now().Add(max(least, t.outageDelay()))
}

// fire passes an event to the chart unless the current state ignores it. Fire then cannot
// fail.
func (t *turns) fire(e chart.Event) {
	if t.machine.Accepts(e) {
		_ = t.machine.Fire(e)
	}
}

func (t *turns) awaitEnd() { t.due = t.clock.Now().Add(watchTimeout + peerWatchMargin) }

func (t *turns) awaitTurn() {
	t.due = t.clock.Now().Add(watchPause + t.preferredDelay(startDelayMean, preferenceTime))
}

// contest has a healthy node check the store soon. Another one keeps to its backoff.
func (t *turns) contest() {
	now := t.clock.Now()
	switch {
	case t.healthy:
		t.due = now.Add(t.equalDelay(startDelayMean))
	case !t.due.After(now):
		t.retryAfter(0)
	}
}

func (t *turns) yield() {
	if t.healthy {
		t.due = t.clock.Now().Add(checkMargin + t.equalDelay(startDelayMean))
	}
}

// outageDelay returns a random time until the next retry during an outage of the
// store. A node without peers does not wait for others and gets 0.
func (t *turns) outageDelay() time.Duration {
	if t.share().equal >= 1 {
		return 0
	}
	return min(t.preferredDelay(outageDelayMean, outageDelayMean), maxOutageDelay)
}

// preferredDelay returns a random delay after which nodes with fast links usually start
// first. The first node of the fleet starts after mean on average. Any node may be the
// first after the time preference, since those with fast links may not reach the store.
func (t *turns) preferredDelay(mean, preference time.Duration) time.Duration {
	return min(exponential(mean, t.share().preferred), preference+t.equalDelay(mean))
}

// equalDelay returns a random delay after which any node is as likely to start first.
func (t *turns) equalDelay(mean time.Duration) time.Duration {
	return exponential(mean, t.share().equal)
}

// exponential returns an exponentially distributed delay. When the shares of all nodes add
// up to 1, the shortest of their delays is mean on average, and a node has the shortest
// with the probability of its share.
func exponential(mean time.Duration, share float64) time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(mean) / share)
}
