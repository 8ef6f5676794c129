package serverproxy

import "time"

// Announcement is the state that a server instance reports about itself.
type Announcement struct {
	id            string
	service       string
	address       string
	dataCentre    string
	release       string
	slots         int
	draining      bool
	coldRemaining time.Duration
	sequence      uint64
	startedAt     int64
}

// NewAnnouncement returns the announcement of an instance that serves service
// at address and runs up to slots requests concurrently.
func NewAnnouncement(id, service, address string, slots int) Announcement {
	return Announcement{id: id, service: service, address: address, slots: slots}
}

// WithLocation returns a copy with the server's data centre and software
// release.
func (a Announcement) WithLocation(dataCentre, release string) Announcement {
	a.dataCentre = dataCentre
	a.release = release
	return a
}

// WithDraining returns a copy that states whether the server is draining.
func (a Announcement) WithDraining(draining bool) Announcement {
	a.draining = draining
	return a
}

// WithColdRemaining returns a copy with the time left until the server's cold
// start is over.
func (a Announcement) WithColdRemaining(remaining time.Duration) Announcement {
	a.coldRemaining = remaining
	return a
}

// WithSequence returns a copy with the values that order announcements:
// startedAt, in Unix milliseconds, separates restarts under the same ID, and
// sequence counts the announcements since that start.
func (a Announcement) WithSequence(startedAt int64, sequence uint64) Announcement {
	a.startedAt = startedAt
	a.sequence = sequence
	return a
}

// ID returns the instance ID.
func (a Announcement) ID() string { return a.id }

// Service returns the name of the service.
func (a Announcement) Service() string { return a.service }

// Address returns the address that the server listens on.
func (a Announcement) Address() string { return a.address }

// DataCentre returns the name of the server's data centre.
func (a Announcement) DataCentre() string { return a.dataCentre }

// Slots returns how many requests the server runs concurrently.
func (a Announcement) Slots() int { return a.slots }

// StartedAt returns the start time of the instance in Unix milliseconds.
func (a Announcement) StartedAt() int64 { return a.startedAt }

// IsDraining reports whether the server is draining.
func (a Announcement) IsDraining() bool { return a.draining }

// ColdRemaining returns the time left until the server's cold start is over.
func (a Announcement) ColdRemaining() time.Duration { return a.coldRemaining }

// ordering is the position of an announcement relative to the latest one.
type ordering uint8

const (
	orderStale ordering = iota
	orderSame
	orderNewer
	orderOtherInstance
)

// compare returns the position of next relative to a. An announcement with an
// earlier start time, or with a lower sequence of the same start, was delayed
// on its way and is stale.
func (a Announcement) compare(next Announcement) ordering {
	switch {
	case next.startedAt < a.startedAt:
		return orderStale
	case next.id != a.id || next.startedAt > a.startedAt:
		return orderOtherInstance
	case next.sequence < a.sequence:
		return orderStale
	case next.sequence == a.sequence:
		return orderSame
	}
	return orderNewer
}
