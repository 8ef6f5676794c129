package fleet

import (
	"context"
	"maps"

	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
)

// news is what a message says of the situation. The text comes plain from the
// store and packed from a peer.
type news struct {
	version     uint64
	text        []byte
	packed      []byte
	evacuations []link.Evacuation
	source      string
}

// holdsText reports whether the news holds the operators' text.
func (n news) holdsText() bool { return n.text != nil || n.packed != nil }

// plain returns the operators' text.
func (n news) plain() ([]byte, error) {
	if n.text != nil {
		return n.text, nil
	}
	return link.Decompress(n.packed)
}

// learn takes in what the store told: members, the configuration, the data
// centres that are out, and the servers that leave.
func (f *Fleet) learn(ctx context.Context, u registry.Update) {
	n := news{source: "store"}
	if u.Full() {
		f.members = map[string]Member{}
		n.evacuations = f.endedAt(u)
	}
	var departures, changed []registry.Record
	var own *registry.Record
	for _, r := range u.Records() {
		switch r.Kind() {
		case registry.KindConfiguration:
			if !r.Removed() {
				n.version, n.text = r.Version(), r.Value()
			}
		case registry.KindEvacuation:
			n.evacuations = append(n.evacuations, link.NewEvacuation(r.Name(), r.Version(), !r.Removed()))
		case registry.KindMember:
			f.learnMember(r)
			changed = append(changed, r)
			if r.Removed() {
				f.tellLapsed(r.Name())
			}
			if r.Name() == f.self.node && !r.Removed() {
				own = &r
			}
		case registry.KindDeparture:
			if !r.Removed() {
				departures = append(departures, r)
			}
		}
	}
	if len(departures) > 0 {
		f.hooks.departures(departures)
	}
	f.putInForce(n)
	if u.Full() {
		f.tellUnlisted()
	} else if len(changed) > 0 {
		f.tellMembers(changed)
	}
	if !f.started && u.Full() {
		f.started = true
		f.beginEntry(u.Version(), own)
	}
	f.hooks.nodes(len(f.members))
	f.tick(ctx)
}

// endedAt returns the end of each evacuation that is known and of which a whole
// read says nothing. The removal itself left no record; all that is known is that
// it was not later than the read.
func (f *Fleet) endedAt(u registry.Update) []link.Evacuation {
	listed := map[string]bool{}
	for _, r := range u.Records() {
		if r.Kind() == registry.KindEvacuation && !r.Removed() {
			listed[r.Name()] = true
		}
	}
	var ended []link.Evacuation
	for name, e := range f.situation.evacuations {
		if e.Active() && !listed[name] {
			ended = append(ended, link.NewEvacuation(name, u.Version(), false))
		}
	}
	return ended
}

func (f *Fleet) learnMember(r registry.Record) {
	if r.Removed() {
		delete(f.members, r.Name())
		return
	}
	m, err := DecodeMember(r)
	if err != nil {
		f.log.Write("member-unreadable", "node", r.Name(), "version", r.Version(), "error", err.Error())
		return
	}
	m.version = r.Version()
	f.members[m.node] = m
}

// beginEntry hands out the entry of this node, which read the store at a version. One
// that an earlier process wrote is kept.
func (f *Fleet) beginEntry(version uint64, found *registry.Record) {
	if found != nil {
		if m, err := DecodeMember(*found); err == nil && m.isAt(f.self) {
			f.hooks.entry(*found, true)
			return
		}
	}
	record, err := EncodeMember(f.self.WithReadVersion(version))
	if err != nil {
		f.log.Write("member-unwritable", "node", f.self.node, "error", err.Error())
		return
	}
	f.hooks.entry(record, false)
}

// tellMembers passes on what a turn at the store brought to the peers that may not
// know it: their own turns come much later.
func (f *Fleet) tellMembers(records []registry.Record) {
	for _, p := range f.links {
		var news []registry.Record
		for _, r := range records {
			if r.Removed() || f.mayMiss(p.hello.Node(), r.Name()) {
				news = append(news, r)
			}
		}
		if len(news) > 0 {
			p.link.SendMembers(news)
		}
	}
}

// mayMiss reports whether a peer and a new member may not know of each other: the
// peer's entry was written after the member had read the others'.
func (f *Fleet) mayMiss(peer, member string) bool {
	listed, ok := f.members[peer]
	return peer != member && (!ok || listed.version > f.members[member].read)
}

// learnMembers takes in what a peer's turn at the store brought.
func (f *Fleet) learnMembers(ctx context.Context, records []registry.Record) {
	for _, r := range records {
		if r.Version() > f.members[r.Name()].version {
			f.learnMember(r)
		}
	}
	f.hooks.nodes(len(f.members))
	f.tick(ctx)
}

// tellLapsed tells a node that lives that its entry is gone from the store.
func (f *Fleet) tellLapsed(node string) {
	if node == f.self.node {
		f.hooks.lapsed()
		return
	}
	for _, p := range f.links {
		if p.ready && p.hello.Node() == node {
			p.link.SendSignal(link.EntryLost)
			return
		}
	}
}

// tellUnlisted tells the nodes that live and that a whole read did not list.
func (f *Fleet) tellUnlisted() {
	if _, listed := f.members[f.self.node]; !listed && f.started {
		f.hooks.lapsed()
	}
	for _, p := range f.links {
		if _, listed := f.members[p.hello.Node()]; p.ready && !listed && f.clock.Since(p.since) > settledAfter {
			p.link.SendSignal(link.EntryLost)
		}
	}
}

// putInForce takes what is newer of the news into the situation.
func (f *Fleet) putInForce(n news) {
	next := f.situation
	next.evacuations = maps.Clone(next.evacuations)
	changed := false
	for _, e := range n.evacuations {
		if e.Version() > next.evacuations[e.DataCentre()].Version() {
			if next.evacuations == nil {
				next.evacuations = map[string]link.Evacuation{}
			}
			next.evacuations[e.DataCentre()] = e
			changed = true
		}
	}
	if n.holdsText() && n.version > next.version {
		if decoded, err := f.decode(n); err != nil {
			f.log.Write("configuration-unreadable", "version", n.version, "source", n.source, "error", err.Error())
		} else {
			next.version, next.text, next.packed, next.catalogue = n.version, n.text, n.packed, decoded
			changed = true
		}
	}
	if !changed {
		return
	}
	f.situation = next
	if next.catalogue == nil {
		return
	}
	f.fire(eventAccept)
	f.log.Write("configuration", "version", next.version, "operators", next.catalogue.Version(), "routes", next.catalogue.RouteCount(),
		"evacuated", next.EvacuatedDataCentres(), "evacuation", next.known().Evacuation(), "source", n.source)
}

func (f *Fleet) decode(n news) (*routeconfig.Config, error) {
	text, err := n.plain()
	if err != nil {
		return nil, err
	}
	return f.hooks.decode(text)
}

// publish tells the node and its peers of the situation in force.
func (f *Fleet) publish() {
	f.hooks.situation(f.situation)
	for _, p := range f.links {
		if p.ready {
			p.link.SendVersions(f.situation.known())
		}
	}
}
