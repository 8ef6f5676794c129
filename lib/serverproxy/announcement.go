package serverproxy

import "time"

// Announcement is what a server says of itself.
type Announcement struct {
	id         string
	service    string
	address    string
	dataCentre string
	release    string
	slots      int
	draining   bool
	coldLeft   time.Duration
	sequence   uint64
	born       int64
}

// NewAnnouncement returns an announcement of the instance with the given id,
// which serves service at address with a number of slots.
func NewAnnouncement(id, service, address string, slots int) Announcement {
	return Announcement{id: id, service: service, address: address, slots: slots}
}

// WithLocation returns the announcement with the server's data centre and the release
// of its software.
func (a Announcement) WithLocation(dataCentre, release string) Announcement {
	a.dataCentre = dataCentre
	a.release = release
	return a
}

// WithDraining returns the announcement with whether the server is about to leave.
func (a Announcement) WithDraining(draining bool) Announcement {
	a.draining = draining
	return a
}

// WithColdRemaining returns the announcement with for how long the server stays cold.
func (a Announcement) WithColdRemaining(left time.Duration) Announcement {
	a.coldLeft = left
	return a
}

// WithSequence returns the announcement with its place in the order of all that the
// instance says: born tells starts of the same id apart, in milliseconds of Unix
// time, and sequence counts within one start.
func (a Announcement) WithSequence(born int64, sequence uint64) Announcement {
	a.born = born
	a.sequence = sequence
	return a
}

// ID returns the id of the instance.
func (a Announcement) ID() string { return a.id }

// Service returns the service.
func (a Announcement) Service() string { return a.service }

// Address returns the address that the server listens on.
func (a Announcement) Address() string { return a.address }

// DataCentre returns the data centre.
func (a Announcement) DataCentre() string { return a.dataCentre }

// Slots returns how many requests the server runs at once.
func (a Announcement) Slots() int { return a.slots }

// StartedAt returns when the instance was started, in milliseconds of Unix time.
func (a Announcement) StartedAt() int64 { return a.born }

// IsDraining reports whether the server is about to leave.
func (a Announcement) IsDraining() bool { return a.draining }

// ColdRemaining returns for how long the server stays cold.
func (a Announcement) ColdRemaining() time.Duration { return a.coldLeft }

// order says how an announcement relates to the latest known one.
type order uint8

const (
	orderStale order = iota
	orderSame
	orderNewer
	orderOtherInstance
)

// compare places next after a. An instance that was born earlier than the known
// one is a message that was held up; so is one with a lower sequence.
func (a Announcement) compare(next Announcement) order {
	switch {
	case next.born < a.born:
		return orderStale
	case next.id != a.id || next.born > a.born:
		return orderOtherInstance
	case next.sequence < a.sequence:
		return orderStale
	case next.sequence == a.sequence:
		return orderSame
	}
	return orderNewer
}
