package control

import (
	"time"

	"savorygap.example/lib/rollout"
)

// isRolledBackInCopy reports whether the copy to which the store was restored has the
// rollback of an order under the version that the order had in an older era. Its place in
// the era is the same, as it is the same write.
func (c *Controller) isRolledBackInCopy(order rollout.Order) bool {
	r := c.records[order.Service()]
	before, now := c.hooks.eraStart(r.Order()), c.hooks.eraStart(order.Version())
	return r.Phase() == rollout.RolledBack && r.Target() == order.Target() && before < now && r.Order()-before == order.Version()-now
}

// continueWith goes on with a rollout if an order is the same one: that of an older era of
// the store, which the copy lists or the operators have written again. Operators may write
// it over that of the copy; removing it first makes it a new one. It reports whether it is
// the same.
func (c *Controller) continueWith(e *entry, order rollout.Order, source string) bool {
	now, before := c.clock.Now(), e.rollout.Order().Version()
	crossed := c.hooks.eraStart(before) < c.hooks.eraStart(order.Version())
	if !crossed && (e.rollout.Withdrawn() || !now.Before(e.carriedUntil)) {
		return false
	}
	if !e.rollout.Continue(order) {
		return false
	}
	if crossed {
		e.carriedUntil = now.Add(restoreHold)
	}
	e.heldUntil, e.due = time.Time{}, rollout.Record{}
	e.rollout.MergeRecord(now, c.records[order.Service()])
	c.log.Write("rollout-continued", "service", order.Service(), "target", order.Target(), "state", e.rollout.State(), "step", e.rollout.Step(),
		"elapsed_ms", e.rollout.Elapsed(now).Milliseconds(), "version", order.Version(), "before", before, "source", source)
	return true
}

// hold keeps a rollout in force whose order the store has lost, until the operators have
// had the time to write it again. No step is taken meanwhile.
func (c *Controller) hold(e *entry, era uint64) {
	if e.rollout.Withdrawn() || e.isHeld() && e.heldEra == era {
		return
	}
	e.heldUntil, e.heldEra = c.clock.Now().Add(restoreHold), era
	c.log.Write("rollout-held", "service", e.rollout.Order().Service(), "target", e.rollout.Order().Target(), "state", e.rollout.State(), "step", e.rollout.Step())
}

func (c *Controller) withdraw(e *entry) {
	e.heldUntil = time.Time{}
	if e.rollout.Withdraw() {
		c.log.Write("rollout-withdrawn", "service", e.rollout.Order().Service(), "target", e.rollout.Order().Target(), "state", e.rollout.State())
		c.send(e, false)
	}
}
