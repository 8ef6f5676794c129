package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
	"savorygap.example/savorygap-bench/internal/proxy"
)

const (
	endLimit    = 12 * time.Second
	serverLeave = 4 * time.Second // a server serves on after its leaving was acknowledged
	evacuated   = 7 * time.Second
	slowBy      = 5
	linkDelay   = 30 * time.Millisecond
	storeDelay  = 300 * time.Millisecond
)

// work is one thing that is done to a host or to the store for a while.
type work struct {
	name    string
	planned bool
	store   bool // it befalls the store, for all hosts
	holds   bool // it holds requests up between the node and its server
	run     func(ctx context.Context, s *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration)
}

// plannedWork is what operators and the platform do.
func plannedWork() []work {
	return []work{
		{name: "node restarts", planned: true, run: restartNode},
		{name: "server is replaced", planned: true, run: replaceServer},
		{name: "configuration changes", planned: true, store: true, run: configure},
		{name: "configurations follow one another", planned: true, store: true, run: storm},
		{name: "data centre is evacuated", planned: true, store: true, run: evacuate},
	}
}

// faults is what goes wrong.
func faults() []work {
	return []work{
		{name: "node is killed", run: killNode},
		{name: "node is killed again and again", run: killOften},
		{name: "node is paused", run: pauseNode},
		{name: "server crashes", run: crashServer},
		{name: "server is slow", run: slowServer},
		{name: "server fails", run: failServer},
		{name: "server breaks answers off", run: cutServer},
		{name: "server is cut off", holds: true, run: around(func(h *cluster.Host) { h.ServerProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.ServerProxy().Resume() })},
		{name: "server's connections are reset", run: around(func(h *cluster.Host) { h.ServerProxy().ResetConnections() }, func(*cluster.Host) {})},
		{name: "links are cut", run: around(func(h *cluster.Host) { h.LinkProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are cut one way", run: around(func(h *cluster.Host) { h.LinkProxy().Block(proxy.Upstream) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are slow", run: around(func(h *cluster.Host) { h.LinkProxy().SetDelay(linkDelay) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are silent", run: around(func(h *cluster.Host) { h.LinkProxy().Blackhole() }, func(*cluster.Host) {})},
		{name: "links are reset", run: around(func(h *cluster.Host) { h.LinkProxy().ResetConnections() }, func(*cluster.Host) {})},
		{name: "host is cut from the store", run: around(func(h *cluster.Host) { h.StoreProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.StoreProxy().Resume() })},
		{name: "host's store connections are silent", run: around(func(h *cluster.Host) { h.StoreProxy().Blackhole() }, func(*cluster.Host) {})},
		{name: "store is slow for the host", run: around(func(h *cluster.Host) { h.StoreProxy().SetDelay(storeDelay) }, func(h *cluster.Host) { h.StoreProxy().Resume() })},
		{name: "store is down", store: true, run: storeDown},
		{name: "store loses answers", store: true, run: storeLoses},
		{name: "store forgets its history", store: true, run: storeForgets},
		{name: "store loses the nodes' entries", store: true, run: storeLosesEntries},
		{name: "configuration changes meanwhile", planned: true, store: true, run: configure},
	}
}

// around begins something at a host, waits and ends it.
func around(begin, end func(*cluster.Host)) func(context.Context, *cluster.Cluster, *notes, *cluster.Host, time.Duration) {
	return func(_ context.Context, _ *cluster.Cluster, _ *notes, h *cluster.Host, d time.Duration) {
		begin(h)
		time.Sleep(d)
		end(h)
	}
}

func restartNode(_ context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, _ time.Duration) {
	endNode(n, h, syscall.SIGTERM, 0)
}

func killNode(_ context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration) {
	endNode(n, h, syscall.SIGKILL, d/2)
}

func killOften(_ context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration) {
	for range 3 {
		endNode(n, h, syscall.SIGKILL, d/10)
		time.Sleep(d / 5)
	}
}

func endNode(n *notes, h *cluster.Host, s syscall.Signal, pause time.Duration) {
	if err := h.Signal(s); err != nil {
		n.fail(fmt.Sprintf("signal %s to %s: %v", s, h.Name(), err))
	}
	if err := h.AwaitExit(endLimit); err != nil {
		n.fail(err.Error())
		return
	}
	time.Sleep(pause)
	if err := h.StartNode(); err != nil {
		n.fail(err.Error())
	}
}

func pauseNode(_ context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration) {
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := h.Signal(s); err != nil {
			n.fail(fmt.Sprintf("signal %s to %s: %v", s, h.Name(), err))
		}
		time.Sleep(d / 2)
	}
}

// replaceServer announces that the server leaves, lets it serve on, and starts
// another, as a release does.
func replaceServer(ctx context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, _ time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, endLimit)
	defer cancel()
	instance := h.Server().ID()
	at, ok := h.Drain(ctx)
	if !ok {
		n.fail("leaving of " + instance + " was not acknowledged")
		return
	}
	n.write(func(r *record) { r.leaving = append(r.leaving, leaving{instance: instance, acknowledged: at}) })
	time.Sleep(serverLeave)
	if err := h.AnnounceDeparture(); err != nil {
		n.fail("leaving of " + instance + ": " + err.Error())
	}
	renewServer(n, h, 0)
}

func crashServer(_ context.Context, _ *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration) {
	renewServer(n, h, d)
}

func renewServer(n *notes, h *cluster.Host, pause time.Duration) {
	h.StopServer()
	time.Sleep(pause)
	if err := h.StartServer(); err != nil {
		n.fail(err.Error())
		return
	}
	instance, until := h.Server().ID(), h.ColdUntil()
	n.write(func(r *record) { r.cold = append(r.cold, cold{instance: instance, until: until}) })
}

func slowServer(_ context.Context, _ *cluster.Cluster, _ *notes, h *cluster.Host, d time.Duration) {
	s := h.Server()
	s.SetServiceTime(slowBy * cluster.ServiceTime)
	s.SetReportedSlowness(slowBy * 100)
	time.Sleep(d)
	s.SetServiceTime(cluster.ServiceTime)
	s.SetReportedSlowness(100)
}

func failServer(_ context.Context, _ *cluster.Cluster, _ *notes, h *cluster.Host, d time.Duration) {
	h.Server().SetStatus(http.StatusInternalServerError)
	time.Sleep(d)
	h.Server().SetStatus(http.StatusOK)
}

func cutServer(_ context.Context, _ *cluster.Cluster, _ *notes, h *cluster.Host, d time.Duration) {
	h.Server().SetTruncateBodies(true)
	time.Sleep(d)
	h.Server().SetTruncateBodies(false)
}

func configure(_ context.Context, s *cluster.Cluster, n *notes, _ *cluster.Host, _ time.Duration) {
	version, at := s.PutConfiguration()
	n.write(func(r *record) { r.changes = append(r.changes, change{version: version, acknowledged: at}) })
}

func storm(ctx context.Context, s *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration) {
	for range 5 {
		configure(ctx, s, n, h, d)
		time.Sleep(d / 5)
	}
}

func evacuate(_ context.Context, s *cluster.Cluster, n *notes, h *cluster.Host, _ time.Duration) {
	from := s.SetEvacuated(h.DataCentre(), true)
	time.Sleep(evacuated)
	to := time.Now()
	s.SetEvacuated(h.DataCentre(), false)
	n.write(func(r *record) {
		r.evacuations = append(r.evacuations, evacuation{dataCentre: h.DataCentre(), from: from, to: to})
	})
}

func storeDown(_ context.Context, s *cluster.Cluster, _ *notes, _ *cluster.Host, d time.Duration) {
	s.Store().SetUnavailable(true)
	time.Sleep(d)
	s.Store().SetUnavailable(false)
}

func storeLoses(_ context.Context, s *cluster.Cluster, _ *notes, _ *cluster.Host, d time.Duration) {
	s.Store().SetDropReplies(true)
	time.Sleep(d)
	s.Store().SetDropReplies(false)
}

func storeForgets(_ context.Context, s *cluster.Cluster, _ *notes, _ *cluster.Host, _ time.Duration) {
	s.Store().CompactHistory()
}

func storeLosesEntries(_ context.Context, s *cluster.Cluster, _ *notes, _ *cluster.Host, _ time.Duration) {
	s.Store().RemovePrefix("savorygap/")
}

// length draws how long a work lasts.
func length(rng *rand.Rand) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
