package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// followWait is how long one call waits for changes. It is short since a store
	// may leave out changes from a wait that it does not end.
	followWait = 700 * time.Millisecond
	// followPause lies between two turns of the fleet; a change made in it is told
	// at the start of the next turn.
	followPause = 300 * time.Millisecond
	// turnMargin is how much longer than its wait a peer's turn may take before
	// another node begins one.
	turnMargin = 150 * time.Millisecond
	// turnSpread is the mean time until the first node of the fleet begins the next
	// turn. Several messages between data centres fit into it, so that mostly one
	// node begins.
	turnSpread = 30 * time.Millisecond
	turnsHeld  = 16 // peers' turns not yet taken in
	retryMin   = 100 * time.Millisecond
	// lostMax is the longest pause of a node alone while the store is lost.
	lostMax = 2 * time.Second
	// lostSpread is the mean time until the first node of the fleet tries a store
	// that is lost again, and lostMost the longest pause of one of them.
	lostSpread = 250 * time.Millisecond
	lostMost   = 10 * time.Second
)

// Update is what a follower learned: all records, or changes to them.
type Update struct {
	records []Record
	version uint64
	whole   bool
}

// NewUpdate returns an update; whole says that the records are all there are.
func NewUpdate(records []Record, version uint64, whole bool) Update {
	return Update{records: records, version: version, whole: whole}
}

// Records returns the records.
func (u Update) Records() []Record { return u.records }

// Version returns the version of the store.
func (u Update) Version() uint64 { return u.version }

// Full reports whether the records are all there are.
func (u Update) Full() bool { return u.whole }

// Watcher is the task that keeps a node up to date with the store. Nodes take
// turns at waiting for changes: one that begins or ends a turn tells its peers,
// and they begin none meanwhile. What a turn brings, nodes tell each other, so
// that the calls to the store do not grow with the fleet.
type Watcher struct {
	store   *Store
	clock   clockwork.Clock
	kicks   chan struct{}
	turns   chan turn
	lost    chan struct{}
	share   func() float64
	tell    func(begins bool)
	update  func(Update)
	health  func(err error)
	sound   bool
	pending string
	doubted map[string]bool
}

// turn is what a peer said of its turn.
type turn struct {
	peer   string
	begins bool
}

// NewWatcher returns a follower that calls update for what it learns and health
// with the result of each call, also that history was lost. share returns the part of the fleet's turns that
// this node should take, above 0 and up to 1, and tell tells the peers that a turn
// begins or has ended.
func NewWatcher(store *Store, clock clockwork.Clock, share func() float64, tell func(begins bool), update func(Update), health func(error)) *Watcher {
	return &Watcher{
		store: store, clock: clock, kicks: make(chan struct{}, 1), turns: make(chan turn, turnsHeld),
		lost: make(chan struct{}, 1), doubted: map[string]bool{}, share: share, tell: tell, update: update, health: health,
	}
}

// WatchNow begins a turn at once, as after the store was lost. It never blocks.
func (f *Watcher) WatchNow() {
	select {
	case f.kicks <- struct{}{}:
	default:
	}
}

// ReportFailure tells that another call of this node to the store failed: until a turn
// succeeds, the node tells its peers of none. It never blocks.
func (f *Watcher) ReportFailure() {
	select {
	case f.lost <- struct{}{}:
	default:
	}
}

// ObservePeerWatch takes in that a peer begins a turn or has ended one. It never blocks.
func (f *Watcher) ObservePeerWatch(peer string, begins bool) {
	select {
	case f.turns <- turn{peer: peer, begins: begins}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	version, whole := uint64(0), false
	backoff := retryMin
	for ctx.Err() == nil {
		records, next, err := f.call(ctx, version, whole)
		f.health(err)
		var lost *HistoryLostError
		if errors.As(err, &lost) {
			whole = false
			continue
		}
		if f.sound {
			f.tell(false)
		}
		f.sound = err == nil
		if err != nil {
			f.await(ctx, max(backoff/2+rand.N(backoff/2), f.lostPause()))
			backoff = min(2*backoff, lostMax)
			continue
		}
		backoff = retryMin
		first := !whole
		if first || len(records) > 0 {
			f.update(Update{records: records, version: next, whole: first})
		}
		version, whole = max(version, next), true
		if !first && holdsConfiguration(records) {
			// Changes of the configuration come in series, and reading a large one takes
			// long: the next one is not made to wait for another turn.
			continue
		}
		f.await(ctx, followPause+f.spread())
	}
}

func holdsConfiguration(records []Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.kind == KindConfiguration })
}

// lostPause returns how long this node leaves a store alone that turned it away,
// where other nodes try it too.
func (f *Watcher) lostPause() time.Duration {
	share := f.share()
	if share >= 1 {
		return 0
	}
	return min(time.Duration(rand.ExpFloat64()*float64(lostSpread)/share), lostMost)
}

// spread returns a random time. Over nodes whose shares add up to 1, the shortest
// is turnSpread on average, and each node's is the shortest as often as its share
// says.
func (f *Watcher) spread() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(turnSpread) / f.share())
}

// call reads all records, or waits for changes after version.
func (f *Watcher) call(ctx context.Context, version uint64, whole bool) ([]Record, uint64, error) {
	if !whole {
		return f.store.Read(ctx)
	}
	select {
	case <-f.lost:
		f.sound = false
	default:
	}
	if f.sound {
		// A node that the store turns away would keep its peers from their turns.
		f.tell(true)
	}
	return f.store.Watch(ctx, version, followWait)
}

// await waits until the next turn is this node's: after d, unless peers take
// turns meanwhile.
func (f *Watcher) await(ctx context.Context, d time.Duration) {
	due := f.clock.After(d)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.kicks:
			return
		case <-due:
			if f.pending != "" {
				f.doubted[f.pending] = true
				f.pending = ""
			}
			return
		case t := <-f.turns:
			if next := f.hear(t); next > 0 {
				due = f.clock.After(next)
			}
		}
	}
}

// hear takes in a peer's turn and returns when this node's may begin, 0 for no
// change. One turn is waited for at a time. A peer that did not end its last turn
// in time is not waited for again before it ends one.
func (f *Watcher) hear(t turn) time.Duration {
	if !t.begins {
		f.pending = ""
		delete(f.doubted, t.peer)
		return followPause + f.spread()
	}
	if f.doubted[t.peer] || f.pending != "" {
		return 0
	}
	f.pending = t.peer
	return followWait + turnMargin + f.spread()
}
