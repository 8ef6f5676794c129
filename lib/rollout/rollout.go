package rollout

import (
	"slices"
	"time"

	"savorygap.example/lib/chart"
)

const (
	eventRamp     chart.Event = "ramp"
	eventShift    chart.Event = "shift"
	eventFinish   chart.Event = "finish"
	eventRollBack chart.Event = "rollBack"
	eventWithdraw chart.Event = "withdraw"

	tagUnderWay chart.Tag = "underWay"
	tagJudging  chart.Tag = "judging"
	tagMoved    chart.Tag = "moved"

	stateComplete   chart.State = "complete"
	stateRolledBack chart.State = "rolledBack"
)

// Rollout is what a node knows of the rollout of one order.
type Rollout struct {
	order          Order
	earlier        []uint64 // store versions that the order had in older eras of the store
	bounds         Bounds
	steps          []step
	machine        *chart.Machine
	record         Record // the newest one, possibly of an earlier order
	stale          bool   // whether the store has an older record, or none
	lostAt         uint64 // store version at which it had none
	withdrawn      bool
	learnedAt      time.Time
	base           time.Duration // time since the order at learnedAt
	stepSince      time.Time     // when this node learned of the present step
	suspectedSince time.Time     // when a majority became suspected; see Rollout.confirm
	tallies        map[string]Tally
}

// New returns the rollout of an order of which the node learns now.
func New(charts *chart.Set, order Order, bounds Bounds, now time.Time) (*Rollout, error) {
	c, err := charts.Chart("rollout")
	if err != nil {
		return nil, err
	}
	machine, err := c.NewMachine(chart.Actions{})
	if err != nil {
		return nil, err
	}
	return &Rollout{order: order, bounds: bounds, steps: plan(bounds.share), machine: machine, learnedAt: now, stepSince: now, tallies: map[string]Tally{}}, nil
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Record returns the newest record that this node knows.
func (r *Rollout) Record() Record { return r.record }

// State returns the state of the chart.
func (r *Rollout) State() string { return string(r.machine.State()) }

// IsUnderWay reports whether requests move to the target version.
func (r *Rollout) IsUnderWay() bool { return r.machine.HasTag(tagUnderWay) }

// IsComplete reports whether the target version is that of the service.
func (r *Rollout) IsComplete() bool { return r.machine.State() == stateComplete }

// IsRolledBack reports whether the target version is bad.
func (r *Rollout) IsRolledBack() bool { return r.machine.State() == stateRolledBack }

// IsSettled reports whether nothing is left to decide or to write.
func (r *Rollout) IsSettled() bool {
	if r.stale && !r.withdrawn {
		return false
	}
	return r.withdrawn || r.IsComplete() || r.IsRolledBack() && r.record.order == r.order.version && r.record.phase == RolledBack
}

// Elapsed returns the time since the order, as far as this node knows.
func (r *Rollout) Elapsed(now time.Time) time.Duration { return r.base + now.Sub(r.learnedAt) }

// LearnElapsed records that at least elapsed has passed since the order.
func (r *Rollout) LearnElapsed(now time.Time, elapsed time.Duration) {
	if elapsed > r.Elapsed(now) {
		r.base, r.learnedAt = elapsed, now
	}
}

// previous returns the version that the service had before the order.
func (r *Rollout) previous() string {
	if r.record.order == r.order.version {
		return r.record.previous
	}
	return ""
}

// Previous returns the version that the service had before the order, "" before the
// first record of the order is known.
func (r *Rollout) Previous() string { return r.previous() }

// step returns the index of the present step, 0 before the first record.
func (r *Rollout) step() int {
	if r.record.order != r.order.version {
		return 0
	}
	return min(max(r.record.step, 0), shifted)
}

// Step returns the index of the present step.
func (r *Rollout) Step() int { return r.step() }

// LoseRecord records that the store had no record at a version, which the next write then
// expects. That of the order is written again. It reports whether one of the order was lost.
func (r *Rollout) LoseRecord(version uint64) bool {
	if r.record.version == 0 || version < r.record.version {
		return false
	}
	r.record.version, r.lostAt = 0, version
	if r.record.order != r.order.version {
		return false
	}
	r.stale = true
	return true
}

// Continue has the rollout go on under another version of its order, which the operators
// wrote again after the store was restored to an older state, or which the copy has. What
// is known stays, and the record is written again. It reports false, and changes nothing,
// for an order of another target or duration, and if the operators had ended the rollout.
func (r *Rollout) Continue(order Order) bool {
	ended := r.withdrawn && !r.IsComplete() && !r.IsRolledBack()
	if ended || order.service != r.order.service || order.target != r.order.target || order.duration != r.order.duration {
		return false
	}
	if r.record.order == r.order.version {
		r.record.order, r.stale = order.version, true
	}
	r.earlier = append(r.earlier, r.order.version)
	r.order, r.withdrawn = order, false
	return true
}

// Continues reports whether the order had a version before the store was restored.
func (r *Rollout) Continues(version uint64) bool { return slices.Contains(r.earlier, version) }

// Adopt takes over the outcome of an earlier order for the same target: a service that has
// the version is complete at once. It reports whether that is so.
func (r *Rollout) Adopt(record Record) bool {
	if record.phase != Complete || record.target != r.order.target || record.order == r.order.version {
		return false
	}
	r.record = NewRecord(r.order.version, record.target, record.previous, Complete, shifted, 0).WithVersion(record.version)
	r.stale = true
	r.fire(eventFinish)
	return true
}

// MergeRecord adopts a record that is newer than the known one. It reports whether it was.
// A newer one with less progress is that of a store that was restored to an older state:
// what was acknowledged stays, and is written again. One of a later order waits until that
// order is known.
func (r *Rollout) MergeRecord(now time.Time, record Record) bool {
	renamed := r.Continues(record.order)
	if renamed {
		record.order = r.order.version
	}
	if record.version <= r.record.version || record.version <= r.lostAt || record.order > r.order.version {
		return false
	}
	if record.order < r.record.order || record.order == r.record.order && record.progress() < r.record.progress() {
		r.record.version, r.stale = record.version, r.record.order == r.order.version
		return true
	}
	r.adoptRecord(now, record, renamed)
	return true
}

// LearnProgress adopts what a peer knows of the rollout, and what the store has lost: more
// progress than the known record has. It is written again. It reports whether it was more.
func (r *Rollout) LearnProgress(now time.Time, record Record) bool {
	if r.Continues(record.order) {
		record.order = r.order.version
	}
	if record.order != r.order.version || r.record.order == record.order && record.progress() <= r.record.progress() {
		return false
	}
	r.adoptRecord(now, record.WithVersion(r.record.version), true)
	return true
}

// adoptRecord replaces the known record. stale is whether the store has another one.
func (r *Rollout) adoptRecord(now time.Time, record Record, stale bool) {
	before := r.step()
	r.record, r.stale = record, stale
	if record.order != r.order.version {
		return
	}
	if r.step() != before {
		r.stepSince = now
	}
	r.LearnElapsed(now, record.elapsed)
	switch {
	case record.phase == Complete:
		r.fire(eventFinish)
	case record.phase == RolledBack:
		r.fire(eventRollBack)
	case record.step >= shifted:
		r.fire(eventShift)
	case record.step >= firstRamp:
		r.fire(eventRamp)
	}
}

// MergeTally replaces the tally of a server by a newer one.
func (r *Rollout) MergeTally(t Tally) {
	known, ok := r.tallies[t.node]
	if ok && known.release == t.release && t.total() == 0 && known.total() > 0 {
		// The node has restarted; what its server did before still counts.
		known.running = t.running
		r.tallies[t.node] = known
		return
	}
	r.tallies[t.node] = t
}

// Judge decides whether the target version is bad, and rolls it back if so. servers are
// those of the service that this node knows. A service without another version cannot be
// rolled back.
func (r *Rollout) Judge(now time.Time, servers []Server) (Verdict, bool) {
	if !r.machine.HasTag(tagJudging) || r.previous() == "" {
		return Verdict{}, false
	}
	v, bad := r.judge(now, len(r.targets(servers)))
	if bad {
		r.fire(eventRollBack)
	}
	return v, bad
}

// RollBack records that another node has decided on a rollback. It reports whether that
// is news.
func (r *Rollout) RollBack() bool {
	if !r.machine.Accepts(eventRollBack) {
		return false
	}
	r.fire(eventRollBack)
	return true
}

// Withdraw ends the rollout because the order was removed. It reports whether that is
// news. A complete rollout stays complete.
func (r *Rollout) Withdraw() bool {
	if r.withdrawn {
		return false
	}
	r.withdrawn = true
	r.fire(eventWithdraw)
	return true
}

// HasMoved reports whether the target version gets all new requests.
func (r *Rollout) HasMoved() bool { return r.machine.HasTag(tagMoved) }

// Withdrawn reports whether the order was removed.
func (r *Rollout) Withdrawn() bool { return r.withdrawn }

// fire follows the chart. An event that a state does not take changes nothing.
func (r *Rollout) fire(e chart.Event) {
	if r.machine.Accepts(e) {
		_ = r.machine.Fire(e) // accepted
	}
}
