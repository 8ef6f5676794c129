package gossip

import (
	"context"
	"time"

	"savorygap.example/lib/member"
)

const (
	linkSilenceTimeout  = 2500 * time.Millisecond
	probeResultTimeout  = 1500 * time.Millisecond
	maxIndirectProbes   = 3
	recentReceiveWindow = time.Second
	stallTolerance      = 500 * time.Millisecond
)

// pendingProbe is an unfinished check whether an unresponsive node is reachable.
type pendingProbe struct {
	deadline time.Time
}

// extendDeadlines extends all deadlines by the time for which this process
// itself did not run, so that a paused or starved node does not suspect its
// peers.
func (a *Agent) extendDeadlines(now time.Time) {
	gap := now.Sub(a.lastTick) - tickInterval
	a.lastTick = now
	if gap < stallTolerance {
		return
	}
	for _, l := range a.links {
		l.lastReceived = l.lastReceived.Add(gap)
	}
	for _, p := range a.probes {
		p.deadline = p.deadline.Add(gap)
	}
}

// detectFailures closes links on which nothing was received for too long, probes
// their peers, and suspects the nodes that no probe reached in time.
func (a *Agent) detectFailures(_ context.Context, now time.Time) {
	for name, l := range a.links {
		if now.Sub(l.lastReceived) > linkSilenceTimeout {
			delete(a.links, name)
			l.closeConn()
			a.startProbe(now, name)
		}
	}
	for name, p := range a.probes {
		if now.Before(p.deadline) {
			continue
		}
		delete(a.probes, name)
		a.suspect(now, name)
	}
}

// suspect marks a node as suspected and broadcasts that.
func (a *Agent) suspect(now time.Time, name string) {
	record, ok := a.table.SuspectRecord(name)
	if !ok {
		return
	}
	a.suspicions++
	if change := a.table.Merge(now, record); change.Changed() {
		a.broadcast(change.Record(), "")
	}
}

// startProbe checks from this node and from a few peers whether an unresponsive
// node is reachable.
func (a *Agent) startProbe(now time.Time, name string) {
	record, ok := a.table.Get(name)
	if !ok || record.Status() != member.Alive || a.probes[name] != nil {
		return
	}
	a.probes[name] = &pendingProbe{deadline: now.Add(probeResultTimeout)}
	a.checkReachable(context.Background(), name, record.CallAddress(), "")
	asked := 0
	for peer, l := range a.links {
		if peer == name || asked == maxIndirectProbes {
			continue
		}
		asked++
		a.send(l, Message{probe: &Probe{name: name, address: record.CallAddress()}}, priorityEssential)
	}
}

// checkReachable tries to connect to a node in the background and sends the
// result to the agent.
func (a *Agent) checkReachable(ctx context.Context, name, callAddress, requester string) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reachabilityCheckTimeout)
		defer cancel()
		reachable := a.hooks.checkReachable(ctx, name, callAddress)
		a.inbox.Send(agentMessage{reachability: &reachability{name: name, requester: requester, reachable: reachable}})
	}()
}

// handleProbe responds at once if the node was heard from recently, and
// otherwise checks whether it is reachable.
func (a *Agent) handleProbe(ctx context.Context, now time.Time, l *Link, p Probe) {
	if other := a.links[p.name]; other != nil && now.Sub(other.lastReceived) < recentReceiveWindow {
		a.send(l, Message{probeResult: &ProbeResult{name: p.name, reachable: true}}, priorityEssential)
		return
	}
	a.checkReachable(ctx, p.name, p.address, l.peer)
}

// handleReachability sends the result of a check to the peer that requested it,
// or applies it to this node's own probe.
func (a *Agent) handleReachability(r reachability) {
	probeResult := ProbeResult{name: r.name, reachable: r.reachable}
	if r.requester == "" {
		a.handleProbeResult(a.clock.Now(), probeResult)
		return
	}
	if l := a.links[r.requester]; l != nil {
		a.send(l, Message{probeResult: &probeResult}, priorityEssential)
	}
}

func (a *Agent) handleProbeResult(_ time.Time, probeResult ProbeResult) {
	if probeResult.reachable {
		delete(a.probes, probeResult.name)
	}
}
