// Package soak sends load to a site of real node processes while faults come and
// go in overlapping series, and checks the promises of the platform's contract by
// what callers and servers saw, request by request.
//
// A soak is a row of episodes. In a calm one there is only planned work, in series
// and side by side, and nothing may be lost; in the others faults join. Its seed
// fixes the episodes and the load.
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

	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	shortest   = 500 * time.Millisecond
	longest    = 3 * time.Second
	atOnceMost = 4
	calmShare  = 0.4
	rest       = 500 * time.Millisecond
	readyLimit = 20 * time.Second
	// recoverBound is within which time after the last fault all is served again.
	recoverBound = 15 * time.Second
	settle       = touchBound + time.Second
	// finalRequests is how many requests each host must serve at the end.
	finalRequests = 5
	// shown is how many findings are printed.
	shown = 12
)

// Options say how long to run, under which seed, and on what site.
type Options struct {
	length time.Duration
	seed   uint64
	subnet int
	rounds int
	binary string
}

// NewOptions returns options for a site of six hosts.
func NewOptions(length time.Duration, seed uint64) Options {
	return Options{length: length, seed: seed, subnet: 30, rounds: 1}
}

// WithSubnet returns the options with the third byte of all addresses.
func (o Options) WithSubnet(subnet int) Options {
	o.subnet = subnet
	return o
}

// WithRounds returns the options with six hosts a round.
func (o Options) WithRounds(rounds int) Options {
	o.rounds = rounds
	return o
}

// WithBinary returns the options with a node program that was built already.
func (o Options) WithBinary(path string) Options {
	o.binary = path
	return o
}

// ViolationError reports what must not be.
type ViolationError struct {
	seed     uint64
	findings []finding
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("seed %d: found %d breaches, the first: %s %s", e.seed, len(e.findings), e.findings[0].rule, e.findings[0].text)
}

// run is a soak under way.
type run struct {
	options Options
	out     io.Writer
	site    *cluster.Cluster
	rng     *rand.Rand
	notes   *notes
	callers *callers
	began   time.Time
}

// Run runs a soak. It returns *FoundError when a promise was broken.
func Run(ctx context.Context, w io.Writer, o Options) error {
	r, stop, err := start(ctx, w, o)
	if err != nil {
		return err
	}
	defer stop()
	sending, quit := context.WithCancel(ctx)
	defer quit()
	r.send(ctx, sending)
	for time.Since(r.began) < r.options.length && ctx.Err() == nil {
		r.episode(ctx)
	}
	r.recover(ctx)
	quit()
	time.Sleep(patience)
	return r.report(ctx)
}

// start starts a site and the tasks of a soak. stop ends them.
func start(ctx context.Context, w io.Writer, o Options) (*run, func(), error) {
	s, err := cluster.Start(ctx, cluster.NewPlan(o.subnet, cluster.SampleHosts(o.rounds)).WithBinary(o.binary))
	if err != nil {
		return nil, nil, err
	}
	if err := s.AwaitReady(readyLimit); err != nil {
		s.Stop()
		return nil, nil, err
	}
	tasks, cancel := context.WithCancel(ctx)
	r := &run{options: o, out: w, site: s, rng: rand.New(rand.NewPCG(o.seed, 0)), notes: newNotes(), callers: newCallers(), began: time.Now()}
	go r.notes.run(tasks)
	go r.callers.run(tasks)
	return r, func() {
		cancel()
		s.Stop()
	}, nil
}

// send begins the load and the probes of every host.
func (r *run) send(ctx, sending context.Context) {
	version, at := r.site.PutConfiguration()
	r.notes.write(func(rec *record) { rec.changes = append(rec.changes, change{version: version, acknowledged: at}) })
	for i, h := range r.site.Hosts() {
		go r.callers.load(sending, h, rand.New(rand.NewPCG(r.options.seed, uint64(i)+1)))
		go r.callers.probe(sending, h, func() int64 { return r.newest(ctx) })
	}
}

// newest returns the newest version that is known to be in the store.
func (r *run) newest(ctx context.Context) int64 {
	changes := r.notes.read(ctx).changes
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].version
}

// episode lets a few works go on side by side, and waits for their end. A calm
// one begins when the faults before it are over for long enough to be judged.
func (r *run) episode(ctx context.Context) {
	choice := faults()
	if r.rng.Float64() < calmShare {
		time.Sleep(settle)
		choice = plannedWork()
	}
	hosts := slices.Clone(r.site.Hosts())
	r.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	count := 1 + r.rng.IntN(atOnceMost*r.options.rounds)
	done := make(chan struct{}, count)
	storeBusy := false
	for i := range min(count, len(hosts)) {
		w, h, d := choice[r.rng.IntN(len(choice))], hosts[i], length(r.rng)
		if w.store && storeBusy {
			done <- struct{}{}
			continue
		}
		storeBusy = storeBusy || w.store
		go func() {
			r.one(ctx, w, h, d)
			done <- struct{}{}
		}()
	}
	for range min(count, len(hosts)) {
		<-done
	}
	if err := r.site.AwaitReady(readyLimit); err != nil {
		r.notes.fail(err.Error())
	}
	time.Sleep(rest)
}

// one carries out a work and notes when it was.
func (r *run) one(ctx context.Context, w work, h *cluster.Host, d time.Duration) {
	t := trouble{name: w.name, planned: w.planned, holds: w.holds, from: time.Now(), to: time.Now().Add(time.Hour)}
	where := "the store"
	if !w.store {
		t.host, where = h, h.Name()
	}
	index := make(chan int, 1)
	r.notes.write(func(rec *record) {
		rec.troubles = append(rec.troubles, t)
		index <- len(rec.troubles) - 1
		fmt.Fprintf(r.out, "%6.2f %s, at %s, for %s\n", t.from.Sub(r.began).Seconds(), w.name, where, d.Round(time.Millisecond))
	})
	w.run(ctx, r.site, r.notes, h, d)
	end := time.Now()
	r.notes.write(func(rec *record) { rec.troubles[<-index].to = end })
}

// recover checks that every host serves again soon after the last fault.
func (r *run) recover(ctx context.Context) {
	until := time.Now().Add(recoverBound)
	for _, h := range r.site.Hosts() {
		client := newClient()
		for served := 0; served < finalRequests && ctx.Err() == nil; {
			s := send(client, h, flows()[0], flows()[0].path, patience)
			r.callers.note(s)
			if s.status == http.StatusOK {
				served++
			} else if time.Now().After(until) {
				r.notes.fail(fmt.Sprintf("%s does not serve %s after the last fault", h.Name(), recoverBound))
				return
			}
		}
		client.CloseIdleConnections()
	}
}

func (r *run) report(ctx context.Context) error {
	done, samples := r.notes.read(ctx), r.callers.samples(ctx)
	entries := r.site.ExecutionLog().Executions(ctx)
	entries = slices.DeleteFunc(entries, func(e cluster.Execution) bool { return e.StartedAt().Before(r.began) })
	counts := map[string]int{}
	for _, s := range samples {
		counts[outcome(s)]++
	}
	fmt.Fprintf(r.out, "%d requests, %d runs: %v\n", len(samples), len(entries), counts)
	found := check(samples, entries, done)
	if len(found) == 0 {
		fmt.Fprintln(r.out, "all promises held")
		return nil
	}
	for _, f := range found[:min(shown, len(found))] {
		fmt.Fprintf(r.out, "%6.2f %s: %s\n", f.at.Sub(r.began).Seconds(), f.rule, f.text)
	}
	return &ViolationError{seed: r.options.seed, findings: found}
}

func outcome(s sample) string {
	switch {
	case s.left:
		return "caller left"
	case s.refused:
		return "no connection"
	case s.status == 0:
		return "no answer"
	}
	return fmt.Sprint(s.status)
}
