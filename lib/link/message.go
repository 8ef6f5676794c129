package link

import (
	"time"

	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

// Hello is what each end says first.
type Hello struct {
	node       string
	address    string
	dataCentre string
	state      ServerState
	known      Versions
	speed      float64
}

// NewHello returns the hello of a node that takes links at address, and what it
// knows.
func NewHello(node, address, dataCentre string, state ServerState, known Versions) Hello {
	return Hello{node: node, address: address, dataCentre: dataCentre, state: state, known: known}
}

// Node returns the name of the node.
func (h Hello) Node() string { return h.node }

// Address returns the address at which the node takes links.
func (h Hello) Address() string { return h.address }

// DataCentre returns the data centre of the node.
func (h Hello) DataCentre() string { return h.dataCentre }

// ServerState returns the state of the server beside the node.
func (h Hello) ServerState() ServerState { return h.state }

// WithBandwidth returns the hello with the speed of the host's connection, in bytes a
// second; 0 is not known.
func (h Hello) WithBandwidth(speed float64) Hello {
	h.speed = speed
	return h
}

// Bandwidth returns the speed of the host's connection, in bytes a second.
func (h Hello) Bandwidth() float64 { return h.speed }

// Versions returns which versions the node knows.
func (h Hello) Versions() Versions { return h.known }

// Versions is which versions a node knows: of the operators' configuration, and of
// the newest change to the data centres that are out of service.
type Versions struct {
	configuration uint64
	evacuation    uint64
}

// NewVersions returns the versions.
func NewVersions(configuration, evacuation uint64) Versions {
	return Versions{configuration: configuration, evacuation: evacuation}
}

// Configuration returns the version of the configuration.
func (k Versions) Configuration() uint64 { return k.configuration }

// Evacuation returns the version of the newest change to the data centres that
// are out of service.
func (k Versions) Evacuation() uint64 { return k.evacuation }

// HasNewerThan reports whether k holds anything that other lacks.
func (k Versions) HasNewerThan(other Versions) bool {
	return k.configuration > other.configuration || k.evacuation > other.evacuation
}

// ServerState is what a node says of the server beside it.
type ServerState struct {
	service  string
	instance string
	open     bool
}

// NewServerState returns the state of an instance of a service, and whether it gets
// work.
func NewServerState(service, instance string, open bool) ServerState {
	return ServerState{service: service, instance: instance, open: open}
}

// Service returns the service.
func (s ServerState) Service() string { return s.service }

// Instance returns the id of the instance.
func (s ServerState) Instance() string { return s.instance }

// Accepting reports whether the server gets work.
func (s ServerState) Accepting() bool { return s.open }

// Evacuation says whether a data centre is out of service, as of a version of
// the store.
type Evacuation struct {
	dataCentre string
	version    uint64
	out        bool
}

// NewEvacuation returns an evacuation, or the end of one.
func NewEvacuation(dataCentre string, version uint64, out bool) Evacuation {
	return Evacuation{dataCentre: dataCentre, version: version, out: out}
}

// DataCentre returns the name of the data centre.
func (e Evacuation) DataCentre() string { return e.dataCentre }

// Version returns the version of the store that said so.
func (e Evacuation) Version() uint64 { return e.version }

// Active reports whether the data centre is out of service.
func (e Evacuation) Active() bool { return e.out }

// Snapshot is the configuration as one node hands it to another.
type Snapshot struct {
	version     uint64
	packed      []byte
	evacuations []Evacuation
}

// NewSnapshot returns a document with the operators' text, packed, as of a
// version of the store, and what is known of data centres that are or were out of
// service.
func NewSnapshot(version uint64, packed []byte, evacuations []Evacuation) Snapshot {
	return Snapshot{version: version, packed: packed, evacuations: evacuations}
}

// Version returns the version of the store that wrote the text.
func (d Snapshot) Version() uint64 { return d.version }

// Compressed returns the operators' text as Pack packed it.
func (d Snapshot) Compressed() []byte { return d.packed }

// Evacuations returns what is known of data centres that are or were out of
// service.
func (d Snapshot) Evacuations() []Evacuation { return d.evacuations }

// Signal is a message without a body.
type Signal uint8

// The signals.
const (
	noSignal Signal = iota
	// WatchStarted tells that the sender begins to wait for changes of the store.
	WatchStarted
	// WatchEnded tells that it has ended to.
	WatchEnded
	// FetchSnapshot asks for the configuration.
	FetchSnapshot
	// Busy tells who asked for the configuration to ask another node.
	Busy
	// EntryLost tells that the store has lost the receiver's entry.
	EntryLost
)

// Message is a closed union; exactly one part is set.
type Message struct {
	hello    *Hello
	ask      *numberedAsk
	event    *upstream.Event
	length   int
	withdraw *uint64
	request  *numberedRequest
	upPart   *part
	downPart *part
	cancel   *uint64
	ping     bool
	pong     bool
	state    *ServerState
	notice   *Versions
	signal   Signal
	members  []registry.Record
	document *Snapshot
}

type numberedAsk struct {
	number uint64
	ask    upstream.SlotRequest
}

type numberedRequest struct {
	number   uint64
	request  *upstream.Request
	timeLeft time.Duration
	length   int
}

type part struct {
	number uint64
	bytes  []byte
}
