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

// Announcement is the data with which a server registers at the node on its
// host. A server that does not renew its announcement in time is treated as
// silent and gets no new requests.
type Announcement struct {
	service     string
	address     string
	slots       int
	connections int
	instance    string
	draining    bool
}

// NewAnnouncement returns a validated announcement, or an *AnnouncementError.
// The instance ID identifies one run of the server process. A new instance
// starts cold.
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

// WithDraining returns the announcement with the draining flag set to draining.
func (a Announcement) WithDraining(draining bool) Announcement {
	a.draining = draining
	return a
}

// Service returns the name of the service that the server belongs to.
func (a Announcement) Service() string { return a.service }

// Address returns the host:port of the server.
func (a Announcement) Address() string { return a.address }

// Slots returns the maximum number of concurrent requests of the warm server.
func (a Announcement) Slots() int { return a.slots }

// Connections returns the maximum number of connections to the server.
func (a Announcement) Connections() int { return a.connections }

// Instance returns the instance ID of the server's current run.
func (a Announcement) Instance() string { return a.instance }

// IsDraining reports whether the server is about to stop.
func (a Announcement) IsDraining() bool { return a.draining }

// AnnouncementError reports an invalid field of an announcement.
type AnnouncementError struct {
	field  string
	reason string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: field %q %s", e.field, e.reason)
}

// Field returns the name of the invalid field.
func (e *AnnouncementError) Field() string { return e.field }

// Status is the state of a server on this host as published to other tasks.
type Status struct {
	service     string
	address     string
	slots       int
	accepting   bool
	announcedAt time.Time
}

// Service returns the name of the service that the server belongs to.
func (s Status) Service() string { return s.service }

// Address returns the host:port of the server.
func (s Status) Address() string { return s.address }

// Slots returns the announced number of slots.
func (s Status) Slots() int { return s.slots }

// Accepting reports whether the server accepts new requests: it is neither
// silent nor draining. A suspended data centre does not change the value.
func (s Status) Accepting() bool { return s.accepting }

// AnnouncedAt returns when the server last started cold: when it was first
// announced, restarted, or returned after it was silent or draining.
func (s Status) AnnouncedAt() time.Time { return s.announcedAt }
