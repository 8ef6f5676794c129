// Package soak sends load to a cluster of node processes while it injects
// overlapping faults, and checks every request against the platform's contract by
// what its caller and the servers observed.
//
// A soak is a sequence of episodes, each of which carries out several operations
// concurrently. An episode has either planned operations only, during which no
// request may be lost, or faults as well. Beside the episodes, servers state rate limits,
// a tenant floods, and good and bad versions are rolled out to spare hosts. The seed
// determines all of these and the load.
//
// # Usage
//
//	err := soak.Run(ctx, os.Stdout, soak.NewOptions(time.Minute, seed))
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	minFaultLength          = 500 * time.Millisecond
	maxFaultLength          = 3 * time.Second
	maxConcurrentOperations = 4   // for each round of hosts
	plannedShare            = 0.4 // of the episodes
	episodePause            = 500 * time.Millisecond
	readyTimeout            = 20 * time.Second
	// recoveryTimeout is how soon after the last fault every host must serve again.
	recoveryTimeout = 15 * time.Second
	// settleTime is the pause before an episode of planned operations, after which the
	// effects of earlier faults are no longer tolerated.
	settleTime = recoveryGrace + time.Second
	// finalRequests is how many requests each host must serve after the last fault.
	finalRequests        = 5
	maxPrintedViolations = 12
)

// Options holds the length and seed of a soak, and the size, addresses and node
// binary of its cluster.
type Options struct {
	length time.Duration
	seed   uint64
	subnet int
	rounds int
	binary string
	only   string
}

// NewOptions returns options for a cluster of six hosts.
func NewOptions(length time.Duration, seed uint64) Options {
	return Options{length: length, seed: seed, subnet: 30, rounds: 1}
}

// WithSubnet returns the options with the given third byte of all addresses.
func (o Options) WithSubnet(subnet int) Options {
	o.subnet = subnet
	return o
}

// WithRounds returns the options with six hosts for each round.
func (o Options) WithRounds(rounds int) Options {
	o.rounds = rounds
	return o
}

// WithBinary returns the options with a node binary that has already been built.
func (o Options) WithBinary(path string) Options {
	o.binary = path
	return o
}

// WithOnly returns the options with the name of the one fault that is injected; empty for
// all operations.
func (o Options) WithOnly(name string) Options {
	o.only = name
	return o
}

// ViolationError reports broken rules of the contract.
type ViolationError struct {
	seed       uint64
	violations []violation
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("seed %d: found %d violations, the first: %s: %s", e.seed, len(e.violations), e.violations[0].rule, e.violations[0].text)
}

// run is a soak in progress.
type run struct {
	options  Options
	out      io.Writer
	cluster  *cluster.Cluster
	rng      *rand.Rand
	recorder *recorder
	callers  *callers
	versions int        // rolled out so far
	partners *rand.Rand // draws between a host and its partner
	started  time.Time
}

// Run runs a soak and prints its operations and result to w. It returns
// *ViolationError when a check failed.
func Run(ctx context.Context, w io.Writer, o Options) error {
	r, stop, err := start(ctx, w, o, cluster.SpareHosts(o.rounds))
	if err != nil {
		return err
	}
	defer stop()
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	r.startLoad(ctx, sending)
	limiting, endLimits := context.WithCancel(sending)
	defer endLimits()
	go r.stateLimits(limiting)
	go r.flood(limiting)
	rolledOut := make(chan struct{})
	go func() {
		r.rollOutRepeatedly(limiting)
		close(rolledOut)
	}()
	for time.Since(r.started) < r.options.length && ctx.Err() == nil {
		r.runEpisode(ctx)
	}
	endLimits()
	<-rolledOut
	r.stayCalm(ctx)
	r.checkRecovery(ctx)
	stopSending()
	time.Sleep(callerTimeout)
	return r.report(ctx)
}

// start starts the cluster, with spare hosts, and the tasks of a soak and returns a function
// that stops them.
func start(ctx context.Context, w io.Writer, o Options, spares []cluster.HostPlan) (*run, func(), error) {
	if o.only != "" && !slices.ContainsFunc(faults(), func(f operation) bool { return f.name == o.only }) {
		return nil, nil, fmt.Errorf("no fault has the name %q", o.only)
	}
	c, err := cluster.Start(ctx, cluster.NewPlan(o.subnet, append(cluster.SampleHosts(o.rounds), spares...)).WithBinary(o.binary))
	if err != nil {
		return nil, nil, err
	}
	if err := c.AwaitReady(readyTimeout); err != nil {
		c.Stop()
		return nil, nil, err
	}
	tasks, cancel := context.WithCancel(ctx)
	r := &run{options: o, out: w, cluster: c, rng: rand.New(rand.NewPCG(o.seed, 0)), partners: rand.New(rand.NewPCG(o.seed, partnerStream)), recorder: newRecorder(), callers: newCallers(), started: time.Now()}
	go r.recorder.run(tasks)
	go r.callers.run(tasks)
	return r, func() {
		cancel()
		c.Stop()
	}, nil
}

// startLoad starts the load on every host and the probes of its configuration.
func (r *run) startLoad(ctx, sending context.Context) {
	version, at := r.cluster.PutConfiguration()
	r.recorder.update(func(hist *history) {
		hist.changes = append(hist.changes, configChange{version: version, acknowledged: at})
		hist.quota = r.cluster.Quota()
	})
	for i, h := range r.cluster.Hosts() {
		go r.callers.load(sending, h, rand.New(rand.NewPCG(r.options.seed, uint64(i)+1)), requestsPerSecond, pickCredential)
		go r.callers.probe(sending, h, func() int64 { return r.latestVersion(ctx) })
	}
}

// latestVersion returns the latest configuration version that the store has
// acknowledged.
func (r *run) latestVersion(ctx context.Context) int64 {
	changes := r.recorder.read(ctx).changes
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].version
}

// runEpisode carries out a few operations concurrently and waits for them to end.
// An episode of planned operations starts only after the effects of earlier faults
// are no longer tolerated.
func (r *run) runEpisode(ctx context.Context) {
	choices := faults()
	if r.options.only != "" {
		choices = slices.DeleteFunc(choices, func(o operation) bool { return o.name != r.options.only })
	} else if r.rng.Float64() < plannedShare {
		time.Sleep(settleTime)
		choices = plannedOperations()
	}
	hosts := slices.Clone(r.sampleHosts())
	r.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	count := 1 + r.rng.IntN(maxConcurrentOperations*r.options.rounds)
	done := make(chan struct{}, count)
	storeBusy := false
	for i := range min(count, len(hosts)) {
		o, h, d := choices[r.rng.IntN(len(choices))], hosts[i], randomDuration(r.rng)
		if o.onStore && storeBusy {
			done <- struct{}{}
			continue
		}
		storeBusy = storeBusy || o.onStore
		if other := r.partner(h); other != nil && r.partners.IntN(2) == 0 {
			h = other
		}
		go func() {
			r.perform(ctx, o, h, d)
			done <- struct{}{}
		}()
	}
	for range min(count, len(hosts)) {
		<-done
	}
	if err := r.cluster.AwaitReady(readyTimeout); err != nil {
		r.recorder.fail(err.Error())
	}
	time.Sleep(episodePause)
}

// perform carries out an operation and records when it took place.
func (r *run) perform(ctx context.Context, o operation, h *cluster.Host, d time.Duration) {
	t := disturbance{name: o.name, planned: o.planned, delaysRequests: o.delaysRequests, from: time.Now(), to: time.Now().Add(time.Hour)}
	where := "the store"
	if !o.onStore {
		t.host, where = h, h.Name()
	}
	index := make(chan int, 1)
	r.recorder.update(func(hist *history) {
		hist.disturbances = append(hist.disturbances, t)
		index <- len(hist.disturbances) - 1
		fmt.Fprintf(r.out, "%6.2f %s, at %s, for %s\n", t.from.Sub(r.started).Seconds(), o.name, where, d.Round(time.Millisecond))
	})
	o.run(ctx, r.cluster, r.recorder, h, d)
	end := time.Now()
	r.recorder.update(func(hist *history) { hist.disturbances[<-index].to = end })
}

// stayCalm does nothing until the effects of earlier faults are no longer tolerated, and
// rolls out a good version after that: episodes leave few intervals for the checks of
// undisturbed times.
func (r *run) stayCalm(ctx context.Context) {
	if r.options.only == "" {
		pause(ctx, settleTime)
		r.rollOut(ctx, good, minRollout, 0)
	}
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// checkRecovery checks that every host serves again soon after the last fault.
func (r *run) checkRecovery(ctx context.Context) {
	until := time.Now().Add(recoveryTimeout)
	for _, h := range r.cluster.Hosts() {
		client := newClient()
		for served := 0; served < finalRequests && ctx.Err() == nil; {
			s := send(client, h, flows()[0], tenantCredential(platformtest.UnlimitedTenant), flows()[0].path, callerTimeout)
			r.callers.record(s)
			if s.status == http.StatusOK {
				served++
			} else if time.Now().After(until) {
				r.recorder.fail(fmt.Sprintf("%s does not serve all requests %s after the last fault", h.Name(), recoveryTimeout))
				return
			}
		}
		client.CloseIdleConnections()
	}
}

func (r *run) report(ctx context.Context) error {
	hist, samples := r.recorder.read(ctx), r.callers.samples(ctx)
	executions := r.cluster.ExecutionLog().Executions(ctx)
	executions = slices.DeleteFunc(executions, func(e cluster.Execution) bool { return e.StartedAt().Before(r.started) })
	counts := map[string]int{}
	for _, s := range samples {
		counts[outcome(s)]++
	}
	fmt.Fprintf(r.out, "%d requests, %d executions: %v\n", len(samples), len(executions), counts)
	violations := check(samples, executions, hist)
	if len(violations) == 0 {
		fmt.Fprintln(r.out, "no violations found")
		return nil
	}
	rules := map[string]int{}
	for _, v := range violations {
		rules[v.rule]++
	}
	fmt.Fprintf(r.out, "violations: %v\n", rules)
	for _, v := range violations[:min(maxPrintedViolations, len(violations))] {
		fmt.Fprintf(r.out, "%6.2f %s: %s\n", v.at.Sub(r.started).Seconds(), v.rule, v.text)
	}
	return &ViolationError{seed: r.options.seed, violations: violations}
}

func outcome(s sample) string {
	switch {
	case s.cancelled:
		return "cancelled by caller"
	case s.connectionRefused:
		return "no connection"
	case s.status == 0:
		return "no answer"
	}
	return fmt.Sprint(s.status)
}
