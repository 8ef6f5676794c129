package fleet

import (
	"context"

	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
)

// rosterSource is where a node has the list of all members from.
type rosterSource string

const (
	noRoster        rosterSource = "" // the members are not known yet
	rosterFromStore rosterSource = "store"
	rosterFromPeer  rosterSource = "peer"
)

// setRosterSource records that the members are known. Before, the node takes no part of
// what all nodes share: the peers that it happens to be linked to may be few of many.
func (f *Fleet) setRosterSource(source rosterSource) {
	if f.rosterSource == source {
		return
	}
	f.rosterSource = source
	f.log.Write("roster", "source", source, "members", f.memberCount(), "version", f.readVersion)
}

// memberCount returns the number of members, this node included.
func (f *Fleet) memberCount() int {
	if _, listed := f.members[f.self.node]; listed {
		return len(f.members)
	}
	return len(f.members) + 1
}

// publishNodeCount passes the number of members on once it is known.
func (f *Fleet) publishNodeCount() {
	if f.rosterSource != noRoster {
		f.hooks.nodes(f.memberCount())
	}
}

// sendRoster sends the entries of all members to a peer without a configuration, which may
// have started while the store cannot be reached. It returns the number of bytes.
func (f *Fleet) sendRoster(l *link.Link) int {
	p, ok := f.links[l.ID()]
	if !ok || p.configured || f.rosterSource == noRoster {
		return 0
	}
	size, records := 0, make([]registry.Record, 0, len(f.members))
	for _, m := range f.members {
		r, err := EncodeMember(m)
		if err != nil {
			f.log.Write("member-unwritable", "node", m.node, "error", err.Error())
			continue
		}
		size += len(r.Name()) + len(r.Value())
		records = append(records, r.WithVersion(m.version))
	}
	l.SendRoster(records)
	return size
}

// handleRoster adopts the members that a peer lists. A node that has read the store goes
// by that, and by what is newer.
func (f *Fleet) handleRoster(ctx context.Context, records []registry.Record) {
	for _, r := range records {
		_, listed := f.members[r.Name()]
		_, removed := f.removals[r.Name()]
		isUnknown := f.rosterSource != rosterFromStore && !listed && !removed
		if isUnknown || f.isNews(r) {
			f.applyMember(r)
		}
	}
	if f.rosterSource == noRoster {
		f.setRosterSource(rosterFromPeer)
	}
	f.membershipUpdated()
	f.publishNodeCount()
	f.tick(ctx)
}
