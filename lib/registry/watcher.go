package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/task"
)

const (
	// watchTimeout is how long one call waits for changes. It is short, since a store
	// may omit changes from a watch that it keeps open.
	watchTimeout = 700 * time.Millisecond
	// checkTimeout is how long a call waits for changes that checks whether the store can
	// be reached. A store that can be reached replies at once.
	checkTimeout    = time.Millisecond
	peerWatchBuffer = 16 // messages
	minRetryDelay   = 100 * time.Millisecond
	// maxRetryDelay is the longest backoff of a single node during an outage of the
	// store.
	maxRetryDelay = 2 * time.Second
)

// Watcher is the task that keeps a node up to date with the store. Nodes take
// turns watching: a node tells its peers when it starts and ends a watch, and they
// start none in between. Nodes exchange the changes that a watch returns, so that
// the number of calls to the store does not grow with the fleet. The chart "watch"
// holds the turns.
type Watcher struct {
	store         *Store
	clock         clockwork.Clock
	wakeups       chan struct{}
	peerWatches   chan peerWatch
	failures      chan struct{}
	turns         *turns
	announce      func(WatchPhase)
	update        func(Update)
	observeResult func(err error)
	reportWatch   func(Watch)
	version       uint64        // from which the next watch continues
	synced        bool          // whether all records were read
	backoff       time.Duration // after the next failed call
	lastEndedAt   time.Time     // when the last call ended
}

// NewWatcher returns a watcher. share returns the share of the fleet's watches that
// this node should make. announce tells the peers that a watch has started, ended or
// failed. update receives records. observeResult receives the error of each call: nil
// for success, a *HistoryLostError when changes are no longer available, and an
// *EraChangedError when the store was restored to an older state.
func NewWatcher(store *Store, charts *chart.Set, clock clockwork.Clock, share func() Share, announce func(WatchPhase), update func(Update), observeResult func(error)) (*Watcher, error) {
	t, err := newTurns(charts, clock, share)
	if err != nil {
		return nil, err
	}
	return &Watcher{
		store: store, clock: clock, wakeups: make(chan struct{}, 1), peerWatches: make(chan peerWatch, peerWatchBuffer),
		failures: make(chan struct{}, 1), turns: t, announce: announce, update: update, observeResult: observeResult,
		reportWatch: func(Watch) {}, backoff: minRetryDelay, lastEndedAt: clock.Now(),
	}, nil
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

// ObservePeerWatch records that a watch of a peer has started, ended or failed. It
// never blocks.
func (w *Watcher) ObservePeerWatch(peer string, phase WatchPhase) {
	select {
	case w.peerWatches <- peerWatch{peer: peer, phase: phase}:
	default:
	}
}

// Run watches the store until ctx ends. After a panic it goes on with the next call.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.runTurn(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.clock.After(minRetryDelay):
		}
	}
}

// runTurn makes one call and waits until the next may start. It reports false after a panic.
func (w *Watcher) runTurn(ctx context.Context) (ok bool) {
	defer task.Catch(func(e *task.PanicError) { w.observeResult(e) })
	turn, isCheck, startedAt := w.turns.state(), w.turns.isChecking(), w.clock.Now()
	records, next, err := w.call(ctx)
	if w.synced {
		w.reportWatch(Watch{turn: turn, announced: w.turns.healthy, idle: startedAt.Sub(w.lastEndedAt), took: w.clock.Since(startedAt), records: len(records), err: err})
	}
	w.lastEndedAt = w.clock.Now()
	w.observeResult(err)
	if mustReadAgain(err) {
		w.synced = false
		return true
	}
	w.endCall(err)
	if err != nil {
		w.turns.retryAfter(w.backoff/2 + rand.N(w.backoff/2))
		w.awaitTurn(ctx)
		w.backoff = min(2*w.backoff, maxRetryDelay)
		return true
	}
	w.backoff = minRetryDelay
	first := !w.synced
	if first || len(records) > 0 {
		w.update(Update{records: records, version: next, full: first, eraStart: w.store.eraStart(next)})
	}
	w.version, w.synced = max(w.version, next), true
	// The next watch may start without waiting for a turn. After a check, this node is known
	// to reach the store. Changes to the configuration come in series, and reading a large
	// one takes long.
	if first || !isCheck && !hasConfiguration(records) {
		w.awaitTurn(ctx)
	}
	return true
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

// call reads all records, or watches for changes once all records were read.
func (w *Watcher) call(ctx context.Context) (records []Record, next uint64, err error) {
	defer task.Catch(func(e *task.PanicError) { err = e })
	if !w.synced {
		return w.store.Read(ctx)
	}
	select {
	case <-w.failures:
		w.turns.healthy = false
	default:
	}
	if w.turns.healthy {
		// Peers do not watch while this node does. A node whose calls fail announces no
		// watch, so that it does not keep its peers from watching.
		w.announce(WatchStarted)
	}
	if w.turns.isChecking() {
		return w.store.Watch(ctx, w.version, checkTimeout)
	}
	return w.store.Watch(ctx, w.version, watchTimeout)
}

// endCall records the result of a call, and tells the peers if they were told of its
// start.
func (w *Watcher) endCall(err error) {
	phase := WatchEnded
	if err != nil {
		phase = WatchFailed
	}
	if w.turns.healthy {
		w.announce(phase)
	}
	w.turns.endOwn(phase)
}

// awaitTurn waits until this node may start its next watch. WatchNow ends the wait.
func (w *Watcher) awaitTurn(ctx context.Context) {
	for {
		timer := w.clock.NewTimer(w.turns.due.Sub(w.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wakeups:
			timer.Stop()
			return
		case <-timer.Chan():
			if w.turns.handleDue() {
				return
			}
		case p := <-w.peerWatches:
			timer.Stop()
			w.turns.handlePeer(p)
		}
	}
}
