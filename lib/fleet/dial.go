package fleet

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
)

func (f *Fleet) dialStateOf(node string) *dialState {
	s, ok := f.dialStates[node]
	if !ok {
		s = &dialState{unlinkedSince: f.clock.Now()}
		f.dialStates[node] = s
	}
	return s
}

// removeUnreachable requests the removal of the entry of a member that has been
// unreachable for unreachableTimeout and still is: a process that was paused has to
// dial it once more. Only the node that isRemover selects does so.
func (f *Fleet) removeUnreachable(m Member, s *dialState, now time.Time) {
	if now.Sub(s.lastFailureAt) > maxFailureAge || now.Sub(s.unlinkedSince) < unreachableTimeout || now.Before(s.nextRemovalAt) || !f.isRemover(m.node) {
		return
	}
	if m.version == 0 {
		delete(f.members, m.node)
		return
	}
	s.nextRemovalAt = now.Add(removalRetryInterval)
	f.log.Write("member-gone", "peer", m.node, "address", m.address, "out_of_reach_ms", now.Sub(s.unlinkedSince).Milliseconds())
	f.hooks.removeMember(registry.NewRecord(registry.KindMember, m.node, nil).WithVersion(m.version))
}

// isRemover reports whether this node removes the entry of an unreachable member.
// Of this node and its peers, the remover is the one with the highest hash of its
// name and the member's, so that nodes with the same peers select the same one.
func (f *Fleet) isRemover(member string) bool {
	rank := func(node string) uint64 { return xxhash.Sum64String(node + "/" + member) }
	own := rank(f.self.node)
	for _, p := range f.links {
		if p.helloReceived && rank(p.hello.Node()) > own {
			return false
		}
	}
	return true
}

// tick dials the members without a link and removes unreachable ones. It also ends what
// is held after a restore of the store.
func (f *Fleet) tick(ctx context.Context) {
	f.followEra()
	if f.dialStopped {
		return
	}
	f.dialMembers(ctx)
	now := f.clock.Now()
	for node, s := range f.dialStates {
		if m, listed := f.members[node]; listed {
			f.removeUnreachable(m, s, now)
		} else {
			delete(f.dialStates, node)
		}
	}
}

// dialsFirst reports whether this node dials the other one first. The hash divides
// the dials of a fleet evenly among its nodes, and both nodes agree on it.
func (f *Fleet) dialsFirst(node string) bool {
	lower, higher := min(f.self.node, node), max(f.self.node, node)
	return xxhash.Sum64String(lower+"/"+higher)&1 == 0 == (f.self.node == lower)
}

// dialMembers dials members without a link, maxDials at once.
func (f *Fleet) dialMembers(ctx context.Context) {
	if f.dialStopped || f.dials >= maxDials {
		return
	}
	linked := map[string]bool{f.self.node: true}
	for _, p := range f.links {
		if !p.silent {
			linked[p.link.Peer()] = true
		}
	}
	now := f.clock.Now()
	for node, m := range f.members {
		if linked[node] {
			delete(f.dialStates, node)
			continue
		}
		s := f.dialStateOf(node)
		if f.dials >= maxDials || s.dialing || now.Before(s.retryAt) || !f.dialsFirst(node) && now.Sub(s.unlinkedSince) < passiveDialDelay {
			continue
		}
		s.dialing = true
		f.dials++
		go f.dial(ctx, m)
	}
}

func (f *Fleet) dial(ctx context.Context, m Member) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.address)
	if err == nil {
		err = link.SetUserTimeout(conn)
	}
	if !f.inbox.Send(message{dialled: &dialResult{node: m.node, conn: conn, err: err}}) && conn != nil {
		_ = conn.Close()
	}
}
