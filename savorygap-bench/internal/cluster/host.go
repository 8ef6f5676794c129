package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/proxy"
)

const (
	// announceInterval is how often a server announces itself.
	announceInterval = 1500 * time.Millisecond
	// announceTimeout is how long a server waits for the acknowledgement.
	announceTimeout = time.Second
	// announceRetryInterval is how soon a failed announcement is repeated.
	announceRetryInterval = 300 * time.Millisecond

	portCallers       = 7000
	portLinks         = 7001
	portReady         = 7002
	portAnnouncements = 7003
	portMetrics       = 7004
	portServer        = 8000
	portLinksProxy    = 7011
	portStoreProxy    = 7012
	portServerProxy   = 8001

	stateReady    = "ready"
	stateDraining = "draining"
)

// Host is a running host: a node process, a fake server and their proxies.
type Host struct {
	cluster     *Cluster
	plan        HostPlan
	name        string
	address     string
	settings    string
	linkProxy   *proxy.Proxy
	storeProxy  *proxy.Proxy
	serverProxy *proxy.Proxy
	node        atomic.Pointer[node]
	server      atomic.Pointer[server]
	serverCount int
	announcing  chan struct{} // semaphore of one: announcements are sent one at a time
	changing    chan struct{} // semaphore of one: the server is started and stopped one at a time
	release     atomic.Pointer[Release]
}

// Release is a version of a server and its faults.
type Release struct {
	version   string
	failEvery int
	slowdown  int
}

// NewRelease returns a version without faults.
func NewRelease(version string) Release { return Release{version: version, slowdown: 1} }

// WithFailures returns the version with every n-th response a failure.
func (r Release) WithFailures(n int) Release {
	r.failEvery = n
	return r
}

// WithSlowdown returns the version with responses that take factor times as long.
func (r Release) WithSlowdown(factor int) Release {
	r.slowdown = factor
	return r
}

// Version returns the version.
func (r Release) Version() string { return r.version }

// ServiceTime returns how long a server of the version takes for a request.
func (r Release) ServiceTime() time.Duration { return time.Duration(r.slowdown) * ServiceTime }

// apply has a server behave as the version does.
func (r Release) apply(s *platformtest.Server) {
	s.SetServiceTime(r.ServiceTime())
	s.SetFailures(r.failEvery, "/")
}

// node is one run of the node process.
type node struct {
	command *exec.Cmd
	exited  chan struct{}
}

// server is one instance of the host's server.
type server struct {
	fake      *platformtest.Server
	stop      func()
	state     atomic.Value // string: a service state, or empty once stopped
	coldUntil time.Time
}

func (c *Cluster) newHost(i int, p HostPlan) (*Host, error) {
	h := &Host{cluster: c, plan: p, name: fmt.Sprintf("host-%d", i+1), address: fmt.Sprintf("127.0.%d.%d", c.plan.subnet, i+1), announcing: make(chan struct{}, 1), changing: make(chan struct{}, 1)}
	none := &server{fake: platformtest.NewServer("none", p.service, Slots, ServiceTime), stop: func() {}}
	none.state.Store("")
	h.server.Store(none)
	if !p.spare {
		h.SetRelease(NewRelease("v1"))
	}
	h.settings = filepath.Join(c.dir, h.name+".yaml")
	var err error
	for _, e := range []struct {
		proxy  **proxy.Proxy
		port   int
		target string
	}{
		{&h.linkProxy, portLinksProxy, h.addressOf(portLinks)}, {&h.storeProxy, portStoreProxy, c.storeAddress}, {&h.serverProxy, portServerProxy, h.addressOf(portServer)},
	} {
		if *e.proxy, err = proxy.Start(c.ctx, h.addressOf(e.port), e.target); err != nil {
			return nil, err
		}
	}
	return h, os.WriteFile(h.settings, fmt.Appendf(nil, `host: %s
ip: %s
dataCentre: %s
region: mu-north
service: %s
server: %q
memoryMegabytes: 284
linkMegabits: 1000
listen: {callers: %q, links: %q, advertised: %q, ready: %q, announcements: %q, metrics: %q}
store: {address: %q}
retries: {ratio: 0.2, least: 58, window: 10s}
drain: {grace: 6s}
quota: {window: 5s, overshoot: 0.1, slack: 20}
rollout: {exposureShare: 0.1, exposureSlack: 50, rollbackAfter: 5s}
`, h.name, h.address, p.dataCentre, p.service, h.serverProxy.Address(), h.addressOf(portCallers), h.addressOf(portLinks), h.linkProxy.Address(),
		h.addressOf(portReady), h.addressOf(portAnnouncements), h.addressOf(portMetrics), h.storeProxy.Address()), 0o600)
}

func (h *Host) addressOf(port int) string { return fmt.Sprintf("%s:%d", h.address, port) }

func (h *Host) logPath() string { return filepath.Join(h.cluster.dir, h.name+".log") }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() string { return h.plan.dataCentre }

// Service returns the service of the host's server.
func (h *Host) Service() string { return h.plan.service }

// CallerAddress returns the host:port on which the node serves callers.
func (h *Host) CallerAddress() string { return h.addressOf(portCallers) }

// LinkProxy returns the proxy between the node and the peers that connect to it.
func (h *Host) LinkProxy() *proxy.Proxy { return h.linkProxy }

// StoreProxy returns the proxy between the node and the store.
func (h *Host) StoreProxy() *proxy.Proxy { return h.storeProxy }

// ServerProxy returns the proxy between the node and its server.
func (h *Host) ServerProxy() *proxy.Proxy { return h.serverProxy }

// Release returns the version of the host's server, and whether it is to have one.
func (h *Host) Release() (r Release, ok bool) {
	if p := h.release.Load(); p != nil {
		return *p, true
	}
	return NewRelease(""), false
}

// SetRelease sets the version of the servers that StartServer starts, and the faults of a
// running one.
func (h *Host) SetRelease(r Release) {
	h.changing <- struct{}{}
	defer func() { <-h.changing }()
	h.release.Store(&r)
	r.apply(h.Server())
}

// RemoveRelease has StartServer start no server, and stops the running one at once.
func (h *Host) RemoveRelease() {
	h.release.Store(nil)
	h.StopServer()
}

// HasServer reports whether the server runs.
func (h *Host) HasServer() bool { return h.server.Load().state.Load() != "" }

// Server returns the current or last instance of the server.
func (h *Host) Server() *platformtest.Server { return h.server.Load().fake }

// ColdUntil returns when the cold start of the current server ends.
func (h *Host) ColdUntil() time.Time { return h.server.Load().coldUntil }

// StartNode starts the node process.
func (h *Host) StartNode() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.cluster.binary, "run", "--settings", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{command: command, exited: make(chan struct{})}
	h.node.Store(n)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

// Signal sends a signal to the node process.
func (h *Host) Signal(s syscall.Signal) error { return h.node.Load().command.Process.Signal(s) }

// PeakMemory returns the largest resident size of the node process so far, in bytes.
func (h *Host) PeakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.node.Load().command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("node %q states no peak of its memory", h.name)
}

// AwaitExit waits until the node process has exited.
func (h *Host) AwaitExit(timeout time.Duration) error {
	select {
	case <-h.node.Load().exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("node %q did not end within %s", h.name, timeout)
	}
}

func (h *Host) stop() {
	if n := h.node.Load(); n != nil {
		_ = n.command.Process.Kill()
		_ = h.AwaitExit(stopTimeout)
	}
	h.StopServer()
}

// Ready reports whether the node answers that it is ready.
func (h *Host) Ready() bool {
	return platformtest.IsReady(h.cluster.ctx, h.cluster.http, h.addressOf(portReady))
}

// StartServer starts a new instance of the server, which begins with a cold start, unless
// one runs or the host is to have none.
func (h *Host) StartServer() error {
	h.changing <- struct{}{}
	defer func() { <-h.changing }()
	release, ok := h.Release()
	if !ok || h.HasServer() {
		return nil
	}
	h.serverCount++
	id := fmt.Sprintf("i-%s-%d", h.name, h.serverCount)
	fake := platformtest.NewServer(id, h.plan.service, Slots, ServiceTime).WithZone(h.plan.dataCentre).WithObserver(func(r platformtest.Execution) {
		h.cluster.executions.add(Execution{execution: r, host: h, instance: id, version: release.version})
	})
	fake.SetVersion(release.version)
	release.apply(fake)
	fake.SetColdMillis(int(ColdDuration.Milliseconds()))
	time.AfterFunc(ColdDuration, func() { fake.SetColdMillis(0) })
	stop, err := fake.Start(h.addressOf(portServer))
	if err != nil {
		return err
	}
	fake.SetAnnouncedAddress(h.serverProxy.Address())
	s := &server{fake: fake, stop: stop, coldUntil: time.Now().Add(ColdDuration)}
	s.state.Store(stateReady)
	h.server.Store(s)
	return nil
}

// StopServer stops the server at once without announcing it, as a crash does.
func (h *Host) StopServer() {
	h.changing <- struct{}{}
	defer func() { <-h.changing }()
	s := h.server.Load()
	s.state.Store("")
	s.stop()
}

// Drain announces the server as draining until the node acknowledges it, the server stops
// or ctx ends. It returns the time of the acknowledgement.
func (h *Host) Drain(ctx context.Context) (acknowledged time.Time, ok bool) {
	s := h.server.Load()
	s.state.CompareAndSwap(stateReady, stateDraining)
	for ctx.Err() == nil && s.state.Load() != "" {
		if h.announceOnce(s) {
			return time.Now(), true
		}
		time.Sleep(announceRetryInterval)
	}
	return time.Time{}, false
}

// AnnounceDeparture announces that an instance of the server has left.
func (h *Host) AnnounceDeparture(s *platformtest.Server) error {
	ctx, cancel := context.WithTimeout(h.cluster.ctx, announceTimeout)
	defer cancel()
	_, err := s.AnnounceDeparture(ctx, h.addressOf(portAnnouncements))
	return err
}

// announceUntilStopped announces the server at regular intervals until the
// cluster stops.
func (h *Host) announceUntilStopped() {
	for h.cluster.ctx.Err() == nil {
		pause := announceInterval
		if s := h.server.Load(); s.state.Load() != "" && !h.announceOnce(s) {
			pause = announceRetryInterval
		}
		time.Sleep(pause)
	}
}

func (h *Host) announceOnce(s *server) bool {
	h.announcing <- struct{}{}
	defer func() { <-h.announcing }()
	ctx, cancel := context.WithTimeout(h.cluster.ctx, announceTimeout)
	defer cancel()
	state, _ := s.state.Load().(string)
	if state == "" {
		return false
	}
	status, err := s.fake.Announce(ctx, h.addressOf(portAnnouncements), state)
	return err == nil && status < http.StatusMultipleChoices
}
