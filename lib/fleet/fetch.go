package fleet

import (
	"math/rand/v2"
	"time"

	"savorygap.example/lib/link"
)

const (
	// transferRate is the rate at which a node may send configurations, in bytes per
	// second. It is less than half of the slowest host's bandwidth of 11 Mbit/s.
	transferRate = 600 << 10
	// transferBurst is the capacity of the transfer budget, in bytes.
	transferBurst = 64 << 10
	// busyRetryDelay is the minimum time after which a refused fetch is sent again, to
	// a random source. By then a few more nodes have the configuration.
	busyRetryDelay = 40 * time.Millisecond
)

// byteBudget is a token bucket of bytes. A send may overdraw it, so that a
// configuration of any size can be sent.
type byteBudget struct {
	available  float64
	spent      int
	refilledAt time.Time
}

// take spends size bytes and reports true, or reports false when the budget is used
// up.
func (b *byteBudget) take(now time.Time, size int) bool {
	if b.refilledAt.IsZero() {
		b.available = transferBurst
	} else {
		b.available = min(b.available+transferRate*now.Sub(b.refilledAt).Seconds(), transferBurst)
	}
	b.refilledAt = now
	if b.available <= 0 {
		return false
	}
	b.spend(size)
	return true
}

// spend spends size bytes, which may overdraw the budget.
func (b *byteBudget) spend(size int) {
	b.available -= float64(size)
	b.spent += size
}

// handleVersions handles the versions that a peer announces. If either is newer than
// the one in force, the peer becomes a source and a fetch is scheduled.
func (f *Fleet) handleVersions(l *link.Link, versions link.Versions) {
	if p, ok := f.links[l.ID()]; ok {
		p.configured = versions.Configuration() != 0
	}
	versions = f.withoutRefused(versions)
	if !versions.HasNewerThan(f.snapshot.versions()) {
		return
	}
	if versions.HasNewerThan(f.announced) {
		f.announced, f.sources = versions, nil
		f.fire(eventHear)
	}
	if len(f.sources) < maxSources {
		f.sources = append(f.sources, l)
	} else {
		f.sources[rand.IntN(maxSources)] = l
	}
	if f.fetchTimer == nil {
		f.fetchTimer = f.clock.After(rand.N(min(fetchDelayPerLink*time.Duration(len(f.links)), maxFetchDelay) + 1))
	}
}

// fetchSnapshot requests the configuration from a random source. It forgets the
// announced versions when they are in force already or no source is left.
func (f *Fleet) fetchSnapshot() {
	f.fetchTimer = nil
	have := f.snapshot.versions()
	f.announced = f.withoutRefused(f.announced)
	if !f.announced.HasNewerThan(have) || len(f.sources) == 0 {
		f.announced, f.sources = link.Versions{}, nil
		return
	}
	source := f.sources[rand.IntN(len(f.sources))]
	f.log.Write("configuration-fetch", "version", f.announced.Configuration(), "evacuation", f.announced.Evacuation(),
		"in_force", have.Configuration(), "evacuation_in_force", have.Evacuation(), "peer", source.Peer())
	source.SendSignal(link.FetchSnapshot)
	f.fetchTimer = f.clock.After(fetchRetryInterval)
}

// handleBusy schedules another fetch. By then more peers have the version.
func (f *Fleet) handleBusy(l *link.Link) {
	if !f.announced.HasNewerThan(f.snapshot.versions()) {
		return
	}
	f.log.Write("configuration-fetch-busy", "version", f.announced.Configuration(), "peer", l.Peer())
	f.fetchTimer = f.clock.After(busyRetryDelay + rand.N(busyRetryDelay))
}

// sendSnapshot sends the configuration in force to a peer that requested it, or
// answers Busy while the transfer budget is used up. The budget leaves most of the
// host's bandwidth to requests.
func (f *Fleet) sendSnapshot(l *link.Link) {
	if f.snapshot.config == nil {
		return
	}
	if f.snapshot.compressed == nil {
		compressed, err := link.Compress(f.snapshot.text)
		if err != nil {
			f.log.Write("configuration-unpacked", "version", f.snapshot.version, "error", err.Error())
			return
		}
		f.snapshot.compressed, f.snapshot.text = compressed, nil
	}
	if !f.transferBudget.take(f.clock.Now(), len(f.snapshot.compressed)) {
		l.SendSignal(link.Busy)
		return
	}
	f.transferBudget.spend(f.sendRoster(l))
	var evacuations []link.Evacuation
	for _, e := range f.snapshot.evacuations {
		evacuations = append(evacuations, e)
	}
	l.SendSnapshot(link.NewSnapshot(f.snapshot.version, f.snapshot.compressed, evacuations))
}

func (f *Fleet) handleSnapshot(m *snapshotMessage) {
	f.mergeChange(snapshotChange{version: m.snapshot.Version(), compressed: m.snapshot.Compressed(), evacuations: m.snapshot.Evacuations(), source: m.link.Peer(), fromPeer: true})
}
