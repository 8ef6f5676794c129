package fleet

import (
	"bytes"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
)

const (
	// evacuationHold is how long an evacuation of an older era of the store stays in
	// force without being written again. Operators write again what a restored store
	// lacks within this time.
	evacuationHold = 15 * time.Second

	eventEraRose chart.Event = "eraRose"
	eventSettle  chart.Event = "settle"
	tagRestoring chart.Tag   = "restoring"
)

// newStoreMachine returns the machine of the chart "store".
func (f *Fleet) newStoreMachine(charts *chart.Set) (*chart.Machine, error) {
	store, err := charts.Chart("store")
	if err != nil {
		return nil, err
	}
	return store.NewMachine(chart.Actions{"startHold": f.startHold, "endUnlisted": f.endUnlisted})
}

// startHold keeps evacuations of the older era in force for evacuationHold.
func (f *Fleet) startHold() { f.holdUntil = f.clock.Now().Add(evacuationHold) }

// endUnlisted ends the evacuations of an older era that were not written again. They end
// at the version of the last full read, which precedes any later write of them.
func (f *Fleet) endUnlisted() {
	var ended []link.Evacuation
	for _, e := range f.olderEvacuations() {
		ended = append(ended, link.NewEvacuation(e.DataCentre(), f.readVersion, false))
	}
	f.mergeChange(snapshotChange{evacuations: ended, source: "store"})
}

// olderEvacuations returns the active evacuations of an older era than that of the last
// full read.
func (f *Fleet) olderEvacuations() []link.Evacuation {
	var older []link.Evacuation
	for _, e := range f.snapshot.evacuations {
		if e.Active() && e.Version() < f.eraStart {
			older = append(older, e)
		}
	}
	return older
}

// enterEra records the era of a full read. It reports whether the store was restored
// since the last one.
func (f *Fleet) enterEra(u registry.Update) bool {
	rose := u.EraStart() > f.eraStart && f.readVersion > 0
	f.eraStart = max(f.eraStart, u.EraStart())
	return rose
}

// membersAfter returns the members to start from when a full read is applied: those that
// were known before a restored store, other than this node, and none otherwise. They
// count as members that the store does not list.
func (f *Fleet) membersAfter(restored bool) map[string]Member {
	members := map[string]Member{}
	if !restored {
		return members
	}
	for node, m := range f.members {
		if node != f.self.node {
			m.version = 0
			members[node] = m
		}
	}
	return members
}

// followEra starts the hold of evacuations of an older era, which a peer may have sent
// after the full read, and ends it after evacuationHold.
func (f *Fleet) followEra() {
	switch {
	case !f.storeMachine.HasTag(tagRestoring):
		if len(f.olderEvacuations()) > 0 {
			f.fireStore(eventEraRose)
		}
	case !f.clock.Now().Before(f.holdUntil):
		f.fireStore(eventSettle)
	}
}

func (f *Fleet) fireStore(e chart.Event) {
	from, evacuated := f.storeMachine.State(), f.snapshot.EvacuatedDataCentres()
	if err := f.storeMachine.Fire(e); err != nil {
		f.log.Write("chart-error", "error", err.Error())
		return
	}
	f.log.Write("store-state", "from", from, "to", f.storeMachine.State(), "cause", e, "version", f.readVersion,
		"evacuated_before", evacuated, "evacuated", f.snapshot.EvacuatedDataCentres())
}

// requestRewrites has the records written again that a restored store lacks: the entry
// and the departure of this node and of the linked ones. departures are those that the
// store lists.
func (f *Fleet) requestRewrites(departures []registry.Record) {
	f.fireStore(eventEraRose)
	stored := map[string][]byte{}
	for _, d := range departures {
		stored[d.Name()] = d.Value()
	}
	lacks := func(node string) (registry.Record, bool) {
		d, ok := f.departures[node]
		return d, ok && !bytes.Equal(d.Value(), stored[node])
	}
	if own, ok := f.members[f.self.node]; !ok || !own.sameAs(f.self) || !own.hasServerOf(f.self) {
		f.hooks.entryLost()
	}
	if d, ok := lacks(f.self.node); ok {
		f.hooks.departures([]registry.Record{d}, false)
	}
	for _, p := range f.links {
		if !p.helloReceived {
			continue
		}
		f.requestEntry(p)
		if d, ok := lacks(p.hello.Node()); ok {
			p.link.SendDepartures([]registry.Record{d})
		}
	}
}

// requestEntry asks a peer to write its entry again if the store does not list it, or
// lists an older one.
func (f *Fleet) requestEntry(p *peerLink) {
	m := f.members[p.hello.Node()]
	instance, release := p.serverState.Instance(), p.serverState.Release()
	lacksServer := release != "" && !m.states(instance, release)
	if m.version == 0 || m.address != p.hello.Address() || m.dataCentre != p.hello.DataCentre() || lacksServer {
		p.link.SendSignal(link.EntryLost)
	}
}

// greetAfterRestore gives a peer that is linked soon after the store was restored what it
// may have missed: the evacuations, and that the store lacks its entry.
func (f *Fleet) greetAfterRestore(p *peerLink) {
	if !f.storeMachine.HasTag(tagRestoring) {
		return
	}
	f.requestEntry(p)
	if older := f.olderEvacuations(); len(older) > 0 {
		p.link.SendSnapshot(link.NewSnapshot(0, nil, older))
	}
}

// isNewerText reports whether the text of a change, once decoded, replaces the
// configuration in force. The store may list an older configuration at a higher version
// after it was restored; the operators' own version tells. A peer may send a newer one at
// a lower version.
func (f *Fleet) isNewerText(c snapshotChange, operators uint64) bool {
	if f.snapshot.config == nil {
		return true
	}
	inForce := f.snapshot.config.Version()
	if operators == inForce {
		return c.version > f.snapshot.version
	}
	return operators > inForce
}

// mayReplaceText reports whether the text of a change has to be decoded.
func (f *Fleet) mayReplaceText(c snapshotChange) bool {
	if !c.hasText() || c.version == f.snapshot.version {
		return false
	}
	return c.version > f.snapshot.version || c.fromPeer
}
