package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is what a node knows of the fleet: the nodes it is linked to, and how many there
// are in all.
type View struct {
	self      string
	nodes     []viewNode // that may own tenants, this node included unless it is stopping
	linked    int
	members   int
	changedAt time.Time
}

type viewNode struct {
	name string
	hash uint64
}

// NewView returns the view of the node self with links to the given nodes. members is the
// number of all nodes, this one included. Nodes that are stopping, this one included, are
// in neither.
func NewView(self string, linked []string, members int, stopping bool) View {
	v := View{self: self, nodes: make([]viewNode, 0, len(linked)+1)}
	for _, name := range linked {
		v.nodes = append(v.nodes, viewNode{name: name, hash: xxhash.Sum64String(name)})
	}
	if !stopping {
		v.nodes = append(v.nodes, viewNode{name: self, hash: xxhash.Sum64String(self)})
	}
	v.linked, v.members = len(v.nodes), max(members, len(v.nodes))
	return v
}

// Owner returns the node that owns a tenant, by rendezvous hashing, or "" if there is
// none.
func (v *View) Owner(tenant string) string { return owner(v.nodes, tenant) }

func owner(nodes []viewNode, tenant string) string {
	key := xxhash.Sum64String(tenant)
	best, highest := "", uint64(0)
	for _, n := range nodes {
		if rank := mix(n.hash ^ key); best == "" || rank > highest || rank == highest && n.name < best {
			best, highest = n.name, rank
		}
	}
	return best
}

// Share returns the fraction of the members that this node is linked to, itself
// included.
func (v *View) Share() float64 {
	return float64(v.linked) * v.part()
}

// part returns the fraction of the rate that falls on each member, 0 while the members
// are not known.
func (v *View) part() float64 {
	if v.members == 0 {
		return 0
	}
	return 1 / float64(v.members)
}

// isAlone reports whether this node is linked to no other, although there are others or
// may be.
func (v *View) isAlone() bool { return v.linked <= 1 && v.members != 1 }

// phase returns a number in [0, 1) that differs between nodes and tenants.
func (v *View) phase(tenant string) float64 {
	return float64(mix(xxhash.Sum64String(v.self)+xxhash.Sum64String(tenant))>>11) / (1 << 53)
}

// mix is the finalizer of splitmix64: each bit of x changes about half of the bits of the
// result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
