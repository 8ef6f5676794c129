// Package site runs real savorygap-node processes on loopback, on the terms of
// the users' platform: a stand-in of its store and of the servers, with a proxy
// between each node and its peers, its server and the store.
//
// Every host gets its own address 127.0.x.y. Servers announce themselves to the
// node beside them; the operators write to the store.
//
// # Usage
//
//	s, err := site.Start(ctx, site.NewPlan(20, hosts))
//	defer s.Stop()
//	err = s.AwaitReady(10 * time.Second)
//	acknowledged := s.Configure()
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"savorygap.example/platform/platformtest"
)

const (
	stopTimeout = 10 * time.Second
	readyPoll   = 50 * time.Millisecond
	// Slots is how many requests a server runs at once.
	Slots = 10
	// ServiceTime is the time that a request takes.
	ServiceTime = 15 * time.Millisecond
	// ColdRequestRate is how many requests a second a cold server bears.
	ColdRequestRate = 18
	// ColdDuration is how long a server stays cold after its start.
	ColdDuration = 2 * time.Second
)

// HostPlan is one host: a node and a server of a service.
type HostPlan struct {
	dataCentre string
	service    string
}

// NewHostPlan returns a host of a data centre with a server of a service.
func NewHostPlan(dataCentre, service string) HostPlan {
	return HostPlan{dataCentre: dataCentre, service: service}
}

// Plan is a whole site.
type Plan struct {
	subnet int
	hosts  []HostPlan
	binary string
}

// NewPlan returns a plan. subnet is the third byte of all addresses, so that sites
// can run side by side.
func NewPlan(subnet int, hosts []HostPlan) Plan { return Plan{subnet: subnet, hosts: hosts} }

// Services are the services of the sample configuration.
func Services() []string { return []string{"logview", "findings", "sensorhub"} }

// SampleHosts returns rounds hosts of every service in each of two data centres.
func SampleHosts(rounds int) []HostPlan {
	var hosts []HostPlan
	for range rounds {
		for _, dataCentre := range []string{"pamplemousses", "port-louis"} {
			for _, service := range Services() {
				hosts = append(hosts, NewHostPlan(dataCentre, service))
			}
		}
	}
	return hosts
}

// WithBinary returns the plan with a node program that was built already.
func (p Plan) WithBinary(path string) Plan {
	p.binary = path
	return p
}

// Cluster is a running site.
type Cluster struct {
	plan    Plan
	dir     string
	binary  string
	ctx     context.Context
	cancel  context.CancelFunc
	store   *platformtest.Store
	address string
	closes  func()
	hosts   []*Host
	ledger  *ExecutionLog
	http    *http.Client
	version atomic.Int64
}

// Start builds the node program and starts the whole site with a configuration in
// the store.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "savorygap-site-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Cluster{
		plan: plan, dir: dir, binary: plan.binary, ctx: ctx, cancel: cancel, store: platformtest.NewStore(),
		ledger: NewExecutionLog(), closes: func() {}, http: &http.Client{Timeout: time.Second},
	}
	go s.ledger.Run(ctx)
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Build compiles the node program to path.
func Build(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "savorygap.example/savorygap-node")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the node: %w: %s", err, out)
	}
	return nil
}

func (s *Cluster) start() error {
	if s.binary == "" {
		s.binary = filepath.Join(s.dir, "savorygap-node")
		if err := Build(s.ctx, s.binary); err != nil {
			return err
		}
	}
	var err error
	if s.address, s.closes, err = s.store.Start(); err != nil {
		return err
	}
	s.PutConfiguration()
	for i, p := range s.plan.hosts {
		h, err := s.newHost(i, p)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := errors.Join(h.StartServer(), h.StartNode()); err != nil {
			return err
		}
		go h.announce()
	}
	return nil
}

// Dir returns the folder with settings and logs.
func (s *Cluster) Dir() string { return s.dir }

// Store returns the stand-in of the store.
func (s *Cluster) Store() *platformtest.Store { return s.store }

// Hosts returns the hosts.
func (s *Cluster) Hosts() []*Host { return s.hosts }

// ExecutionLog returns what ran at the servers.
func (s *Cluster) ExecutionLog() *ExecutionLog { return s.ledger }

// AwaitReady waits until every node says that it is ready.
func (s *Cluster) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range s.hosts {
		for !h.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %q is not ready after %s; its log is %s", h.name, limit, h.logPath())
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Stop ends all processes that the site started, and removes the folder unless the
// variable SAVORYGAP_BENCH_KEEP is set.
func (s *Cluster) Stop() {
	for _, h := range s.hosts {
		h.end()
	}
	s.cancel()
	s.closes()
	if os.Getenv("SAVORYGAP_BENCH_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
