// Package fleet runs savorygapd processes on loopback, with a fake store and fake
// servers inside the bench process.
//
// Every host has its own address 127.0.x.y and the default ports.
//
// # Usage
//
//	f, err := fleet.Start(ctx, plan)
//	defer f.Stop()
//	err = f.AwaitReady(10 * time.Second)
//	revision, err := f.Apply(ctx, resources...)
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
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	storePort           = 7600
	serverPort          = 8000
	certificateValidity = 24 * time.Hour
	readyPollInterval   = 50 * time.Millisecond
	stopTimeout         = 40 * time.Second
	operatorName        = "operator"
	maxIdleConns        = 256
	applyTimeout        = 5 * time.Second
)

// HostPlan describes a host: a node process and, if it names a service, a server.
type HostPlan struct {
	dataCentre string
	region     string
	service    string
	profile    servertest.Profile
}

// NewHostPlan returns the plan of a host with a server of the given service, or
// without a server if service is empty.
func NewHostPlan(dataCentre, region, service string, profile servertest.Profile) HostPlan {
	return HostPlan{dataCentre: dataCentre, region: region, service: service, profile: profile}
}

// Plan describes a fleet.
type Plan struct {
	hosts     []HostPlan
	policy    string
	transport string
	logLevel  string
	subnet    int
	binary    string
}

// NewPlan returns the plan of a fleet with the given hosts. subnet is the third byte
// of all addresses; fleets with different subnets can run at the same time.
func NewPlan(subnet int, hosts []HostPlan) Plan {
	return Plan{hosts: hosts, policy: "adaptive", transport: "tcp", logLevel: "info", subnet: subnet}
}

// WithPolicy returns the plan with the named load-balancing policy.
func (p Plan) WithPolicy(name string) Plan {
	p.policy = name
	return p
}

// WithTransport returns the plan with the named transport for calls between nodes.
func (p Plan) WithTransport(name string) Plan {
	p.transport = name
	return p
}

// WithBinary returns the plan with a node binary that has already been built.
func (p Plan) WithBinary(path string) Plan {
	p.binary = path
	return p
}

// Fleet is a running fleet.
type Fleet struct {
	plan        Plan
	dir         string
	binary      string
	credentials *certs.Credentials
	store       *storetest.Server
	hosts       []*Host
	cancel      context.CancelFunc
	ctx         context.Context
	http        *http.Client
}

// Host is a running host.
type Host struct {
	fleet     *Fleet
	plan      HostPlan
	name      string
	address   string
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
	logFile   *os.File
	server    *servertest.Server
	announcer *servertest.Announcer
}

// Name returns the host name.
func (h *Host) Name() string { return h.name }

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() string { return h.plan.dataCentre }

// Service returns the service of the host's server, or an empty string if the host
// has none.
func (h *Host) Service() string { return h.plan.service }

// Server returns the fake server, or nil if the host has none.
func (h *Host) Server() *servertest.Server { return h.server }

// Announcer returns the announcer of the server, or nil if the host has none.
func (h *Host) Announcer() *servertest.Announcer { return h.announcer }

// CallerAddress returns the host:port on which the node serves callers.
func (h *Host) CallerAddress() string { return h.address + ":7000" }

// LocalAddress returns the host:port of the node's local listener.
func (h *Host) LocalAddress() string { return h.address + ":7003" }

// OperatorAddress returns the host:port of the resource API.
func (h *Host) OperatorAddress() string { return h.address + ":7004" }

// ServerAddress returns the host:port of the fake server.
func (h *Host) ServerAddress() string { return fmt.Sprintf("%s:%d", h.address, serverPort) }

// PID returns the process id of the node.
func (h *Host) PID() int { return h.command.Process.Pid }

// Start builds the node binary unless the plan names one, and starts the fleet.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "savorygap-bench-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{plan: plan, dir: dir, cancel: cancel, ctx: ctx, binary: plan.binary}
	f.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
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
	if err := f.issueCertificates(); err != nil {
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

// Build compiles the node binary to path.
func Build(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "savorygap.example/savorygapd")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the node: %w: %s", err, out)
	}
	return nil
}

func (f *Fleet) issueCertificates() error {
	authority, err := certs.NewAuthority(time.Now(), certificateValidity)
	if err != nil {
		return err
	}
	if err := authority.Save(f.dir); err != nil {
		return err
	}
	for i := range f.plan.hosts {
		if err := authority.Issue(f.dir, f.hostName(i), certs.RoleNode, nil, time.Now(), certificateValidity); err != nil {
			return err
		}
	}
	if err := authority.Issue(f.dir, operatorName, certs.RoleOperate, nil, time.Now(), certificateValidity); err != nil {
		return err
	}
	f.credentials, err = certs.Load(f.path("ca.pem"), f.path(operatorName+".pem"), f.path(operatorName+"-key.pem"))
	return err
}

func (f *Fleet) hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

func (f *Fleet) address(i int) string { return fmt.Sprintf("127.0.%d.%d", f.plan.subnet, i+1) }

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name) }

// Dir returns the directory with keys, settings and logs.
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
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
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
	h.server = servertest.New(h.plan.profile, seed)
	h.announcer = servertest.NewAnnouncer(h.LocalAddress(), h.plan.service, h.ServerAddress(), h.plan.profile.Slots(), 200)
	go h.server.Run(h.fleet.ctx)
	go h.announcer.Run(h.fleet.ctx)
	h.fleet.serve(listener, h.server.Handler())
	return nil
}

// Signal sends a signal to the node process.
func (h *Host) Signal(s os.Signal) error { return h.command.Process.Signal(s) }

// AwaitExit waits until the node process has exited.
func (h *Host) AwaitExit(timeout time.Duration) error {
	select {
	case <-h.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("node %q did not end within %s", h.name, timeout)
	}
}

// Hosts returns the hosts.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Store returns the fake store.
func (f *Fleet) Store() *storetest.Server { return f.store }

// Client returns an HTTP client for sending requests to the nodes.
func (f *Fleet) Client() *http.Client { return f.http }

// AwaitReady waits until every node reports that it is ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, h := range f.hosts {
		for !h.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %q is not ready after %s; its log is %s", h.name, timeout, f.path(h.name+".log"))
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (h *Host) ready() bool {
	response, err := h.fleet.http.Get("http://" + h.LocalAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop kills all node processes and removes the directory unless the environment
// variable SAVORYGAP_BENCH_KEEP is set.
func (f *Fleet) Stop() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			_ = h.AwaitExit(stopTimeout)
		}
		_ = h.logFile.Close()
	}
	f.cancel()
	if os.Getenv("SAVORYGAP_BENCH_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// ErrorLogLines returns the lines of the node logs that are at level error or
// contain a panic.
func (f *Fleet) ErrorLogLines() []string {
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
