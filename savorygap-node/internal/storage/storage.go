// Package storage starts the tasks that follow the platform's store and keep the
// entry of this node.
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
	// idleTimeout is how long a connection to the store is kept between two turns
	// of a small fleet.
	idleTimeout = 10 * time.Second
	maxIdle     = 2 // connections: one watches, one writes
	buffer      = 4 << 10
)

// String names the step.
func String() string { return "storage" }

// Default fills the settings.
func Default(*settings.Tree) {}

// Run starts the tasks.
func Run(p *process.Process) error {
	t := p.Settings()
	dialer := &net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout,
		ReadBufferSize: buffer, WriteBufferSize: buffer,
	}}
	store := platform.NewStore(t.StoreAddress(), client, p.Metrics().ObserveStoreCall)
	health := &health{process: p}
	follower := registry.NewWatcher(store, p.Clock(), func() float64 { return p.Fleet().WatchShare() }, func(begins bool) { p.Fleet().AnnounceWatch(begins) },
		func(u registry.Update) { p.Fleet().ApplyUpdate(u) }, health.followed)
	registrar := registry.NewRegistrar(store, p.Clock(), t.Host(), health.wrote)
	p.SetStore(store, registrar, follower)
	return nil
}

// Start starts the tasks once those that they tell are there.
func Start(p *process.Process) {
	p.Go(p.Watcher().Run)
	p.Go(p.Registrar().Run)
}

// health notes when the store is lost and regained. It is told by two tasks.
type health struct {
	process *process.Process
	lost    atomic.Bool
}

func (h *health) followed(err error) {
	var lost *registry.HistoryLostError
	if errors.As(err, &lost) {
		// The store answered; what it cannot tell is read.
		h.process.Log().Write("store-history-lost", "error", err.Error())
		return
	}
	h.note("watch", err)
}

// wrote kicks the watch when the store is back, since a watch that was waiting
// may never hear again.
func (h *health) wrote(err error) {
	var changed *registry.ConflictError
	if errors.As(err, &changed) {
		h.process.Log().Write("member-removal-refused", "error", err.Error())
		return
	}
	if err != nil {
		h.process.Watcher().ReportFailure()
	}
	if h.note("write", err) {
		h.process.Watcher().WatchNow()
	}
}

// note reports whether the store was regained.
func (h *health) note(call string, err error) bool {
	log := h.process.Log()
	switch {
	case err != nil && h.process.Fleet() != nil && !isCancelled(err):
		if h.lost.CompareAndSwap(false, true) {
			log.Write("store-lost", "call", call, "error", err.Error())
		}
	case err == nil && h.lost.CompareAndSwap(true, false):
		log.Write("store-regained", "call", call)
		return true
	}
	return false
}
