package fleet

import (
	"context"
	"fmt"

	"savorygap.example/savorygap-bench/internal/load"
)

// VerifyResult is the result of checking a fleet.
type VerifyResult struct {
	requests          int
	overCapacity      int
	invariantBreaches int
	violations        []string
}

// Requests returns how many requests were checked.
func (v VerifyResult) Requests() int { return v.requests }

// OverCapacity returns how many requests started while all slots of their server were
// taken.
func (v VerifyResult) OverCapacity() int { return v.overCapacity }

// InvariantBreaches returns how often an invariant was violated inside a node.
func (v VerifyResult) InvariantBreaches() int { return v.invariantBreaches }

// Violations returns the wrong outcomes and the error lines of the node logs.
func (v VerifyResult) Violations() []string { return v.violations }

// Err returns an error if the check found anything.
func (v VerifyResult) Err() error {
	if len(v.violations) == 0 && v.overCapacity == 0 && v.invariantBreaches == 0 {
		return nil
	}
	return fmt.Errorf("found %d wrong outcomes or logged errors, %d requests over server capacity and %d invariant violations: %v", len(v.violations), v.overCapacity, v.invariantBreaches, v.violations)
}

// Verify compares the outcome of every sample with what the servers executed, and
// collects the invariant violations of the nodes and the errors in their logs.
func (f *Fleet) Verify(ctx context.Context, samples []load.Sample, idempotent func(flow string) bool) (VerifyResult, error) {
	v := VerifyResult{requests: len(samples)}
	executions := map[string]int{}
	for _, h := range f.hosts {
		if h.server == nil {
			continue
		}
		stats := h.server.Stats()
		v.overCapacity += stats.OverCapacity()
		for id, n := range stats.Executions() {
			executions[id] += n
		}
	}
	v.violations = load.CheckExecutions(samples, executions, idempotent)
	for _, h := range f.hosts {
		d, err := h.Dump(ctx)
		if err != nil {
			return v, err
		}
		v.invariantBreaches += d.InvariantBreaches()
	}
	for _, line := range f.ErrorLogLines() {
		v.violations = append(v.violations, "log: "+line)
	}
	return v, nil
}
