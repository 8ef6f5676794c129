// Package storage starts the tasks that watch the platform's store and maintain
// this node's entry in it.
package storage

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"savorygap.example/lib/registry"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to the store is kept. In a small
	// fleet it covers the time between two turns of a node to watch the store.
	idleTimeout     = 10 * time.Second
	maxIdleConns    = 2 // one for the watch, one for writes
	connBufferBytes = 4 << 10
)

// String returns the name of the step.
func String() string { return "storage" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run creates the tasks, which Start starts.
func Run(p *process.Process) error {
	t := p.Settings()
	dialer := &net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
	}}
	store := platform.NewStore(t.StoreAddress(), client, p.Metrics().ObserveStoreCall, func(call string, err error) {
		p.Log().Write("store-item-unreadable", "call", call, "error", err.Error())
	})
	monitor := &availability{process: p}
	watcher, err := registry.NewWatcher(store, p.Charts(), p.Clock(), func() registry.Share { return p.Fleet().WatchShare() },
		func(phase registry.WatchPhase) { p.Fleet().AnnounceWatch(phase) }, func(u registry.Update) { p.Fleet().ApplyUpdate(u) }, monitor.observeWatch)
	if err != nil {
		return err
	}
	watcher.ReportWatches(func(w registry.Watch) { logWatch(p, w) })
	registrar := registry.NewRegistrar(store, p.Clock(), t.Host(), monitor.observeWrite)
	p.SetStore(store, registrar, watcher)
	return nil
}

func logWatch(p *process.Process, w registry.Watch) {
	fields := []any{"turn", w.Turn(), "announced", w.Announced(), "idle_ms", w.Idle().Milliseconds(), "took_ms", w.Took().Milliseconds(), "records", w.Records()}
	if err := w.Err(); err != nil {
		fields = append(fields, "error", err.Error())
	}
	p.Log().Write("store-watch", fields...)
}

// Start starts the tasks. The tasks that they notify must exist.
func Start(p *process.Process) {
	p.Go(p.Watcher().Run)
	p.Go(p.Registrar().Run)
}

// availability logs when the store becomes unavailable and when it is available
// again. The watcher and the registrar report their results to it.
type availability struct {
	process     *process.Process
	unavailable atomic.Bool
}

func (a *availability) observeWatch(err error) {
	var restored *registry.EraChangedError
	if errors.As(err, &restored) {
		a.process.Log().Write("store-restored", "error", err.Error())
		a.process.Metrics().CountStoreRestore()
		return
	}
	var historyLost *registry.HistoryLostError
	if errors.As(err, &historyLost) {
		// The store answered; the watcher reads all records again.
		a.process.Log().Write("store-history-lost", "error", err.Error())
		return
	}
	a.record("watch", err)
}

// observeWrite records the result of a write. When the store is available again, it
// starts the next watch at once, since a watch that was started during the outage
// may never get a reply.
func (a *availability) observeWrite(err error) {
	var conflict *registry.ConflictError
	if errors.As(err, &conflict) {
		a.process.Log().Write("member-removal-refused", "error", err.Error())
		return
	}
	if err != nil {
		a.process.Watcher().ReportFailure()
	}
	if a.record("write", err) {
		a.process.Watcher().WatchNow()
	}
}

// record records the result of a call and reports whether the store is available
// again.
func (a *availability) record(call string, err error) bool {
	log := a.process.Log()
	switch {
	case err != nil && a.process.Fleet() != nil && !isCancelled(err):
		if a.unavailable.CompareAndSwap(false, true) {
			log.Write("store-lost", "call", call, "error", err.Error())
		}
	case err == nil && a.unavailable.CompareAndSwap(true, false):
		log.Write("store-regained", "call", call)
		return true
	}
	return false
}
