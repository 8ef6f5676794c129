package fleet

import (
	"maps"

	"savorygap.example/lib/link"
	"savorygap.example/lib/quota"
)

// Membership is what this node knows of the nodes of the fleet that are not stopping.
type Membership struct {
	links    map[string]*link.Link
	members  int
	stopping bool
}

// Links returns the links to other nodes, by node.
func (m Membership) Links() map[string]*link.Link { return m.links }

// Members returns the number of nodes, this one included unless it is stopping.
func (m Membership) Members() int { return m.members }

// IsStopping reports whether this node is stopping.
func (m Membership) IsStopping() bool { return m.stopping }

// quotaHooks are the hooks for quotas. All are nil, or none is.
type quotaHooks struct {
	membership func(Membership)
	question   func(*link.Link, quota.Question)
	answer     func(*link.Link, quota.Answer)
}

// WithQuotas returns the hooks with functions that receive the nodes of the fleet, and
// from the task of a link the questions and answers about quotas of a peer. Without them
// peers are not told when this node stops.
func (h Hooks) WithQuotas(membership func(Membership), question func(*link.Link, quota.Question), answer func(*link.Link, quota.Answer)) Hooks {
	h.quotas = quotaHooks{membership: membership, question: question, answer: answer}
	return h
}

// withQuotas adds the hooks for quotas to those of a link.
func (f *Fleet) withQuotas(h link.Hooks) link.Hooks {
	if f.hooks.quotas.membership == nil {
		return h
	}
	return h.WithQuotas(f.hooks.quotas.question, f.hooks.quotas.answer)
}

// announceStopping tells the peers that this node is stopping.
func (f *Fleet) announceStopping() {
	if f.hooks.quotas.membership == nil {
		return
	}
	f.stopping = true
	for _, p := range f.links {
		p.link.SendSignal(link.Stopping)
	}
	f.publishMembership(f.newestLinks())
}

// handleStopping records that a peer is stopping. Its entry may stay in the store for a
// while after its link has ended.
func (f *Fleet) handleStopping(l *link.Link) {
	if p, ok := f.links[l.ID()]; ok && p.helloReceived {
		f.stoppingNodes[p.hello.Node()] = true
		f.log.Write("peer-stopping", "peer", p.hello.Node())
		f.schedulePeers()
	}
}

// newestLinks returns the link to each node that has one. Of two links to the same node
// the newer one is used, and none that is silent.
func (f *Fleet) newestLinks() map[string]*peerLink {
	newest := map[string]*peerLink{}
	for _, p := range f.links {
		if !p.helloReceived || p.silent {
			continue
		}
		if other, ok := newest[p.hello.Node()]; !ok || other.link.ID() < p.link.ID() {
			newest[p.hello.Node()] = p
		}
	}
	return newest
}

// publishMembership passes the nodes of the fleet to the hook once the members are known.
func (f *Fleet) publishMembership(newest map[string]*peerLink) {
	if f.hooks.quotas.membership == nil || f.rosterSource == noRoster {
		return
	}
	m := Membership{links: make(map[string]*link.Link, len(newest)), stopping: f.stopping}
	for node, p := range newest {
		if !f.stoppingNodes[node] {
			m.links[node] = p.link
		}
	}
	maps.DeleteFunc(f.stoppingNodes, func(node string, _ bool) bool {
		_, listed := f.members[node]
		return !listed && newest[node] == nil
	})
	m.members = f.memberCount()
	for node := range f.stoppingNodes {
		if _, listed := f.members[node]; listed {
			m.members--
		}
	}
	if f.stopping {
		m.members--
	}
	f.hooks.quotas.membership(m)
}

// membershipUpdated passes a change read from the store on at once, since the
// configuration that follows it may begin to use the number of members.
func (f *Fleet) membershipUpdated() {
	if f.hooks.quotas.membership != nil {
		f.publishMembership(f.newestLinks())
	}
}

// membersChanged passes a change of the members on soon, where someone wants it.
func (f *Fleet) membersChanged() {
	if f.hooks.quotas.membership != nil {
		f.schedulePeers()
	}
}
