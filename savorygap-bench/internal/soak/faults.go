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
	exitTimeout      = 12 * time.Second
	drainPeriod      = 4 * time.Second // a server still serves after its drain was acknowledged
	evacuationLength = 7 * time.Second
	slowdown         = 5 // factor on the service time
	linkDelay        = 30 * time.Millisecond
	storeDelay       = 300 * time.Millisecond
)

// operation is a planned operation or a fault, applied to a host or to the store
// for some time.
type operation struct {
	name           string
	planned        bool
	onStore        bool // applied to the store, and so to all hosts
	delaysRequests bool // delays requests between the node and its server
	run            func(ctx context.Context, c *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration)
}

// plannedOperations returns what operators and the platform do in normal operation.
func plannedOperations() []operation {
	return []operation{
		{name: "node restarts", planned: true, run: restartNode},
		{name: "server is replaced", planned: true, run: replaceServer},
		{name: "configuration changes", planned: true, onStore: true, run: configure},
		{name: "configuration changes repeatedly", planned: true, onStore: true, run: configureRepeatedly},
		{name: "data centre is evacuated", planned: true, onStore: true, run: evacuate},
	}
}

// faults returns the faults, and configuration changes to be made during them.
func faults() []operation {
	return []operation{
		{name: "node is killed", run: killNode},
		{name: "node is killed repeatedly", run: killRepeatedly},
		{name: "node is paused", run: pauseNode},
		{name: "server crashes", run: crashServer},
		{name: "server is slow", run: slowServer},
		{name: "server returns errors", run: returnErrors},
		{name: "server truncates responses", run: truncateBodies},
		{name: "server connections are blocked", delaysRequests: true, run: during(func(h *cluster.Host) { h.ServerProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.ServerProxy().Resume() })},
		{name: "server connections are reset", run: during(func(h *cluster.Host) { h.ServerProxy().ResetConnections() }, func(*cluster.Host) {})},
		{name: "links are blocked", run: during(func(h *cluster.Host) { h.LinkProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are blocked in one direction", run: during(func(h *cluster.Host) { h.LinkProxy().Block(proxy.Upstream) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are slow", run: during(func(h *cluster.Host) { h.LinkProxy().SetDelay(linkDelay) }, func(h *cluster.Host) { h.LinkProxy().Resume() })},
		{name: "links are black-holed", run: during(func(h *cluster.Host) { h.LinkProxy().Blackhole() }, func(*cluster.Host) {})},
		{name: "links are reset", run: during(func(h *cluster.Host) { h.LinkProxy().ResetConnections() }, func(*cluster.Host) {})},
		{name: "store connections of the host are blocked", run: during(func(h *cluster.Host) { h.StoreProxy().Block(proxy.Both) }, func(h *cluster.Host) { h.StoreProxy().Resume() })},
		{name: "store connections of the host are black-holed", run: during(func(h *cluster.Host) { h.StoreProxy().Blackhole() }, func(*cluster.Host) {})},
		{name: "store is slow for the host", run: during(func(h *cluster.Host) { h.StoreProxy().SetDelay(storeDelay) }, func(h *cluster.Host) { h.StoreProxy().Resume() })},
		{name: "store is unavailable", onStore: true, run: makeStoreUnavailable},
		{name: "store drops replies", onStore: true, run: dropStoreReplies},
		{name: "store compacts its history", onStore: true, run: compactStoreHistory},
		{name: "store loses the entries of the nodes", onStore: true, run: removeNodeEntries},
		{name: "store is restored to an older state", onStore: true, run: restoreStore},
		{name: "configuration changes during faults", planned: true, onStore: true, run: configure},
	}
}

// during returns a function that begins a fault at a host, waits and ends it.
func during(begin, end func(*cluster.Host)) func(context.Context, *cluster.Cluster, *recorder, *cluster.Host, time.Duration) {
	return func(_ context.Context, _ *cluster.Cluster, _ *recorder, h *cluster.Host, d time.Duration) {
		begin(h)
		time.Sleep(d)
		end(h)
	}
}

func restartNode(_ context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, _ time.Duration) {
	stopAndStartNode(r, h, syscall.SIGTERM, 0)
}

func killNode(_ context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	stopAndStartNode(r, h, syscall.SIGKILL, d/2)
}

func killRepeatedly(_ context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	for range 3 {
		stopAndStartNode(r, h, syscall.SIGKILL, d/10)
		time.Sleep(d / 5)
	}
}

func stopAndStartNode(r *recorder, h *cluster.Host, s syscall.Signal, pause time.Duration) {
	if err := h.Signal(s); err != nil {
		r.fail(fmt.Sprintf("signal %s to %s: %v", s, h.Name(), err))
	}
	if err := h.AwaitExit(exitTimeout); err != nil {
		r.fail(err.Error())
		return
	}
	time.Sleep(pause)
	if err := h.StartNode(); err != nil {
		r.fail(err.Error())
	}
}

func pauseNode(_ context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := h.Signal(s); err != nil {
			r.fail(fmt.Sprintf("signal %s to %s: %v", s, h.Name(), err))
		}
		time.Sleep(d / 2)
	}
}

// replaceServer drains the server, lets it serve for drainPeriod and starts a new
// one, as a release does.
func replaceServer(ctx context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, _ time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, exitTimeout)
	defer cancel()
	server := h.Server()
	instance := server.ID()
	at, ok := h.Drain(ctx)
	if !ok {
		if !h.HasServer() {
			return // a spare host, or the server has been stopped by a rollout
		}
		r.fail(fmt.Sprintf("drain of server %q on %s was not acknowledged within %s", instance, h.Name(), exitTimeout))
		return
	}
	r.update(func(hist *history) {
		hist.departures = append(hist.departures, departure{instance: instance, acknowledged: at})
	})
	time.Sleep(drainPeriod)
	if err := h.AnnounceDeparture(server); err != nil {
		r.fail(fmt.Sprintf("announce departure of server %q on %s: %v", instance, h.Name(), err))
	}
	if h.Server() == server {
		restartServer(r, h, 0)
	}
}

func crashServer(_ context.Context, _ *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	restartServer(r, h, d)
}

func restartServer(r *recorder, h *cluster.Host, pause time.Duration) {
	h.StopServer()
	time.Sleep(pause)
	startServer(r, h)
}

// startServer starts the server of a host, unless it is to have none, and records its cold
// start.
func startServer(r *recorder, h *cluster.Host) {
	if err := h.StartServer(); err != nil {
		r.fail(err.Error())
		return
	}
	instance, until := h.Server().ID(), h.ColdUntil()
	r.update(func(hist *history) {
		hist.coldStarts = append(hist.coldStarts, coldStart{instance: instance, until: until})
	})
}

func slowServer(_ context.Context, _ *cluster.Cluster, _ *recorder, h *cluster.Host, d time.Duration) {
	s := h.Server()
	release, _ := h.Release()
	s.SetServiceTime(slowdown * release.ServiceTime())
	s.SetReportedSlowness(slowdown * 100)
	time.Sleep(d)
	s.SetServiceTime(release.ServiceTime())
	s.SetReportedSlowness(100)
}

func returnErrors(_ context.Context, _ *cluster.Cluster, _ *recorder, h *cluster.Host, d time.Duration) {
	h.Server().SetStatus(http.StatusInternalServerError)
	time.Sleep(d)
	h.Server().SetStatus(http.StatusOK)
}

func truncateBodies(_ context.Context, _ *cluster.Cluster, _ *recorder, h *cluster.Host, d time.Duration) {
	h.Server().SetTruncateBodies(true)
	time.Sleep(d)
	h.Server().SetTruncateBodies(false)
}

func configure(_ context.Context, c *cluster.Cluster, r *recorder, _ *cluster.Host, _ time.Duration) {
	version, at := c.PutConfiguration()
	r.update(func(hist *history) {
		hist.changes = append(hist.changes, configChange{version: version, acknowledged: at})
	})
}

func configureRepeatedly(ctx context.Context, c *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	for range 5 {
		configure(ctx, c, r, h, d)
		time.Sleep(d / 5)
	}
}

func evacuate(_ context.Context, c *cluster.Cluster, r *recorder, h *cluster.Host, _ time.Duration) {
	from := c.SetEvacuated(h.DataCentre(), true)
	time.Sleep(evacuationLength)
	to := time.Now()
	c.SetEvacuated(h.DataCentre(), false)
	r.update(func(hist *history) {
		hist.evacuations = append(hist.evacuations, evacuation{dataCentre: h.DataCentre(), from: from, to: to})
	})
}

func makeStoreUnavailable(_ context.Context, c *cluster.Cluster, _ *recorder, _ *cluster.Host, d time.Duration) {
	c.Store().SetUnavailable(true)
	time.Sleep(d)
	c.Store().SetUnavailable(false)
}

func dropStoreReplies(_ context.Context, c *cluster.Cluster, _ *recorder, _ *cluster.Host, d time.Duration) {
	c.Store().SetDropReplies(true)
	time.Sleep(d)
	c.Store().SetDropReplies(false)
}

func compactStoreHistory(_ context.Context, c *cluster.Cluster, _ *recorder, _ *cluster.Host, _ time.Duration) {
	c.Store().CompactHistory()
}

func removeNodeEntries(_ context.Context, c *cluster.Cluster, _ *recorder, _ *cluster.Host, _ time.Duration) {
	c.Store().RemovePrefix("savorygap/")
}

// randomDuration draws the length of an operation.
func randomDuration(rng *rand.Rand) time.Duration {
	return minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))
}
