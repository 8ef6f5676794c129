package link

import (
	"time"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/upstream"
)

// Hello is the first message that each end sends.
type Hello struct {
	node        string
	address     string
	dataCentre  string
	serverState ServerState
	versions    Versions
	bandwidth   float64
}

// NewHello returns the hello of a node that accepts links at address, with the
// versions that it has.
func NewHello(node, address, dataCentre string, serverState ServerState, versions Versions) Hello {
	return Hello{node: node, address: address, dataCentre: dataCentre, serverState: serverState, versions: versions}
}

// Node returns the name of the node.
func (h Hello) Node() string { return h.node }

// Address returns the address at which the node accepts links.
func (h Hello) Address() string { return h.address }

// DataCentre returns the data centre of the node.
func (h Hello) DataCentre() string { return h.dataCentre }

// ServerState returns the state of the server on the node's host.
func (h Hello) ServerState() ServerState { return h.serverState }

// WithBandwidth returns the hello with the bandwidth of the host, in bytes per
// second; 0 means unknown.
func (h Hello) WithBandwidth(bandwidth float64) Hello {
	h.bandwidth = bandwidth
	return h
}

// Bandwidth returns the bandwidth of the host in bytes per second, 0 if unknown.
func (h Hello) Bandwidth() float64 { return h.bandwidth }

// Versions returns the versions that the node has.
func (h Hello) Versions() Versions { return h.versions }

// Versions holds the store versions that a node has of the operators' configuration
// and of the newest change to the evacuations.
type Versions struct {
	configuration uint64
	evacuation    uint64
	operators     uint64
}

// NewVersions returns versions of the configuration and of the evacuations.
func NewVersions(configuration, evacuation uint64) Versions {
	return Versions{configuration: configuration, evacuation: evacuation}
}

// Configuration returns the version of the configuration.
func (v Versions) Configuration() uint64 { return v.configuration }

// Evacuation returns the version of the newest change to the evacuations.
func (v Versions) Evacuation() uint64 { return v.evacuation }

// WithOperators returns the versions with the operators' own version of the
// configuration, 0 if unknown.
func (v Versions) WithOperators(version uint64) Versions {
	v.operators = version
	return v
}

// HasNewerThan reports whether the configuration or the evacuations are newer than
// those of other. Operators number their configurations: a higher number is newer at any
// version of the store, which may have been restored to an older state.
func (v Versions) HasNewerThan(other Versions) bool {
	return v.hasNewerConfiguration(other) || v.evacuation > other.evacuation
}

func (v Versions) hasNewerConfiguration(other Versions) bool {
	if v.operators != other.operators && v.operators != 0 && other.operators != 0 {
		return v.operators > other.operators
	}
	return v.configuration > other.configuration
}

// ServerState is the state of the server on a node's host.
type ServerState struct {
	service   string
	instance  string
	accepting bool
	release   string
}

// NewServerState returns the state of an instance of a service. accepting reports
// whether it accepts requests.
func NewServerState(service, instance string, accepting bool) ServerState {
	return ServerState{service: service, instance: instance, accepting: accepting}
}

// Service returns the service.
func (s ServerState) Service() string { return s.service }

// Instance returns the id of the instance.
func (s ServerState) Instance() string { return s.instance }

// WithRelease returns the state with the version of the server, "" if unknown.
func (s ServerState) WithRelease(release string) ServerState {
	s.release = release
	return s
}

// Release returns the version of the server, "" if unknown.
func (s ServerState) Release() string { return s.release }

// Accepting reports whether the server accepts requests.
func (s ServerState) Accepting() bool { return s.accepting }

// Evacuation reports whether a data centre is evacuated at a version of the store.
type Evacuation struct {
	dataCentre string
	version    uint64
	active     bool
}

// NewEvacuation returns an evacuation, or with active false the end of one.
func NewEvacuation(dataCentre string, version uint64, active bool) Evacuation {
	return Evacuation{dataCentre: dataCentre, version: version, active: active}
}

// DataCentre returns the name of the data centre.
func (e Evacuation) DataCentre() string { return e.dataCentre }

// Version returns the store version at which the evacuation was written or removed.
func (e Evacuation) Version() uint64 { return e.version }

// Active reports whether the data centre is evacuated.
func (e Evacuation) Active() bool { return e.active }

// Snapshot is the configuration in force as one node sends it to another.
type Snapshot struct {
	version     uint64
	compressed  []byte
	evacuations []Evacuation
}

// NewSnapshot returns a snapshot with the operators' text as Compress returns it,
// the store version of the text, and the evacuations that are or were active.
func NewSnapshot(version uint64, compressed []byte, evacuations []Evacuation) Snapshot {
	return Snapshot{version: version, compressed: compressed, evacuations: evacuations}
}

// Version returns the store version of the text.
func (s Snapshot) Version() uint64 { return s.version }

// Compressed returns the operators' text as Compress returned it.
func (s Snapshot) Compressed() []byte { return s.compressed }

// Evacuations returns the evacuations that are or were active.
func (s Snapshot) Evacuations() []Evacuation { return s.evacuations }

// Signal is a message without content.
type Signal uint8

// The signals.
const (
	noSignal Signal = iota
	// WatchStarted reports that the sender has started a watch of the store.
	WatchStarted
	// WatchEnded reports that the sender has ended its watch.
	WatchEnded
	// FetchSnapshot requests the configuration in force.
	FetchSnapshot
	// Busy refuses a FetchSnapshot; the receiver should ask another node.
	Busy
	// EntryLost reports that the store no longer has the receiver's entry.
	EntryLost
	// Stopping reports that the sender is stopping. It no longer counts as a member.
	Stopping
	// WatchFailed reports that the sender's watch got no reply from the store, or was
	// refused.
	WatchFailed
	// endOfSignals follows the last signal of this release.
	endOfSignals
)

// Message is a closed union; exactly one field is set. Only a received event also
// sets bodyLength, the length of the body of its response.
type Message struct {
	hello        *Hello
	slotRequest  *numberedSlotRequest
	event        *upstream.Event
	bodyLength   int
	withdraw     *uint64
	request      *numberedRequest
	requestPart  *bodyPart
	responsePart *bodyPart
	cancel       *uint64
	ping         bool
	pong         bool
	serverState  *ServerState
	versions     *Versions
	signal       Signal
	members      []registry.Record
	roster       []registry.Record
	departures   []registry.Record
	suspicions   []quarantine.Record
	rollout      *rollout.Message
	snapshot     *Snapshot

	quotaQuestion *quota.Question
	quotaAnswer   *quota.Answer
}

// numberedSlotRequest is a slot request with its number on the link.
type numberedSlotRequest struct {
	number      uint64
	slotRequest upstream.SlotRequest
}

// numberedRequest is a request with the number of its slot request and the time left
// until its deadline. A received one has no body yet; bodyLength is the length of
// the body that follows in parts.
type numberedRequest struct {
	number     uint64
	request    *upstream.Request
	timeLeft   time.Duration
	bodyLength int
}

// bodyPart is a part of the body of a numbered request or of its response.
type bodyPart struct {
	number uint64
	bytes  []byte
}
