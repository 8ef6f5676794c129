package server

import (
	"fmt"
	"net"
	"time"
)

const (
	maxSlots       = 10_000
	maxConnections = 100_000
)

// Announcement is what a server says of itself to the node on its host. It is
// renewed; a server that stops renewing falls silent.
type Announcement struct {
	service     string
	address     string
	slots       int
	connections int
	instance    string
	draining    bool
}

// NewAnnouncement returns a checked announcement. The instance distinguishes
// one run of the server from the next: a new instance starts cold.
func NewAnnouncement(service, address string, slots, connections int, instance string) (Announcement, error) {
	if service == "" {
		return Announcement{}, &AnnouncementError{field: "service", reason: "is empty"}
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return Announcement{}, &AnnouncementError{field: "address", reason: fmt.Sprintf("is %q; host:port is wanted", address)}
	}
	if slots < 1 || slots > maxSlots {
		return Announcement{}, &AnnouncementError{field: "slots", reason: fmt.Sprintf("is %d; 1 to %d is wanted", slots, maxSlots)}
	}
	if connections < 1 || connections > maxConnections {
		return Announcement{}, &AnnouncementError{field: "connections", reason: fmt.Sprintf("is %d; 1 to %d is wanted", connections, maxConnections)}
	}
	return Announcement{service: service, address: address, slots: slots, connections: connections, instance: instance}, nil
}

// WithDraining returns the announcement with the mark that the server leaves.
func (a Announcement) WithDraining(draining bool) Announcement {
	a.draining = draining
	return a
}

// Service returns the service that the server belongs to.
func (a Announcement) Service() string { return a.service }

// Address returns host:port of the server.
func (a Announcement) Address() string { return a.address }

// Slots returns how many requests the server bears at once when warm.
func (a Announcement) Slots() int { return a.slots }

// Connections returns how many connections the server accepts.
func (a Announcement) Connections() int { return a.connections }

// Instance returns the id of the server's present run.
func (a Announcement) Instance() string { return a.instance }

// IsDraining reports whether the server leaves.
func (a Announcement) IsDraining() bool { return a.draining }

// AnnouncementError reports a field of an announcement that is not sound.
type AnnouncementError struct {
	field  string
	reason string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: field %q %s", e.field, e.reason)
}

// Field returns the name of the field.
func (e *AnnouncementError) Field() string { return e.field }

// Status describes a server of this host to other tasks.
type Status struct {
	service string
	address string
	slots   int
	open    bool
	since   time.Time
}

// Service returns the service that the server belongs to.
func (l Status) Service() string { return l.service }

// Address returns host:port of the server.
func (l Status) Address() string { return l.address }

// Slots returns the declared slots.
func (l Status) Slots() int { return l.slots }

// Accepting reports whether the server takes new requests.
func (l Status) Accepting() bool { return l.open }

// AnnouncedAt returns when the server was first announced.
func (l Status) AnnouncedAt() time.Time { return l.since }
