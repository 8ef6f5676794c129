package quota_test

import (
	"time"

	"savorygap.example/lib/quota"
)

// idleLinks is the share of links that carry no request, so that only a ping shows that
// the peer is cut off.
const idleLinks = 0.3

// isolate cuts a node off from all others for a while. Each node notices at another
// time.
func (s *fleetSim) isolate(n *simNode, d time.Duration) {
	n.cut = true
	cutAt := s.now
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		for _, pair := range [][2]*simNode{{n, other}, {other, n}} {
			notice := s.between(time.Second, 2500*time.Millisecond)
			if s.rand.Float64() < idleLinks {
				notice = s.between(time.Second, 6*time.Second)
			}
			s.after(notice, func() {
				if n.cut && s.now-cutAt < d {
					pair[0].setLinked(pair[1], false)
				}
			})
		}
	}
	s.after(d, func() {
		n.cut = false
		for _, other := range s.nodes {
			if other != n {
				s.link(n, other, s.between(10*time.Millisecond, 2*time.Second))
			}
		}
	})
}

// split divides the fleet into two halves that do not reach each other.
func (s *fleetSim) split() {
	for i, n := range s.nodes {
		n.side = i % 2
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.side != b.side {
				s.after(s.between(time.Second, 2500*time.Millisecond), func() { a.setLinked(b, false) })
			}
		}
	}
}

// owner returns the node that owns a tenant in a view of all nodes that run.
func (s *fleetSim) owner(tenant string) *simNode {
	var names []string
	for _, n := range s.nodes {
		if n.alive {
			names = append(names, n.name)
		}
	}
	v := quota.NewView("", names, len(names), true)
	for _, n := range s.nodes {
		if n.name == v.Owner(tenant) {
			return n
		}
	}
	return nil
}

// link links two nodes after a while, if both run and none is cut off.
func (s *fleetSim) link(a, b *simNode, delay time.Duration) {
	s.after(delay, func() {
		if a.alive && b.alive && !a.cut && !b.cut {
			a.setLinked(b, true)
			b.setLinked(a, true)
		}
	})
}

// kill ends the process of a node, and starts it again after a while, 0 for never.
func (s *fleetSim) kill(n *simNode, down time.Duration) {
	n.alive = false
	for _, other := range s.nodes {
		if other != n && !n.cut {
			s.after(s.between(oneWay, 5*time.Millisecond), func() { other.setLinked(n, false) })
		}
	}
	if down > 0 {
		s.after(down, func() { s.startNode(n) })
	}
}

// startNode starts the process of a node, which is then linked and configured.
func (s *fleetSim) startNode(n *simNode) {
	if n.alive {
		return
	}
	n.boot()
	n.updateView()
	s.after(s.between(50*time.Millisecond, 400*time.Millisecond), n.inEra(func() { n.configure(s.limits) }))
	for _, other := range s.nodes {
		if other != n {
			s.link(n, other, s.between(20*time.Millisecond, time.Second))
		}
	}
}

// join adds a node to the fleet.
func (s *fleetSim) join() {
	n := s.addNode()
	for _, other := range s.nodes {
		other.known = len(s.nodes)
		if other != n && other.alive {
			other.viewChanged()
		}
	}
	s.startNode(n)
}

// setLimits brings new limits into force on each node, at a time of its own within 2.5 s.
func (s *fleetSim) setLimits(limits ...quota.Limit) {
	s.limits = limits
	for _, n := range s.nodes {
		s.after(s.between(0, 2500*time.Millisecond), func() {
			if n.alive && n.limits != nil {
				n.configure(limits)
			}
		})
	}
}

// loseLink has two nodes lose the link between them, one of them later than the other, until
// they have a new one.
func (s *fleetSim) loseLink(a, b *simNode, d time.Duration) {
	if a == b || !b.alive || b.cut {
		return
	}
	a.setLinked(b, false)
	s.after(s.between(0, min(d, 6*time.Second)), func() { b.setLinked(a, false) })
	s.link(a, b, d+s.between(10*time.Millisecond, time.Second))
}

// removeTenants brings a configuration without limits into force on each node for a while, at a
// time of its own within 2.5 s.
func (s *fleetSim) removeTenants(d time.Duration) {
	for _, n := range s.nodes {
		s.after(s.between(0, 2500*time.Millisecond), n.inEra(func() {
			n.configure(nil)
			s.after(d, n.inEra(func() { n.configure(s.limits) }))
		}))
	}
}
