package fleet

import (
	"context"
	"fmt"

	"savorygap.example/savorygap-bench/internal/load"
)

// VerifyResult is what a check of the whole fleet found.
type VerifyResult struct {
	requests int
	over     int
	breaches int
	wrong    []string
}

// Requests returns how many requests were accounted for.
func (v VerifyResult) Requests() int { return v.requests }

// OverCapacity returns how many requests began above a server's slots.
func (v VerifyResult) OverCapacity() int { return v.over }

// InvariantBreaches returns how often an invariant inside a node did not hold.
func (v VerifyResult) InvariantBreaches() int { return v.breaches }

// Violations returns the outcomes and log lines that must not be.
func (v VerifyResult) Violations() []string { return v.wrong }

// Err returns an error unless everything held.
func (v VerifyResult) Err() error {
	if len(v.wrong) == 0 && v.over == 0 && v.breaches == 0 {
		return nil
	}
	return fmt.Errorf("found %d wrong outcomes, %d requests above slots and %d broken invariants: %v", len(v.wrong), v.over, v.breaches, v.wrong)
}

// Verify compares every outcome with what the servers ran, and asks the nodes
// for broken invariants and faults in their logs.
func (f *Fleet) Verify(ctx context.Context, samples []load.Sample, idempotent func(flow string) bool) (VerifyResult, error) {
	v := VerifyResult{requests: len(samples)}
	runs := map[string]int{}
	for _, h := range f.hosts {
		if h.server == nil {
			continue
		}
		l := h.server.Stats()
		v.over += l.OverCapacity()
		for id, n := range l.Runs() {
			runs[id] += n
		}
	}
	v.wrong = load.CheckExecutions(samples, runs, idempotent)
	for _, h := range f.hosts {
		d, err := h.Dump(ctx)
		if err != nil {
			return v, err
		}
		v.breaches += d.InvariantBreaches()
	}
	for _, line := range f.ErrorLogLines() {
		v.wrong = append(v.wrong, "log: "+line)
	}
	return v, nil
}
