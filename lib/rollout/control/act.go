package control

import (
	"context"
	"errors"
	"time"

	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/task"
)

// tick decides about each rollout that is not settled.
func (c *Controller) tick(ctx context.Context) {
	for service, e := range c.rollouts {
		if e.isHeld() && !c.clock.Now().Before(e.heldUntil) {
			c.withdraw(e)
		}
		if e.rollout.IsSettled() {
			continue
		}
		if service == c.local.service {
			c.shareTally(e)
		}
		c.judge(service, e)
		c.act(ctx, service, e)
	}
}

// shareTally sends the counts of the server on this host if they have changed: those of a
// target server at most ten times a second, others less often.
func (c *Controller) shareTally(e *entry) {
	running := c.hooks.running()
	if !e.tallied && running == e.running {
		return
	}
	now, interval := c.clock.Now(), c.tallyInterval(e, running)
	if c.tally.Instance() == "" || now.Sub(e.sentAt) < interval {
		return
	}
	c.tally = c.tally.WithRunning(running)
	e.rollout.MergeTally(c.tally)
	c.send(e, true)
	e.tallied, e.running, e.sentAt = false, running, now
}

// tallyInterval returns the least time between two tallies of the server on this host. It
// grows with the servers that send, so that what a node receives does not.
func (c *Controller) tallyInterval(e *entry, running int) time.Duration {
	targets, others := 0, 0
	for _, s := range c.servers[c.local.service] {
		if s.Release() == e.rollout.Order().Target() {
			targets++
		} else {
			others++
		}
	}
	if c.tally.Release() == e.rollout.Order().Target() {
		return max(tickInterval, time.Duration(targets)*targetSpacing)
	}
	if running == 0 && e.rollout.HasMoved() {
		return tickInterval
	}
	return max(otherInterval, time.Duration(others)*otherSpacing)
}

// judge applies a rollback at once, tells the peers and leaves the write to the next act.
func (c *Controller) judge(service string, e *entry) {
	v, bad := e.rollout.Judge(c.clock.Now(), c.servers[service])
	if !bad {
		return
	}
	c.rolledBack.Add(1)
	c.log.Write("rollout-verdict", "service", service, "target", e.rollout.Order().Target(), "source", "counts", "reason", v.Reason(), "route", v.Route(),
		"bad_servers", v.Servers(), "judged_servers", v.Judged(), "bad", v.Bad(), "responses", v.Total(), "baseline", v.Baseline(),
		"elapsed_ms", e.rollout.Elapsed(c.clock.Now()).Milliseconds())
	c.send(e, false)
}

// act writes the record that is due once it is the turn of this node. Nothing is written
// while the store lacks the order.
func (c *Controller) act(ctx context.Context, service string, e *entry) {
	now := c.clock.Now()
	action := e.rollout.Next(now, c.servers[service])
	if action.Kind() == rollout.None || e.isHeld() {
		e.due = rollout.Record{}
		return
	}
	next := action.Record()
	if e.due.Phase() != next.Phase() || e.due.Step() != next.Step() || e.due.Order() != next.Order() || e.due.Version() != next.Version() {
		e.dueSince = now
	}
	e.due = next
	if e.writing || now.Before(e.retryAt) || now.Sub(e.dueSince) < rollout.Turn(c.config.node, c.peerNodes(), service, next) {
		return
	}
	if e.absent {
		next = next.WithVersion(0)
	}
	e.writing = true
	go c.write(ctx, service, next)
}

// write writes a record and reports the result to the task.
func (c *Controller) write(ctx context.Context, service string, next rollout.Record) {
	result := written{service: service, next: next}
	defer func() { c.inbox.Send(message{written: &result}) }()
	defer task.Catch(func(e *task.PanicError) { result.err = e })
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result.version, result.err = c.hooks.write(ctx, service, next)
}

func (c *Controller) handleWritten(w written) {
	e, ok := c.rollouts[w.service]
	if !ok {
		return
	}
	now := c.clock.Now()
	e.writing = false
	var conflict *registry.ConflictError
	switch {
	case w.err == nil:
		if c.mergeRecord(w.service, w.next.WithVersion(w.version), "own") {
			c.send(e, false)
		}
	case errors.As(w.err, &conflict):
		e.retryAt = now.Add(conflictDelay)
		e.absent = !e.absent && isFirst(e)
		c.log.Write("rollout-write-refused", "service", w.service, "step", w.next.Step(), "phase", w.next.Phase().String(), "error", w.err.Error())
	default:
		e.retryAt = now.Add(failureDelay)
		c.log.Write("rollout-write-failed", "service", w.service, "step", w.next.Step(), "phase", w.next.Phase().String(), "error", w.err.Error())
	}
}

// isFirst reports whether the order has no record yet. The one of an earlier order may be
// missing in the store, since it was lost or the store was restored; a node that did not
// read the store at that time learns it by no watch. Later records are written again by the
// nodes that know of the loss.
func isFirst(e *entry) bool {
	known := e.rollout.Record()
	return known.Version() > 0 && known.Order() != e.rollout.Order().Version()
}

func (c *Controller) peerNodes() []string {
	nodes := make([]string, 0, len(c.peers))
	for _, p := range c.peers {
		nodes = append(nodes, p.node)
	}
	return nodes
}

// send tells the peers what this node knows of a rollout.
func (c *Controller) send(e *entry, withTally bool) { c.hooks.send(c.messageOf(e, withTally)) }

func (c *Controller) messageOf(e *entry, withTally bool) rollout.Message {
	r := e.rollout
	m := rollout.NewMessage(r.Order(), r.Record(), r.Elapsed(c.clock.Now()), r.Withdrawn(), r.IsRolledBack())
	if withTally {
		m = m.WithTally(c.tally)
	}
	return m
}

// publishCurrent keeps what a peer is told that is linked later.
func (c *Controller) publishCurrent() {
	if len(c.rollouts) == 0 {
		return
	}
	underWay := int64(0)
	messages := make([]rollout.Message, 0, len(c.rollouts))
	for service, e := range c.rollouts {
		messages = append(messages, c.messageOf(e, service == c.local.service && c.tally.Instance() != ""))
		if e.rollout.IsUnderWay() {
			underWay++
		}
	}
	c.underWay.Store(underWay)
	c.current.Store(&messages)
}
