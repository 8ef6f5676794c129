// Package cluster runs savorygap-node processes on loopback against a fake store
// and fake servers that behave as the users' platform does. A fault-injecting proxy
// sits between each node and its peers, its server and the store.
//
// Every host has its own address 127.0.x.y. Servers announce themselves to the
// node on their host; operators write to the store.
//
// # Usage
//
//	c, err := cluster.Start(ctx, cluster.NewPlan(20, hosts))
//	defer c.Stop()
//	err = c.AwaitReady(10 * time.Second)
//	version, acknowledged := c.PutConfiguration()
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"savorygap.example/platform/platformtest"
)

const (
	stopTimeout       = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// Slots is the number of requests that a server runs concurrently.
	Slots = 10
	// ServiceTime is how long a server takes for a request.
	ServiceTime = 15 * time.Millisecond
	// ColdRequestRate is the number of requests a second that a cold server can take.
	ColdRequestRate = 18
	// ColdDuration is how long a server stays cold after its start.
	ColdDuration = 2 * time.Second
	// quotaPerHost is the limit of a tenant for each host, in requests a second.
	quotaPerHost = 5
)

// HostPlan describes a host, which runs a node and one server.
type HostPlan struct {
	dataCentre string
	service    string
	spare      bool
}

// NewHostPlan returns the plan of a host in a data centre with a server of a service.
func NewHostPlan(dataCentre, service string) HostPlan {
	return HostPlan{dataCentre: dataCentre, service: service}
}

// SpareHosts returns the plans of two hosts for each round, one in each data centre, without
// a server until SetRelease gives them one. They are for new versions of the first service.
func SpareHosts(rounds int) []HostPlan {
	hosts := slices.DeleteFunc(SampleHosts(rounds), func(p HostPlan) bool { return p.service != Services()[0] })
	for i := range hosts {
		hosts[i].spare = true
	}
	return hosts
}

// Plan describes a cluster.
type Plan struct {
	subnet int
	hosts  []HostPlan
	binary string
}

// NewPlan returns the plan of a cluster with the given hosts. subnet is the third
// byte of all addresses; clusters with different subnets can run at the same time.
func NewPlan(subnet int, hosts []HostPlan) Plan { return Plan{subnet: subnet, hosts: hosts} }

// Services returns the services of the sample configuration.
func Services() []string { return []string{"logview", "findings", "sensorhub"} }

// SampleHosts returns the plans of six hosts, one for each service in each of two
// data centres, repeated rounds times.
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

// WithBinary returns the plan with a node binary that has already been built.
func (p Plan) WithBinary(path string) Plan {
	p.binary = path
	return p
}

// Cluster is a running cluster.
type Cluster struct {
	plan         Plan
	dir          string
	binary       string
	ctx          context.Context
	cancel       context.CancelFunc
	store        *platformtest.Store
	storeAddress string
	stopStore    func()
	hosts        []*Host
	executions   *ExecutionLog
	http         *http.Client
	version      atomic.Int64
	order        atomic.Pointer[rolloutOrder]
}

// Start builds the node binary unless the plan names one, writes a configuration to
// the store and starts all hosts.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "savorygap-cluster-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{
		plan: plan, dir: dir, binary: plan.binary, ctx: ctx, cancel: cancel, store: platformtest.NewStore(),
		executions: NewExecutionLog(), stopStore: func() {}, http: &http.Client{Timeout: time.Second},
	}
	go c.executions.Run(ctx)
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// Build compiles the node binary to path.
func Build(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "savorygap.example/savorygap-node")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the node: %w: %s", err, out)
	}
	return nil
}

func (c *Cluster) start() error {
	if c.binary == "" {
		c.binary = filepath.Join(c.dir, "savorygap-node")
		if err := Build(c.ctx, c.binary); err != nil {
			return err
		}
	}
	var err error
	if c.storeAddress, c.stopStore, err = c.store.Start(); err != nil {
		return err
	}
	c.PutConfiguration()
	for i, p := range c.plan.hosts {
		h, err := c.newHost(i, p)
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		if err := errors.Join(h.StartServer(), h.StartNode()); err != nil {
			return err
		}
		go h.announceUntilStopped()
	}
	return nil
}

// Dir returns the directory with settings and logs.
func (c *Cluster) Dir() string { return c.dir }

// Store returns the fake store.
func (c *Cluster) Store() *platformtest.Store { return c.store }

// Hosts returns the hosts.
func (c *Cluster) Hosts() []*Host { return c.hosts }

// ExecutionLog returns the log of the requests that the servers executed.
func (c *Cluster) ExecutionLog() *ExecutionLog { return c.executions }

// AwaitReady waits until every node reports that it is ready.
func (c *Cluster) AwaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, h := range c.hosts {
		for !h.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %q is not ready after %s; its log is %s", h.name, timeout, h.logPath())
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// Stop kills all processes that the cluster started and removes the directory
// unless the environment variable SAVORYGAP_BENCH_KEEP is set.
func (c *Cluster) Stop() {
	for _, h := range c.hosts {
		h.stop()
	}
	c.cancel()
	c.stopStore()
	if os.Getenv("SAVORYGAP_BENCH_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
