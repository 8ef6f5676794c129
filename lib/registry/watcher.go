package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/task"
)

const (
	// watchTimeout is how long one call waits for changes. It is short, since a store
	// may omit changes from a watch that it keeps open.
	watchTimeout = 700 * time.Millisecond
	// watchPause is the minimum time between two watches of the fleet. A change made
	// within it is returned at the start of the next watch.
	watchPause = 300 * time.Millisecond
	// peerWatchMargin is how much longer than watchTimeout the watch of a peer may
	// take before another node starts one.
	peerWatchMargin = 150 * time.Millisecond
	// watchDelayMean is the mean time after watchPause until the first node of the
	// fleet starts the next watch. It is several times the latency between data
	// centres, so that usually only one node starts.
	watchDelayMean  = 30 * time.Millisecond
	peerWatchBuffer = 16 // messages
	minRetryDelay   = 100 * time.Millisecond
	// maxRetryDelay is the longest backoff of a single node during an outage of the
	// store.
	maxRetryDelay = 2 * time.Second
	// outageDelayMean is the mean time until the first node of the fleet retries
	// during an outage of the store.
	outageDelayMean = 250 * time.Millisecond
	// maxOutageDelay is the longest time until a node of the fleet retries.
	maxOutageDelay = 10 * time.Second
)

// Update holds what a watcher received: all records, or changes to them.
type Update struct {
	records  []Record
	version  uint64
	full     bool
	eraStart uint64
}

// NewUpdate returns an update as of a version of the store. A full update contains
// all records.
func NewUpdate(records []Record, version uint64, full bool) Update {
	return Update{records: records, version: version, full: full}
}

// Records returns the records.
func (u Update) Records() []Record { return u.records }

// Version returns the version of the store after the update.
func (u Update) Version() uint64 { return u.version }

// Full reports whether the update contains all records.
func (u Update) Full() bool { return u.full }

// Watcher is the task that keeps a node up to date with the store. Nodes take
// turns watching: a node tells its peers when it starts and ends a watch, and they
// start none in between. Nodes exchange the changes that a watch returns, so that
// the number of calls to the store does not grow with the fleet.
type Watcher struct {
	store         *Store
	clock         clockwork.Clock
	wakeups       chan struct{}
	peerWatches   chan peerWatch
	failures      chan struct{}
	share         func() float64
	announce      func(started bool)
	update        func(Update)
	observeResult func(err error)
	reportWatch   func(Watch)
	healthy       bool            // whether the last call to the store succeeded
	activePeer    string          // the peer whose watch is waited for, "" for none
	overduePeers  map[string]bool // peers whose last watch did not end in time
}

// Watch describes a watch of the store that has ended.
type Watch struct {
	announced bool
	idle      time.Duration
	took      time.Duration
	records   int
	err       error
}

// Announced reports whether the peers were told of the watch.
func (w Watch) Announced() bool { return w.announced }

// Idle returns the time from the end of the node's previous call to the start of this one.
func (w Watch) Idle() time.Duration { return w.idle }

// Took returns how long the watch took.
func (w Watch) Took() time.Duration { return w.took }

// Records returns the number of changes that the watch returned.
func (w Watch) Records() int { return w.records }

// Err returns why the watch failed, nil if it did not.
func (w Watch) Err() error { return w.err }

// peerWatch reports that a peer has started or ended a watch.
type peerWatch struct {
	peer    string
	started bool
}

// NewWatcher returns a watcher. share returns the fraction of the fleet's watches
// that this node should make, above 0 and up to 1. announce tells the peers that a
// watch has started or ended. update receives records. observeResult receives the
// error of each call: nil for success, a *HistoryLostError when changes are no longer
// available, and an *EraChangedError when the store was restored to an older state.
func NewWatcher(store *Store, clock clockwork.Clock, share func() float64, announce func(started bool), update func(Update), observeResult func(error)) *Watcher {
	return &Watcher{
		store: store, clock: clock, wakeups: make(chan struct{}, 1), peerWatches: make(chan peerWatch, peerWatchBuffer),
		failures: make(chan struct{}, 1), overduePeers: map[string]bool{}, share: share, announce: announce, update: update, observeResult: observeResult,
		reportWatch: func(Watch) {},
	}
}

// ReportWatches has report called, from the task of the watcher, for each watch that has
// ended. It must be called before Run, and report must not block.
func (w *Watcher) ReportWatches(report func(Watch)) { w.reportWatch = report }

// WatchNow starts a watch at once, for example after an outage of the store. It
// never blocks.
func (w *Watcher) WatchNow() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// ReportFailure reports that another call of this node to the store failed. The
// watcher then announces no watch to the peers until one succeeds. It never blocks.
func (w *Watcher) ReportFailure() {
	select {
	case w.failures <- struct{}{}:
	default:
	}
}

// ObservePeerWatch records that a peer has started or ended a watch. It never
// blocks.
func (w *Watcher) ObservePeerWatch(peer string, started bool) {
	select {
	case w.peerWatches <- peerWatch{peer: peer, started: started}:
	default:
	}
}

// Run watches the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	version, synced := uint64(0), false
	backoff := minRetryDelay
	lastEndedAt := w.clock.Now()
	for ctx.Err() == nil {
		startedAt := w.clock.Now()
		records, next, err := w.call(ctx, version, synced)
		if synced {
			w.reportWatch(Watch{announced: w.healthy, idle: startedAt.Sub(lastEndedAt), took: w.clock.Since(startedAt), records: len(records), err: err})
		}
		lastEndedAt = w.clock.Now()
		w.observeResult(err)
		if mustReadAgain(err) {
			synced = false
			continue
		}
		if w.healthy {
			w.announce(false)
		}
		w.healthy = err == nil
		if err != nil {
			w.awaitTurn(ctx, max(backoff/2+rand.N(backoff/2), w.outageDelay()))
			backoff = min(2*backoff, maxRetryDelay)
			continue
		}
		backoff = minRetryDelay
		first := !synced
		if first || len(records) > 0 {
			w.update(Update{records: records, version: next, full: first, eraStart: w.store.eraStart(next)})
		}
		version, synced = max(version, next), true
		if !first && hasConfiguration(records) {
			// Changes to the configuration come in series, and reading a large one takes
			// long, so the next watch starts without waiting for a turn.
			continue
		}
		w.awaitTurn(ctx, watchPause+w.watchDelay())
	}
}

// mustReadAgain reports whether changes cannot be followed from the last version on.
func mustReadAgain(err error) bool {
	var lost *HistoryLostError
	var restored *EraChangedError
	return errors.As(err, &lost) || errors.As(err, &restored)
}

func hasConfiguration(records []Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.kind == KindConfiguration })
}

// outageDelay returns a random time until the next retry during an outage of the
// store. A node without peers does not wait for others and gets 0.
func (w *Watcher) outageDelay() time.Duration {
	share := w.share()
	if share >= 1 {
		return 0
	}
	return min(time.Duration(rand.ExpFloat64()*float64(outageDelayMean)/share), maxOutageDelay)
}

// watchDelay returns a random, exponentially distributed time until the next watch.
// When the shares of all nodes add up to 1, the shortest of their delays is
// watchDelayMean on average, and a node has the shortest with the probability of
// its share.
func (w *Watcher) watchDelay() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(watchDelayMean) / w.share())
}

// call reads all records, or watches for changes after version once all records
// were read.
func (w *Watcher) call(ctx context.Context, version uint64, synced bool) (records []Record, next uint64, err error) {
	defer task.Catch(func(e *task.PanicError) { err = e })
	if !synced {
		return w.store.Read(ctx)
	}
	select {
	case <-w.failures:
		w.healthy = false
	default:
	}
	if w.healthy {
		// Peers do not watch while this node does. A node whose calls fail announces no
		// watch, so that it does not keep its peers from watching.
		w.announce(true)
	}
	return w.store.Watch(ctx, version, watchTimeout)
}

// awaitTurn waits until this node may start its next watch: after d, later when
// peers watch meanwhile, or at once after WatchNow.
func (w *Watcher) awaitTurn(ctx context.Context, d time.Duration) {
	due := w.clock.After(d)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wakeups:
			return
		case <-due:
			if w.activePeer != "" {
				w.overduePeers[w.activePeer] = true
				w.activePeer = ""
			}
			return
		case p := <-w.peerWatches:
			if next := w.handlePeerWatch(p); next > 0 {
				due = w.clock.After(next)
			}
		}
	}
}

// handlePeerWatch records a peer's watch and returns the time until this node may
// start one, or 0 to leave that time unchanged. It waits for one peer at a time, and
// not for a peer whose previous watch is overdue.
func (w *Watcher) handlePeerWatch(p peerWatch) time.Duration {
	if !p.started {
		w.activePeer = ""
		delete(w.overduePeers, p.peer)
		return watchPause + w.watchDelay()
	}
	if w.overduePeers[p.peer] || w.activePeer != "" {
		return 0
	}
	w.activePeer = p.peer
	return watchTimeout + peerWatchMargin + w.watchDelay()
}
