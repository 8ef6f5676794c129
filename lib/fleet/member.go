package fleet

import (
	"slices"

	"savorygap.example/lib/link"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// Member is a node as the store lists it.
type Member struct {
	node       string
	address    string
	dataCentre string
	service    string
	speed      float64
	read       uint64
	version    uint64
}

// NewMember returns a member that takes links at address.
func NewMember(node, address, dataCentre, service string) Member {
	return Member{node: node, address: address, dataCentre: dataCentre, service: service}
}

// WithBandwidth returns the member with the speed of its host's connection, in bytes a
// second; 0 is not known.
func (m Member) WithBandwidth(speed float64) Member {
	m.speed = speed
	return m
}

// WithReadVersion returns the member with the version of the store that its node read
// before it wrote its entry: it knows the entries up to that version.
func (m Member) WithReadVersion(version uint64) Member {
	m.read = version
	return m
}

// isAt reports whether an entry of the same node says the same of it.
func (m Member) isAt(other Member) bool {
	return m.address == other.address && m.dataCentre == other.dataCentre && m.service == other.service
}

// Node returns the name of the node.
func (m Member) Node() string { return m.node }

// Address returns the address at which the node takes links.
func (m Member) Address() string { return m.address }

// DataCentre returns the data centre of the node.
func (m Member) DataCentre() string { return m.dataCentre }

// Service returns the service of the server beside the node.
func (m Member) Service() string { return m.service }

// Peer is a node with a link.
type Peer struct {
	node       string
	dataCentre string
	state      link.ServerState
	port       *upstream.Endpoint
}

// NewPeer returns a peer in a data centre, with the state of its server and the
// port that leads to it.
func NewPeer(node, dataCentre string, state link.ServerState, port *upstream.Endpoint) Peer {
	return Peer{node: node, dataCentre: dataCentre, state: state, port: port}
}

// Node returns the name of the node.
func (p Peer) Node() string { return p.node }

// DataCentre returns the data centre of the node.
func (p Peer) DataCentre() string { return p.dataCentre }

// ServerState returns the state of the server beside the node.
func (p Peer) ServerState() link.ServerState { return p.state }

// Port returns the server beside the node.
func (p Peer) Port() *upstream.Endpoint { return p.port }

// Snapshot is the configuration in force. Its two parts move forward on their
// own: the store may tell of a later change to one before an earlier change to
// the other. The operators' text is kept as it came, plain or packed.
type Snapshot struct {
	version     uint64
	catalogue   *routeconfig.Config
	text        []byte
	packed      []byte
	evacuations map[string]link.Evacuation
}

// NewSnapshot returns a situation in which no data centre is out of service.
func NewSnapshot(version uint64, c *routeconfig.Config) Snapshot {
	return Snapshot{version: version, catalogue: c}
}

// Version returns the version of the store that wrote the configuration.
func (s Snapshot) Version() uint64 { return s.version }

// Catalogue returns the configuration.
func (s Snapshot) Catalogue() *routeconfig.Config { return s.catalogue }

// Evacuated reports whether a data centre is out of service.
func (s Snapshot) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].Active() }

// EvacuatedDataCentres returns the data centres that are out of service.
func (s Snapshot) EvacuatedDataCentres() []string {
	var names []string
	for name, e := range s.evacuations {
		if e.Active() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// known returns the versions of both parts.
func (s Snapshot) known() link.Versions {
	newest := uint64(0)
	for _, e := range s.evacuations {
		newest = max(newest, e.Version())
	}
	return link.NewVersions(s.version, newest)
}
