package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"savorygap.example/platform/platformtest"
)

// Ports of each host, whose address is its own.
const (
	portCallers       = 7000
	portLinks         = 7001
	portReady         = 7002
	portAnnouncements = 7003
	portMetrics       = 7004
	portServer        = 8000
	portStore         = 7005 // the machine's path to the store, where a case has one
)

const (
	readyTimeout = 20 * time.Second
	// restartDelay is how long a process that was killed is down. The bench takes as long.
	restartDelay = 500 * time.Millisecond
)

// dataCentres are those of the sample deployment.
var dataCentres = []string{"pamplemousses", "riviere-du-rempart", "port-louis"}

// fleet is the hosts of a case, and the store.
type fleet struct {
	binary       string
	dir          string
	subnet       string
	store        *platformtest.Store
	storeAddress string
	stopStore    func()
	record       *record
	hosts        []*host
	runs         chan execution // what servers began to run, or refused
	seen         chan []execution
	ctx          context.Context
	cancel       context.CancelFunc

	// linkMegabits is the bandwidth of the hosts that are added next, and withStoreProxies
	// whether each has its own path to the store.
	linkMegabits     float64
	withStoreProxies bool
}

// host runs a node and the server beside it.
type host struct {
	fleet    *fleet
	name     string
	ip       string
	service  string
	settings string
	proxy    *storeProxy // nil unless the case has them
	process  atomic.Pointer[exec.Cmd]
	exited   atomic.Pointer[chan struct{}]
	server   *backend
}

func newFleet(binary, path string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	r, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	f := &fleet{binary: binary, dir: dir, subnet: subnet, store: platformtest.NewStore(), record: r, runs: make(chan execution, 1<<16), seen: make(chan []execution), linkMegabits: 1000}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.storeAddress, f.stopStore, err = f.store.Start()
	return f, err
}

// freeSubnet returns the first three bytes of loopback addresses that nothing listens on.
func freeSubnet() (string, error) {
	for i := range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%100, (os.Getpid()/100+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, portCallers))
		if err != nil {
			continue
		}
		return subnet, l.Close()
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// addHosts adds hosts with servers of a service, spread over the data centres.
func (f *fleet) addHosts(count int, service string, work time.Duration) error {
	for range count {
		i := len(f.hosts)
		h := &host{fleet: f, name: fmt.Sprintf("host-%d", i+1), ip: fmt.Sprintf("%s.%d", f.subnet, i+1), service: service}
		h.settings = filepath.Join(f.dir, h.name+".yaml")
		h.server = newBackend(h, fmt.Sprintf("i-%d", i+1), dataCentres[i%len(dataCentres)], work)
		store := f.storeAddress
		if f.withStoreProxies {
			var err error
			if h.proxy, err = newStoreProxy(h.address(portStore), f.storeAddress); err != nil {
				return err
			}
			store = h.address(portStore)
		}
		if err := os.WriteFile(h.settings, h.settingsText(store), 0o600); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settingsText returns the settings as deploy/settings.yaml renders them.
func (h *host) settingsText(store string) []byte {
	return fmt.Appendf(nil, `host: %q
ip: %q
dataCentre: %q
region: "mu-north"
service: %q
server: %q
memoryMegabytes: 284
linkMegabits: %g
listen:
  callers: %q
  links: %q
  ready: %q
  announcements: %q
  metrics: %q
store:
  address: %q
retries:
  ratio: 0.2
  least: 58
  window: 10s
drain:
  grace: 6s
dataCentres:
  farRoundTrip: 5ms
quota:
  window: 5s
  overshoot: 0.1
  slack: 20
admission:
  downstream: true
`, h.name, h.ip, h.server.zone, h.service, h.address(portServer), h.fleet.linkMegabits, h.address(portCallers), h.address(portLinks), h.address(portReady),
		h.address(portAnnouncements), h.address(portMetrics), store)
}

// start starts all servers and nodes and waits until the nodes are ready.
func (f *fleet) start() error {
	go f.collect()
	for _, h := range f.hosts {
		if err := h.server.start(); err != nil {
			return err
		}
		if err := h.startNode(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	for _, h := range f.hosts {
		for deadline := time.Now().Add(readyTimeout); !platformtest.IsReady(f.ctx, client, h.address(portReady)); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
		}
	}
	return nil
}

// collect gathers what the servers ran until the fleet ends.
func (f *fleet) collect() {
	var all []execution
	for {
		select {
		case e := <-f.runs:
			all = append(all, e)
			f.record.write(e.at, "%s of %s: %s %s, tenant %q", e.server, e.service, e.what, e.id, e.tenant)
		case f.seen <- slices.Clone(all):
		}
	}
}

// startNode starts the node with the command of the deploy file.
func (h *host) startNode() error {
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.fleet.binary, "run")
	command.Env = []string{"SAVORYGAP_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process.Store(command)
	h.exited.Store(&exited)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the node at once.
func (h *host) kill() {
	if c := h.process.Load(); c != nil {
		_ = c.Process.Kill()
		<-*h.exited.Load()
	}
}

// killAndRestart kills the nodes of the hosts at the same moment, and starts them again after
// restartDelay.
func (f *fleet) killAndRestart(hosts []*host) error {
	for _, h := range hosts {
		_ = h.process.Load().Process.Kill()
	}
	f.record.note("%d of %d nodes are killed", len(hosts), len(f.hosts))
	time.Sleep(restartDelay)
	for _, h := range hosts {
		<-*h.exited.Load()
		if err := h.startNode(); err != nil {
			return err
		}
	}
	f.record.note("they are started again")
	return nil
}

// setStoreDown has the store refuse all calls with 503, or serve them again.
func (f *fleet) setStoreDown(down bool) {
	f.store.SetUnavailable(down)
	state := "serves again"
	if down {
		state = "is down: it answers 503"
	}
	f.record.note("the store %s", state)
}

func (f *fleet) stop() {
	f.cancel()
	for _, h := range f.hosts {
		h.kill()
		h.server.stop()
	}
	f.stopStore()
	_ = os.RemoveAll(f.dir)
}
