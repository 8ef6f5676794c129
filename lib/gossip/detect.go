package gossip

import (
	"context"
	"time"

	"savorygap.example/lib/member"
)

const (
	silenceLimit   = 2500 * time.Millisecond
	probeWindow    = 1500 * time.Millisecond
	probeHelpers   = 3
	recentlyHeard  = time.Second
	stallTolerance = 500 * time.Millisecond
)

// probing is the question, put to peers, whether a silent node can be reached.
type probing struct {
	until time.Time
}

// forgive extends all deadlines by the time for which this process itself did
// not run, so that a paused or starved node does not suspect its peers.
func (c *Agent) forgive(now time.Time) {
	gap := now.Sub(c.lastTick) - tickInterval
	c.lastTick = now
	if gap < stallTolerance {
		return
	}
	for _, l := range c.links {
		l.heard = l.heard.Add(gap)
	}
	for _, p := range c.probes {
		p.until = p.until.Add(gap)
	}
}

// detect asks others about silent neighbours and suspects those whom nobody
// reached in time.
func (c *Agent) detect(_ context.Context, now time.Time) {
	for name, l := range c.links {
		if now.Sub(l.heard) > silenceLimit {
			delete(c.links, name)
			l.closing()
			c.startProbe(now, name)
		}
	}
	for name, p := range c.probes {
		if now.Before(p.until) {
			continue
		}
		delete(c.probes, name)
		c.suspect(now, name)
	}
}

func (c *Agent) suspect(now time.Time, name string) {
	claim, ok := c.table.SuspectRecord(name)
	if !ok {
		return
	}
	c.suspected++
	if change := c.table.Merge(now, claim); change.Changed() {
		c.spread(change.Record(), "")
	}
}

// startProbe asks a few peers, and this node itself, to reach a silent node.
func (c *Agent) startProbe(now time.Time, name string) {
	claim, ok := c.table.Get(name)
	if !ok || claim.Status() != member.Alive || c.probes[name] != nil {
		return
	}
	c.probes[name] = &probing{until: now.Add(probeWindow)}
	c.reach(context.Background(), name, claim.CallAddress(), "")
	asked := 0
	for peer, l := range c.links {
		if peer == name || asked == probeHelpers {
			continue
		}
		asked++
		c.send(l, Message{probe: &Probe{name: name, target: claim.CallAddress()}}, priorityEssential)
	}
}

// reach tries to connect to a node in the background and reports back.
func (c *Agent) reach(ctx context.Context, name, calls, asker string) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		alive := c.hooks.reach(ctx, name, calls)
		c.inbox.Send(controlMessage{reached: &reached{name: name, asker: asker, alive: alive}})
	}()
}

func (c *Agent) takeProbe(ctx context.Context, now time.Time, l *Link, p Probe) {
	if other := c.links[p.name]; other != nil && now.Sub(other.heard) < recentlyHeard {
		c.send(l, Message{verdict: &ProbeResult{name: p.name, alive: true}}, priorityEssential)
		return
	}
	c.reach(ctx, p.name, p.target, l.peer)
}

// answerProbe passes the result of reach to the peer that asked, or takes it
// for this node's own probe.
func (c *Agent) answerProbe(r reached) {
	verdict := ProbeResult{name: r.name, alive: r.alive}
	if r.asker == "" {
		c.takeVerdict(c.clock.Now(), verdict)
		return
	}
	if l := c.links[r.asker]; l != nil {
		c.send(l, Message{verdict: &verdict}, priorityEssential)
	}
}

func (c *Agent) takeVerdict(_ time.Time, v ProbeResult) {
	if v.alive {
		delete(c.probes, v.name)
	}
}
