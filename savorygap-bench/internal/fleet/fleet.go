// Package fleet runs real node processes on loopback, with a stand-in store and
// stand-in servers inside the bench process.
//
// Every host gets its own address 127.0.0.x and the default ports.
//
// # Usage
//
//	f, err := fleet.Start(ctx, plan)
//	defer f.Stop()
//	err = f.Apply(ctx, resources)
//	err = f.AwaitReady(ctx, 10*time.Second)
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/store/storetest"
	"savorygap.example/savorygap-bench/internal/standin"
)

const (
	storePort    = 7600
	serverPort   = 8000
	valid        = 24 * time.Hour
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 40 * time.Second
	operatorName = "operator"
	clientIdle   = 256
	moveTimeout  = 5 * time.Second
)

// HostPlan is one host: a node process and, if a service is named, a server.
type HostPlan struct {
	dataCentre string
	region     string
	service    string
	shape      standin.Shape
}

// NewHostPlan returns a host with a server of a service; an empty service
// means a node alone.
func NewHostPlan(dataCentre, region, service string, shape standin.Shape) HostPlan {
	return HostPlan{dataCentre: dataCentre, region: region, service: service, shape: shape}
}

// Plan is a whole fleet.
type Plan struct {
	hosts     []HostPlan
	policy    string
	transport string
	logLevel  string
	subnet    int
	binary    string
}

// NewPlan returns a plan. subnet is the third byte of all addresses, so that
// fleets can run side by side.
func NewPlan(subnet int, hosts []HostPlan) Plan {
	return Plan{hosts: hosts, policy: "adaptive", transport: "tcp", logLevel: "info", subnet: subnet}
}

// WithPolicy returns the plan with another policy that chooses targets.
func (p Plan) WithPolicy(name string) Plan {
	p.policy = name
	return p
}

// WithTransport returns the plan with another transport for calls.
func (p Plan) WithTransport(name string) Plan {
	p.transport = name
	return p
}

// WithBinary returns the plan with a node program that was built already.
func (p Plan) WithBinary(path string) Plan {
	p.binary = path
	return p
}

// Fleet is a running fleet.
type Fleet struct {
	plan   Plan
	dir    string
	binary string
	ring   *certs.Credentials
	store  *storetest.Server
	hosts  []*Host
	cancel context.CancelFunc
	ctx    context.Context
	http   *http.Client
}

// Host is one running host.
type Host struct {
	fleet     *Fleet
	plan      HostPlan
	name      string
	address   string
	settings  string
	command   *exec.Cmd
	ended     chan struct{}
	logFile   *os.File
	server    *standin.Server
	announcer *standin.Announcer
}

// Name returns the host name.
func (h *Host) Name() string { return h.name }

// DataCentre returns the data centre.
func (h *Host) DataCentre() string { return h.plan.dataCentre }

// Service returns the service of the host's server.
func (h *Host) Service() string { return h.plan.service }

// Server returns the stand-in server, nil when the host has none.
func (h *Host) Server() *standin.Server { return h.server }

// Announcer returns what announces the server.
func (h *Host) Announcer() *standin.Announcer { return h.announcer }

// Callers returns host:port where callers are served.
func (h *Host) Callers() string { return h.address + ":7000" }

// Local returns host:port of the local listener.
func (h *Host) Local() string { return h.address + ":7003" }

// Operators returns host:port of the resource API.
func (h *Host) Operators() string { return h.address + ":7004" }

// ServerAddress returns host:port of the stand-in server.
func (h *Host) ServerAddress() string { return fmt.Sprintf("%s:%d", h.address, serverPort) }

// PID returns the process id of the node.
func (h *Host) PID() int { return h.command.Process.Pid }

// Start builds the node program and starts the whole fleet.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "savorygap-bench-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{plan: plan, dir: dir, cancel: cancel, ctx: ctx, binary: plan.binary}
	f.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientIdle, DisableCompression: true}}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if f.binary == "" {
		f.binary = filepath.Join(f.dir, "savorygapd")
		if err := Build(f.ctx, f.binary); err != nil {
			return err
		}
	}
	if err := f.makeKeys(); err != nil {
		return err
	}
	if err := f.startStore(); err != nil {
		return err
	}
	for i, p := range f.plan.hosts {
		h, err := f.newHost(i, p)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		if err := h.StartNode(); err != nil {
			return err
		}
		if err := h.startServer(uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

// Build compiles the node program to path.
func Build(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "savorygap.example/savorygapd")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the node: %w: %s", err, out)
	}
	return nil
}

func (f *Fleet) makeKeys() error {
	authority, err := certs.NewAuthority(time.Now(), valid)
	if err != nil {
		return err
	}
	if err := authority.Save(f.dir); err != nil {
		return err
	}
	for i := range f.plan.hosts {
		if err := authority.Issue(f.dir, f.hostName(i), certs.RoleNode, nil, time.Now(), valid); err != nil {
			return err
		}
	}
	if err := authority.Issue(f.dir, operatorName, certs.RoleOperate, nil, time.Now(), valid); err != nil {
		return err
	}
	f.ring, err = certs.Load(f.path("ca.pem"), f.path(operatorName+".pem"), f.path(operatorName+"-key.pem"))
	return err
}

func (f *Fleet) hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

func (f *Fleet) address(i int) string { return fmt.Sprintf("127.0.%d.%d", f.plan.subnet, i+1) }

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name) }

// Dir returns the folder with keys, settings and logs.
func (f *Fleet) Dir() string { return f.dir }

func (f *Fleet) storeAddress() string {
	return fmt.Sprintf("127.0.%d.250:%d", f.plan.subnet, storePort)
}

func (f *Fleet) startStore() error {
	listener, err := net.Listen("tcp", f.storeAddress())
	if err != nil {
		return err
	}
	f.store = storetest.New(clockwork.NewRealClock())
	go f.store.Run(f.ctx)
	f.serve(listener, f.store.Handler())
	return nil
}

func (f *Fleet) serve(l net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler}
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
}

func (f *Fleet) newHost(i int, p HostPlan) (*Host, error) {
	h := &Host{fleet: f, plan: p, name: f.hostName(i), address: f.address(i), settings: f.path(f.hostName(i) + ".yaml")}
	text := fmt.Sprintf(`host: %s
dataCentre: %s
region: %s
listen:
  callers: %[4]s:7000
  calls: %[4]s:7001
  control: %[4]s:7002
  local: %[4]s:7003
  operators: %[4]s:7004
store:
  address: http://%[5]s
tls:
  authorities: %[6]s
  certificate: %[7]s
  key: %[8]s
balance:
  policy: %[9]s
calls:
  transport: %[10]s
log:
  level: %[11]s
`, h.name, p.dataCentre, p.region, h.address, f.storeAddress(),
		f.path("ca.pem"), f.path(h.name+".pem"), f.path(h.name+"-key.pem"), f.plan.policy, f.plan.transport, f.plan.logLevel)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(f.path(h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	h.logFile = logFile
	return h, err
}

// StartNode starts the node process of the host.
func (h *Host) StartNode() error {
	command := exec.Command(h.fleet.binary, "run", "--settings", h.settings)
	command.Stderr = h.logFile
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (h *Host) startServer(seed uint64) error {
	if h.plan.service == "" {
		return nil
	}
	listener, err := net.Listen("tcp", h.ServerAddress())
	if err != nil {
		return err
	}
	h.server = standin.New(h.plan.shape, seed)
	h.announcer = standin.NewAnnouncer(h.Local(), h.plan.service, h.ServerAddress(), h.plan.shape.Slots(), 200)
	go h.server.Run(h.fleet.ctx)
	go h.announcer.Run(h.fleet.ctx)
	h.fleet.serve(listener, h.server.Handler())
	return nil
}

// Signal sends a signal to the node process.
func (h *Host) Signal(s os.Signal) error { return h.command.Process.Signal(s) }

// AwaitEnd waits until the node process has ended.
func (h *Host) AwaitEnd(limit time.Duration) error {
	select {
	case <-h.ended:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("node %q did not end within %s", h.name, limit)
	}
}

// Hosts returns the hosts.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Store returns the stand-in store.
func (f *Fleet) Store() *storetest.Server { return f.store }

// Client returns an HTTP client for callers.
func (f *Fleet) Client() *http.Client { return f.http }

// AwaitReady waits until every node serves callers.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !h.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %q is not ready after %s; its log is %s", h.name, limit, f.path(h.name+".log"))
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (h *Host) ready() bool {
	response, err := h.fleet.http.Get("http://" + h.Local() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends all processes and removes the folder.
func (f *Fleet) Stop() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			_ = h.AwaitEnd(stopTimeout)
		}
		_ = h.logFile.Close()
	}
	f.cancel()
	if os.Getenv("SAVORYGAP_BENCH_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Faults returns the lines of the nodes' logs at the level error.
func (f *Fleet) Faults() []string {
	var out []string
	for _, h := range f.hosts {
		text, err := os.ReadFile(f.path(h.name + ".log"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"level":"error"`) || strings.Contains(line, "panic") {
				out = append(out, strings.TrimSpace(line))
			}
		}
	}
	return out
}
