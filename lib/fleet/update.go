package fleet

import (
	"context"
	"maps"

	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
)

// snapshotChange holds the configuration, evacuations, or both, as received from the
// store or a peer. The store sends plain text, a peer compressed text.
type snapshotChange struct {
	version     uint64
	text        []byte
	compressed  []byte
	evacuations []link.Evacuation
	source      string
	fromPeer    bool
}

// hasText reports whether the change contains the operators' text.
func (c snapshotChange) hasText() bool { return c.text != nil || len(c.compressed) > 0 }

// decompressed returns the operators' text in plain form.
func (c snapshotChange) decompressed() ([]byte, error) {
	if c.text != nil {
		return c.text, nil
	}
	return link.Decompress(c.compressed)
}

// applyUpdate applies records read from the store: members, the configuration,
// evacuations and departures.
func (f *Fleet) applyUpdate(ctx context.Context, u registry.Update) {
	f.hooks.rollouts.records(u)
	change, restored := snapshotChange{source: "store"}, false
	if u.Full() {
		restored = f.enterEra(u)
		f.members, f.removals, f.readVersion = f.membersAfter(restored), map[string]uint64{}, u.Version()
		change.evacuations = f.endedEvacuations(u)
	}
	var departures, members []registry.Record
	var own *registry.Record
	for _, r := range u.Records() {
		switch r.Kind() {
		case registry.KindConfiguration:
			if !r.Removed() {
				change.version, change.text = r.Version(), r.Value()
			}
		case registry.KindEvacuation:
			change.evacuations = append(change.evacuations, link.NewEvacuation(r.Name(), r.Version(), !r.Removed()))
		case registry.KindMember:
			if f.applyMember(r) {
				members = append(members, r)
			}
			if r.Removed() {
				f.notifyEntryLost(r.Name())
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
		f.keepDepartures(departures)
		f.hooks.departures(departures, true)
	}
	if u.Full() {
		f.setRosterSource(rosterFromStore)
	}
	if len(members) > 0 || u.Full() {
		f.membershipUpdated()
		f.publishNodeCount()
	}
	f.mergeChange(change)
	switch {
	case restored:
		f.requestRewrites(departures)
	case u.Full():
		f.notifyUnlisted()
	case len(members) > 0:
		f.forwardMembers(members)
	}
	if !f.registered && u.Full() {
		f.registered = true
		f.registerSelf(u.Version(), own)
	}
	f.tick(ctx)
}

// endedEvacuations returns the end of each active evacuation that a full read does
// not list. The read does not tell when it was removed, so its end gets the version
// of the read. An evacuation of an older era of the store may not have been removed.
func (f *Fleet) endedEvacuations(u registry.Update) []link.Evacuation {
	listed := map[string]bool{}
	for _, r := range u.Records() {
		if r.Kind() == registry.KindEvacuation && !r.Removed() {
			listed[r.Name()] = true
		}
	}
	var ended []link.Evacuation
	for name, e := range f.snapshot.evacuations {
		if e.Active() && !listed[name] && e.Version() >= u.EraStart() {
			ended = append(ended, link.NewEvacuation(name, u.Version(), false))
		}
	}
	return ended
}

// applyMember applies a change to an entry. It reports whether peers need it: they do not
// if only the server on the node's host has changed, which is for the next process of the
// node.
func (f *Fleet) applyMember(r registry.Record) bool {
	if r.Removed() {
		delete(f.members, r.Name())
		f.removals[r.Name()] = r.Version()
		return true
	}
	m, err := DecodeMember(r)
	if err != nil {
		f.log.Write("member-unreadable", "node", r.Name(), "version", r.Version(), "error", err.Error())
		return true
	}
	known, listed := f.members[m.node]
	onlyServer := listed && known.version != 0 && known.sameAs(m) && !known.hasServerOf(m)
	m.version, m.listedSince = r.Version(), r.Version()
	if onlyServer {
		m.listedSince = known.listedSince
	}
	f.members[m.node] = m
	return !onlyServer
}

// registerSelf passes the entry of this node to the register hook. version is the
// store version that this node has read. An existing entry, written by an earlier
// process, is kept if it is still correct.
func (f *Fleet) registerSelf(version uint64, existing *registry.Record) {
	if existing != nil {
		if m, err := DecodeMember(*existing); err == nil {
			f.recallServer(m)
			if m.sameAs(f.self) && m.hasServerOf(f.self) {
				f.hooks.register(*existing, true)
				return
			}
		}
	}
	f.writeSelf(version)
}

// writeSelf passes the entry of this node to the register hook, to be written.
func (f *Fleet) writeSelf(version uint64) {
	record, err := EncodeMember(f.self.WithReadVersion(version))
	if err != nil {
		f.log.Write("member-unwritable", "node", f.self.node, "error", err.Error())
		return
	}
	f.hooks.register(record, false)
}

// forwardMembers sends changes to member entries to the peers that may lack them,
// since the next watch of a peer may be much later.
func (f *Fleet) forwardMembers(records []registry.Record) {
	for _, p := range f.links {
		var missing []registry.Record
		for _, r := range records {
			if r.Removed() || f.mayLack(p.hello.Node(), r.Name()) {
				missing = append(missing, r)
			}
		}
		if len(missing) > 0 {
			p.link.SendMembers(missing)
		}
	}
}

// mayLack reports whether a peer must be sent the entry of a member. It need not be
// sent if the member had read the peer's entry before it wrote its own, since the
// member then knows the peer and dials it.
func (f *Fleet) mayLack(peer, member string) bool {
	listed, ok := f.members[peer]
	return peer != member && (!ok || listed.version == 0 || listed.listedSince > f.members[member].readVersion)
}

// isNews reports whether a record that a peer sends is newer than what this node knows
// of the member. An entry that was not listed by a later read was removed before it.
func (f *Fleet) isNews(r registry.Record) bool {
	if m, listed := f.members[r.Name()]; listed {
		return r.Version() > m.version
	}
	return r.Version() > max(f.removals[r.Name()], f.readVersion)
}

// keepDepartures keeps the newest departure of each node for its later processes.
func (f *Fleet) keepDepartures(records []registry.Record) {
	for _, r := range records {
		_, startedAt := r.Departure()
		if known, ok := f.departures[r.Name()]; ok {
			if _, knownStart := known.Departure(); knownStart > startedAt {
				continue
			}
		}
		f.departures[r.Name()] = r
	}
}

// recordOwnDeparture tells the peers that the server on this host leaves, and returns
// the links to those that are heard.
func (f *Fleet) recordOwnDeparture(r registry.Record) []*link.Link {
	f.keepDepartures([]registry.Record{r})
	var heard []*link.Link
	for _, p := range f.links {
		p.link.SendDepartures([]registry.Record{r})
		if !p.silent {
			heard = append(heard, p.link)
		}
	}
	return heard
}

// handleDepartures keeps the departures that a peer knows of. Those of this node were
// acknowledged by an earlier process, or the store has lost them.
func (f *Fleet) handleDepartures(records []registry.Record) {
	f.keepDepartures(records)
	newest := make([]registry.Record, 0, len(records))
	for _, r := range records {
		newest = append(newest, f.departures[r.Name()])
	}
	f.hooks.departures(newest, false)
}

// handleMembers applies changes to member entries that a peer read from the store.
func (f *Fleet) handleMembers(ctx context.Context, records []registry.Record) {
	for _, r := range records {
		if f.isNews(r) {
			f.applyMember(r)
		}
	}
	f.membersChanged()
	f.publishNodeCount()
	f.tick(ctx)
}

// notifyEntryLost tells a linked node, or this one, that the store no longer has
// its entry.
func (f *Fleet) notifyEntryLost(node string) {
	if node == f.self.node {
		f.hooks.entryLost()
		return
	}
	for _, p := range f.links {
		if p.helloReceived && p.hello.Node() == node {
			p.link.SendSignal(link.EntryLost)
			return
		}
	}
}

// notifyUnlisted notifies this node and the linked nodes if a full read did not list
// their entries. A node whose link is younger than entryGracePeriod may not have
// written its entry yet.
func (f *Fleet) notifyUnlisted() {
	if _, listed := f.members[f.self.node]; !listed && f.registered {
		f.hooks.entryLost()
	}
	for _, p := range f.links {
		if _, listed := f.members[p.hello.Node()]; p.helloReceived && !listed && f.clock.Since(p.startedAt) > entryGracePeriod {
			p.link.SendSignal(link.EntryLost)
		}
	}
}

// mergeChange adopts the parts of a change that are newer than those in force.
func (f *Fleet) mergeChange(c snapshotChange) {
	next := f.snapshot
	next.evacuations = maps.Clone(next.evacuations)
	changed := false
	for _, e := range c.evacuations {
		if e.Version() > next.evacuations[e.DataCentre()].Version() {
			if next.evacuations == nil {
				next.evacuations = map[string]link.Evacuation{}
			}
			next.evacuations[e.DataCentre()] = e
			changed = true
		}
	}
	if f.mayReplaceText(c) && c.version != f.refused {
		decoded, err := f.decode(c)
		switch {
		case err != nil:
			f.refused = c.version
			f.log.Write("configuration-refused", "version", c.version, "source", c.source, "error", err.Error())
		case !f.isNewerText(c, decoded.Version()):
			f.log.Write("configuration-outdated", "version", c.version, "operators", decoded.Version(), "in_force", next.version, "operators_in_force", next.config.Version(), "source", c.source)
		default:
			next.version, next.text, next.compressed, next.config = c.version, c.text, c.compressed, decoded
			changed = true
		}
	}
	if !changed {
		return
	}
	f.snapshot = next
	if next.config == nil {
		return
	}
	f.fire(eventAccept)
	f.log.Write("configuration", "version", next.version, "operators", next.config.Version(), "routes", next.config.RouteCount(),
		"evacuated", next.EvacuatedDataCentres(), "evacuation", next.versions().Evacuation(), "source", c.source)
}

func (f *Fleet) decode(c snapshotChange) (*routeconfig.Config, error) {
	text, err := c.decompressed()
	if err != nil {
		return nil, err
	}
	decoded, err := f.hooks.decode(text)
	if err != nil {
		return nil, err
	}
	return f.checkVersion(decoded, text)
}

// publish passes the configuration in force to the hooks and announces its versions
// to the peers.
func (f *Fleet) publish() {
	f.hooks.snapshot(f.snapshot)
	for _, p := range f.links {
		if p.helloReceived {
			p.link.SendVersions(f.snapshot.versions())
		}
	}
}
