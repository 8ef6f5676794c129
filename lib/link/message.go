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
	state      State
	known      Known
	speed      float64
}

// NewHello returns the hello of a node that takes links at address, and what it
// knows.
func NewHello(node, address, dataCentre string, state State, known Known) Hello {
	return Hello{node: node, address: address, dataCentre: dataCentre, state: state, known: known}
}

// Node returns the name of the node.
func (h Hello) Node() string { return h.node }

// Address returns the address at which the node takes links.
func (h Hello) Address() string { return h.address }

// DataCentre returns the data centre of the node.
func (h Hello) DataCentre() string { return h.dataCentre }

// State returns the state of the server beside the node.
func (h Hello) State() State { return h.state }

// WithSpeed returns the hello with the speed of the host's connection, in bytes a
// second; 0 is not known.
func (h Hello) WithSpeed(speed float64) Hello {
	h.speed = speed
	return h
}

// Speed returns the speed of the host's connection, in bytes a second.
func (h Hello) Speed() float64 { return h.speed }

// Known returns which versions the node knows.
func (h Hello) Known() Known { return h.known }

// Known is which versions a node knows: of the operators' configuration, and of
// the newest change to the data centres that are out of service.
type Known struct {
	configuration uint64
	evacuation    uint64
}

// NewKnown returns the versions.
func NewKnown(configuration, evacuation uint64) Known {
	return Known{configuration: configuration, evacuation: evacuation}
}

// Configuration returns the version of the configuration.
func (k Known) Configuration() uint64 { return k.configuration }

// Evacuation returns the version of the newest change to the data centres that
// are out of service.
func (k Known) Evacuation() uint64 { return k.evacuation }

// Exceeds reports whether k holds anything that other lacks.
func (k Known) Exceeds(other Known) bool {
	return k.configuration > other.configuration || k.evacuation > other.evacuation
}

// State is what a node says of the server beside it.
type State struct {
	service  string
	instance string
	open     bool
}

// NewState returns the state of an instance of a service, and whether it gets
// work.
func NewState(service, instance string, open bool) State {
	return State{service: service, instance: instance, open: open}
}

// Service returns the service.
func (s State) Service() string { return s.service }

// Instance returns the id of the instance.
func (s State) Instance() string { return s.instance }

// Open reports whether the server gets work.
func (s State) Open() bool { return s.open }

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

// Out reports whether the data centre is out of service.
func (e Evacuation) Out() bool { return e.out }

// Document is the configuration as one node hands it to another.
type Document struct {
	version     uint64
	packed      []byte
	evacuations []Evacuation
}

// NewDocument returns a document with the operators' text, packed, as of a
// version of the store, and what is known of data centres that are or were out of
// service.
func NewDocument(version uint64, packed []byte, evacuations []Evacuation) Document {
	return Document{version: version, packed: packed, evacuations: evacuations}
}

// Version returns the version of the store that wrote the text.
func (d Document) Version() uint64 { return d.version }

// Packed returns the operators' text as Pack packed it.
func (d Document) Packed() []byte { return d.packed }

// Evacuations returns what is known of data centres that are or were out of
// service.
func (d Document) Evacuations() []Evacuation { return d.evacuations }

// Signal is a message without a body.
type Signal uint8

// The signals.
const (
	noSignal Signal = iota
	// TurnBegins tells that the sender begins to wait for changes of the store.
	TurnBegins
	// TurnEnds tells that it has ended to.
	TurnEnds
	// Fetch asks for the configuration.
	Fetch
	// Busy tells who asked for the configuration to ask another node.
	Busy
	// Lapsed tells that the store has lost the receiver's entry.
	Lapsed
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
	state    *State
	notice   *Known
	signal   Signal
	members  []registry.Record
	document *Document
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
