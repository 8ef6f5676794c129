package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/proxy"
)

const (
	// announceEvery is how often a server announces itself.
	announceEvery = 1500 * time.Millisecond
	// announceTimeout is how long a server waits for the acknowledgement.
	announceTimeout = time.Second
	announceAgain   = 300 * time.Millisecond

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

// Host is one running host.
type Host struct {
	site     *Cluster
	plan     HostPlan
	name     string
	address  string
	settings string
	links    *proxy.Proxy
	storage  *proxy.Proxy
	access   *proxy.Proxy
	node     atomic.Pointer[node]
	server   atomic.Pointer[server]
	serial   int
	telling  chan struct{} // a turn: announcements go out one after the other
}

// node is one process.
type node struct {
	command *exec.Cmd
	ended   chan struct{}
}

// server is one incarnation of the server.
type server struct {
	standIn *platformtest.Server
	stop    func()
	state   atomic.Value // a string
	cold    time.Time
}

func (s *Cluster) newHost(i int, p HostPlan) (*Host, error) {
	h := &Host{site: s, plan: p, name: fmt.Sprintf("host-%d", i+1), address: fmt.Sprintf("127.0.%d.%d", s.plan.subnet, i+1), telling: make(chan struct{}, 1)}
	h.settings = filepath.Join(s.dir, h.name+".yaml")
	var err error
	for _, one := range []struct {
		proxy  **proxy.Proxy
		port   int
		target string
	}{
		{&h.links, portLinksProxy, h.at(portLinks)}, {&h.storage, portStoreProxy, s.address}, {&h.access, portServerProxy, h.at(portServer)},
	} {
		if *one.proxy, err = proxy.Start(s.ctx, h.at(one.port), one.target); err != nil {
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
`, h.name, h.address, p.dataCentre, p.service, h.access.Address(), h.at(portCallers), h.at(portLinks), h.links.Address(),
		h.at(portReady), h.at(portAnnouncements), h.at(portMetrics), h.storage.Address()), 0o600)
}

func (h *Host) at(port int) string { return fmt.Sprintf("%s:%d", h.address, port) }

func (h *Host) logPath() string { return filepath.Join(h.site.dir, h.name+".log") }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// DataCentre returns the data centre.
func (h *Host) DataCentre() string { return h.plan.dataCentre }

// Service returns the service of the host's server.
func (h *Host) Service() string { return h.plan.service }

// CallerAddress returns host:port where callers are served.
func (h *Host) CallerAddress() string { return h.at(portCallers) }

// LinkProxy returns the proxy between this node and the peers that connect to it.
func (h *Host) LinkProxy() *proxy.Proxy { return h.links }

// StoreProxy returns the proxy between this node and the store.
func (h *Host) StoreProxy() *proxy.Proxy { return h.storage }

// ServerProxy returns the proxy between this node and its server.
func (h *Host) ServerProxy() *proxy.Proxy { return h.access }

// Server returns the server that runs now.
func (h *Host) Server() *platformtest.Server { return h.server.Load().standIn }

// ColdUntil returns until when the server that runs now is cold.
func (h *Host) ColdUntil() time.Time { return h.server.Load().cold }

// StartNode starts the node process.
func (h *Host) StartNode() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.site.binary, "run", "--settings", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{command: command, ended: make(chan struct{})}
	h.node.Store(n)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(n.ended)
	}()
	return nil
}

// Signal sends a signal to the node process.
func (h *Host) Signal(s syscall.Signal) error { return h.node.Load().command.Process.Signal(s) }

// AwaitExit waits until the node process has ended.
func (h *Host) AwaitExit(limit time.Duration) error {
	select {
	case <-h.node.Load().ended:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("node %q did not end within %s", h.name, limit)
	}
}

func (h *Host) end() {
	if n := h.node.Load(); n != nil {
		_ = n.command.Process.Kill()
		_ = h.AwaitExit(stopTimeout)
	}
	h.StopServer()
}

// Ready reports whether the node says that it is ready.
func (h *Host) Ready() bool { return platformtest.IsReady(h.site.ctx, h.site.http, h.at(portReady)) }

// StartServer starts a new incarnation of the server, which is cold at first. It
// is called by one goroutine at a time.
func (h *Host) StartServer() error {
	h.serial++
	id := fmt.Sprintf("i-%s-%d", h.name, h.serial)
	standIn := platformtest.NewServer(id, h.plan.service, Slots, ServiceTime).WithZone(h.plan.dataCentre).WithObserver(func(r platformtest.Execution) {
		h.site.ledger.add(Execution{run: r, host: h, instance: id})
	})
	standIn.SetColdMillis(int(ColdDuration.Milliseconds()))
	time.AfterFunc(ColdDuration, func() { standIn.SetColdMillis(0) })
	stop, err := standIn.Start(h.at(portServer))
	if err != nil {
		return err
	}
	standIn.SetAnnouncedAddress(h.access.Address())
	s := &server{standIn: standIn, stop: stop, cold: time.Now().Add(ColdDuration)}
	s.state.Store(stateReady)
	h.server.Store(s)
	return nil
}

// StopServer ends the server at once, as a crash does.
func (h *Host) StopServer() {
	if s := h.server.Load(); s != nil {
		s.state.Store("")
		s.stop()
	}
}

// Drain announces that the server leaves until that is acknowledged, and returns
// when it was.
func (h *Host) Drain(ctx context.Context) (acknowledged time.Time, ok bool) {
	s := h.server.Load()
	s.state.Store(stateDraining)
	for ctx.Err() == nil {
		if h.tell(s) {
			return time.Now(), true
		}
		time.Sleep(announceAgain)
	}
	return time.Time{}, false
}

// AnnounceDeparture tells that the server has left.
func (h *Host) AnnounceDeparture() error {
	ctx, cancel := context.WithTimeout(h.site.ctx, announceTimeout)
	defer cancel()
	_, err := h.Server().AnnounceDeparture(ctx, h.at(portAnnouncements))
	return err
}

// announce announces the server until the site stops.
func (h *Host) announce() {
	for h.site.ctx.Err() == nil {
		pause := announceEvery
		if s := h.server.Load(); s.state.Load() != "" && !h.tell(s) {
			pause = announceAgain
		}
		time.Sleep(pause)
	}
}

func (h *Host) tell(s *server) bool {
	h.telling <- struct{}{}
	defer func() { <-h.telling }()
	ctx, cancel := context.WithTimeout(h.site.ctx, announceTimeout)
	defer cancel()
	status, err := s.standIn.Announce(ctx, h.at(portAnnouncements), s.state.Load().(string))
	return err == nil && status < http.StatusMultipleChoices
}
