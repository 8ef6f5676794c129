package fleet

import (
	"math/rand/v2"
	"time"

	"savorygap.example/lib/link"
)

const (
	// handOverRate is how many bytes of configurations a second a node hands over:
	// under half of the slowest link that hosts have, 11 Mbit/s.
	handOverRate = 600 << 10
	// handOverBurst is how many bytes are handed over at once.
	handOverBurst = 64 << 10
	// busyPause is after how long, at least, a node that was told to ask another
	// does so: the time in which a few nodes take a configuration over.
	busyPause = 40 * time.Millisecond
)

// allowance bounds the bytes that are handed over. It may be overdrawn by one
// configuration, so that one of any size is handed over.
type allowance struct {
	bytes float64
	total int
	at    time.Time
}

// take reports whether size bytes may be sent now.
func (a *allowance) take(now time.Time, size int) bool {
	if a.at.IsZero() {
		a.bytes = handOverBurst
	} else {
		a.bytes = min(a.bytes+handOverRate*now.Sub(a.at).Seconds(), handOverBurst)
	}
	a.at = now
	if a.bytes <= 0 {
		return false
	}
	a.bytes -= float64(size)
	a.total += size
	return true
}

// hear notes that a peer knows more, and plans to fetch it.
func (f *Fleet) hear(l *link.Link, known link.Versions) {
	if !known.HasNewerThan(f.situation.known()) {
		return
	}
	if known.HasNewerThan(f.heard) {
		f.heard, f.sources = known, nil
		f.fire(eventHear)
	}
	if len(f.sources) < maxSources {
		f.sources = append(f.sources, l)
	} else {
		f.sources[rand.IntN(maxSources)] = l
	}
	if f.fetchAt == nil {
		f.fetchAt = f.clock.After(rand.N(min(fetchSpread*time.Duration(len(f.links)), fetchMost) + 1))
	}
}

// fetch asks one of the peers that know more.
func (f *Fleet) fetch() {
	f.fetchAt = nil
	have := f.situation.known()
	if !f.heard.HasNewerThan(have) || len(f.sources) == 0 {
		f.heard, f.sources = link.Versions{}, nil
		return
	}
	source := f.sources[rand.IntN(len(f.sources))]
	f.log.Write("configuration-fetch", "version", f.heard.Configuration(), "evacuation", f.heard.Evacuation(),
		"in_force", have.Configuration(), "evacuation_in_force", have.Evacuation(), "peer", source.Peer())
	source.SendSignal(link.FetchSnapshot)
	f.fetchAt = f.clock.After(fetchAgain)
}

// handleBusy asks another peer soon: by then more of them know the version.
func (f *Fleet) handleBusy(l *link.Link) {
	if !f.heard.HasNewerThan(f.situation.known()) {
		return
	}
	f.log.Write("configuration-fetch-busy", "version", f.heard.Configuration(), "peer", l.Peer())
	f.fetchAt = f.clock.After(busyPause + rand.N(busyPause))
}

// handOver sends the situation in force to a peer that asked, or tells it to ask
// another while this node has handed over as much as its link bears beside the
// requests.
func (f *Fleet) handOver(l *link.Link) {
	if f.situation.catalogue == nil {
		return
	}
	if f.situation.packed == nil {
		packed, err := link.Compress(f.situation.text)
		if err != nil {
			f.log.Write("configuration-unpacked", "version", f.situation.version, "error", err.Error())
			return
		}
		f.situation.packed, f.situation.text = packed, nil
	}
	if !f.handed.take(f.clock.Now(), len(f.situation.packed)) {
		l.SendSignal(link.Busy)
		return
	}
	var list []link.Evacuation
	for _, e := range f.situation.evacuations {
		list = append(list, e)
	}
	l.SendSnapshot(link.NewSnapshot(f.situation.version, f.situation.packed, list))
}

func (f *Fleet) handleDocument(d *documented) {
	f.putInForce(news{version: d.document.Version(), packed: d.document.Compressed(), evacuations: d.document.Evacuations(), source: d.link.Peer()})
}
