package rollout

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// closeAfter is how long after the last step the old version still accepts the requests
// of nodes that have not heard of it.
const closeAfter = 500 * time.Millisecond

// Server is a server of the service of a rollout, as this node knows it.
type Server struct {
	node      string
	release   string
	accepting bool
}

// NewServer returns the server beside a node. release is its version, "" if unknown.
func NewServer(node, release string, accepting bool) Server {
	return Server{node: node, release: release, accepting: accepting}
}

// Node returns the node beside the server.
func (s Server) Node() string { return s.node }

// Release returns the version of the server.
func (s Server) Release() string { return s.release }

// Policy is how the requests of a service are divided between two versions.
type Policy struct {
	base   string
	target string
	share  float64
	nodes  map[string]bool
}

// NewPolicy returns the policy of a service without a rollout: all requests go to servers
// of the version base.
func NewPolicy(base string) Policy { return Policy{base: base} }

// WithTarget returns the policy with the share of the requests that go to the servers of
// the target version beside the given nodes.
func (p Policy) WithTarget(target string, share float64, nodes ...string) Policy {
	p.target, p.share, p.nodes = target, share, make(map[string]bool, len(nodes))
	for _, n := range nodes {
		p.nodes[n] = true
	}
	return p
}

// Base returns the version that gets the other requests.
func (p Policy) Base() string { return p.base }

// Target returns the target version, "" if none gets requests.
func (p Policy) Target() string { return p.target }

// Share returns the share of the requests that go to the target version.
func (p Policy) Share() float64 { return p.share }

// Uses reports whether requests for a version may go to the server beside a node. The
// version of the server is release.
func (p Policy) Uses(version, node, release string) bool {
	return release == version && (version != p.target || version == p.base || p.nodes[node])
}

// Equal reports whether two policies are the same.
func (p Policy) Equal(q Policy) bool {
	if p.base != q.base || p.target != q.target || p.share != q.share || len(p.nodes) != len(q.nodes) {
		return false
	}
	for n := range p.nodes {
		if !q.nodes[n] {
			return false
		}
	}
	return true
}

// Policy returns how the requests of the service are divided now. own is the version that
// most servers of the service state, which counts until the first record.
func (r *Rollout) Policy(servers []Server, own string) Policy {
	previous := r.previous()
	switch {
	case r.IsComplete():
		return NewPolicy(r.order.target)
	case r.record.order != r.order.version:
		return NewPolicy(own)
	case previous == "" && !r.IsRolledBack() && !r.withdrawn:
		// The service had no other version, so that nothing else can be used.
		return NewPolicy(r.order.target)
	case !r.IsUnderWay():
		return NewPolicy(previous)
	}
	return NewPolicy(previous).WithTarget(r.order.target, r.steps[r.step()].share, r.inUse(servers)...)
}

// Admitted returns the versions whose servers accept requests. own is the version that
// most servers of the service state, which counts until the first record.
func (r *Rollout) Admitted(now time.Time, own string) []string {
	previous := r.previous()
	switch {
	case r.IsComplete():
		return []string{r.order.target}
	case r.record.order != r.order.version:
		return []string{own}
	case previous == "" && !r.IsRolledBack() && !r.withdrawn:
		return []string{r.order.target}
	case !r.IsUnderWay():
		return []string{previous}
	case r.HasMoved() && now.Sub(r.stepSince) >= closeAfter:
		return []string{r.order.target}
	}
	return []string{previous, r.order.target}
}

// targets returns the nodes beside accepting servers of the target version.
func (r *Rollout) targets(servers []Server) []string {
	var nodes []string
	for _, s := range servers {
		if s.accepting && s.release == r.order.target {
			nodes = append(nodes, s.node)
		}
	}
	return nodes
}

// inUse returns the nodes whose target servers get requests in the present step. A server
// that is set aside is replaced by another. Before the last step, as many are used as
// give each about the load that it will have after it, so that faults under load show
// early. The choice is the same on all nodes that know the same servers.
func (r *Rollout) inUse(servers []Server) []string {
	targets := r.targets(servers)
	if r.step() >= shifted {
		return targets
	}
	rank := func(node string) uint64 {
		return xxhash.Sum64String(r.order.service + "/" + r.order.target + "/" + node)
	}
	sort.Slice(targets, func(i, j int) bool { return rank(targets[i]) > rank(targets[j]) })
	old := 0
	for _, s := range servers {
		if s.release == r.previous() {
			old++
		}
	}
	count := max(leastCanaries, int(math.Ceil(r.steps[r.step()].share*float64(min(old, len(targets))))))
	targets = slices.DeleteFunc(targets, r.isSetAside)
	return targets[:min(count, len(targets))]
}

// OwnRelease returns the version that most of the servers state, except excluded ones. Of
// several with as many servers it prefers known, the one returned before.
func OwnRelease(servers []Server, known string, excluded ...string) string {
	counts := map[string]int{}
	for _, s := range servers {
		if s.release != "" && !slices.Contains(excluded, s.release) {
			counts[s.release]++
		}
	}
	best := ""
	for release, n := range counts {
		switch {
		case best == "" || n > counts[best]:
			best = release
		case n == counts[best] && (release == known || best != known && release < best):
			best = release
		}
	}
	return best
}

func ownRelease(servers []Server, target string) string { return OwnRelease(servers, "", target) }
