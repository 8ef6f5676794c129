package fleet

import (
	"context"
	"fmt"

	"savorygap.example/savorygap-bench/internal/load"
)

// Verdict is what a check of the whole fleet found.
type Verdict struct {
	requests int
	over     int
	breaches int
	wrong    []string
}

// Requests returns how many requests were accounted for.
func (v Verdict) Requests() int { return v.requests }

// Over returns how many requests began above a server's slots.
func (v Verdict) Over() int { return v.over }

// Breaches returns how often an invariant inside a node did not hold.
func (v Verdict) Breaches() int { return v.breaches }

// Wrong returns the outcomes and log lines that must not be.
func (v Verdict) Wrong() []string { return v.wrong }

// Err returns an error unless everything held.
func (v Verdict) Err() error {
	if len(v.wrong) == 0 && v.over == 0 && v.breaches == 0 {
		return nil
	}
	return fmt.Errorf("found %d wrong outcomes, %d requests above slots and %d broken invariants: %v", len(v.wrong), v.over, v.breaches, v.wrong)
}

// Verify compares every outcome with what the servers ran, and asks the nodes
// for broken invariants and faults in their logs.
func (f *Fleet) Verify(ctx context.Context, samples []load.Sample, idempotent func(flow string) bool) (Verdict, error) {
	v := Verdict{requests: len(samples)}
	runs := map[string]int{}
	for _, h := range f.hosts {
		if h.server == nil {
			continue
		}
		l := h.server.Ledger()
		v.over += l.Over()
		for id, n := range l.Runs() {
			runs[id] += n
		}
	}
	v.wrong = load.Account(samples, runs, idempotent)
	for _, h := range f.hosts {
		d, err := h.Dump(ctx)
		if err != nil {
			return v, err
		}
		v.breaches += d.Breaches()
	}
	for _, line := range f.Faults() {
		v.wrong = append(v.wrong, "log: "+line)
	}
	return v, nil
}
