// Package soak sends load to a fleet of real processes while random faults come
// and go, two or more at once, and accounts for every request.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"savorygap.example/savorygap-bench/internal/demo"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/load"
)

const (
	rate        = 150 // requests a second
	chunk       = 10 * time.Second
	healTime    = 8 * time.Second
	atOnce      = 2
	shortest    = 500 * time.Millisecond
	longest     = 4 * time.Second
	readyLimit  = 40 * time.Second
	growthLimit = 3.0 // times the goroutines at the start
)

// Options say how long to run and under which seed.
type Options struct {
	length time.Duration
	seed   uint64
}

// NewOptions returns options.
func NewOptions(length time.Duration, seed uint64) Options {
	return Options{length: length, seed: seed}
}

// Run runs the soak and returns an error when anything happened that must not.
func Run(ctx context.Context, w io.Writer, o Options) error {
	f, err := demo.Start(ctx, w)
	if err != nil {
		return err
	}
	defer f.Stop()
	before, err := goroutines(ctx, f)
	if err != nil {
		return err
	}
	faulting, stop := context.WithTimeout(ctx, o.length)
	defer stop()
	done := make(chan []string, atOnce)
	for i := range atOnce {
		rng := rand.New(rand.NewPCG(o.seed, uint64(i)))
		go func() { done <- inject(faulting, w, f, rng, i) }()
	}
	samples := send(faulting, w, f, o.seed)
	var wrong []string
	for range atOnce {
		wrong = append(wrong, <-done...)
	}
	time.Sleep(healTime)
	if err := f.AwaitReady(readyLimit); err != nil {
		return err
	}
	return report(ctx, w, f, samples, wrong, before)
}

// send loads the fleet in chunks until the time is over.
func send(ctx context.Context, w io.Writer, f *fleet.Fleet, seed uint64) []load.Sample {
	var samples []load.Sample
	var callers []string
	for _, h := range f.Hosts() {
		callers = append(callers, h.Callers())
	}
	for i := uint64(0); ctx.Err() == nil; i++ {
		r := load.Run(ctx, f.Client(), load.NewPlan(rate, chunk, seed*1000+i, demo.Flows(), callers).Bursty(0.5))
		samples = append(samples, r.Samples()...)
		fmt.Fprintf(w, "%s sent %d answered %d not run %d unknown %d cut %d no answer %d p99 %s\n", time.Now().Format("15:04:05"), r.Sent(),
			r.Count("answered"), r.Count("not-run"), r.Count("unknown"), r.Count("cut"), r.Count("no-answer"), r.Quantile(99))
	}
	return samples
}

func goroutines(ctx context.Context, f *fleet.Fleet) (int, error) {
	most := 0
	for _, h := range f.Hosts() {
		d, err := h.Dump(ctx)
		if err != nil {
			return 0, err
		}
		most = max(most, d.Goroutines())
	}
	return most, nil
}

func report(ctx context.Context, w io.Writer, f *fleet.Fleet, samples []load.Sample, wrong []string, before int) error {
	v, err := f.Verify(ctx, samples, demo.Idempotent)
	if err != nil {
		return err
	}
	after, err := goroutines(ctx, f)
	if err != nil {
		return err
	}
	if float64(after) > growthLimit*float64(before) {
		wrong = append(wrong, fmt.Sprintf("goroutines grew from %d to %d", before, after))
	}
	fmt.Fprintf(w, "%d requests accounted for; %d above slots; %d invariants broken; goroutines %d to %d\n",
		v.Requests(), v.Over(), v.Breaches(), before, after)
	for _, line := range append(wrong, v.Wrong()...) {
		fmt.Fprintln(w, "WRONG:", line)
	}
	if v.Err() != nil {
		return v.Err()
	}
	if len(wrong) > 0 {
		return fmt.Errorf("found %d wrong outcomes", len(wrong))
	}
	fmt.Fprintln(w, "all invariants held")
	return nil
}
