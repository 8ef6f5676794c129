package fleet

import (
	"slices"

	"savorygap.example/lib/link"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// Member is a node that the store lists.
type Member struct {
	node        string
	address     string
	dataCentre  string
	service     string
	bandwidth   float64
	readVersion uint64
	version     uint64
	listedSince uint64        // store version of the entry, or of the first one if only the server has changed
	server      *statedServer // nil without rollouts
}

// statedServer is the instance of the server on a node's host and its version.
type statedServer struct {
	instance string
	release  string
}

// NewMember returns a member that accepts links at address.
func NewMember(node, address, dataCentre, service string) Member {
	return Member{node: node, address: address, dataCentre: dataCentre, service: service}
}

// WithBandwidth returns the member with the bandwidth of its host, in bytes per
// second; 0 means unknown.
func (m Member) WithBandwidth(bandwidth float64) Member {
	m.bandwidth = bandwidth
	return m
}

// WithReadVersion returns the member with the store version that its node had read
// when it wrote its entry. The node knows all entries up to that version.
func (m Member) WithReadVersion(version uint64) Member {
	m.readVersion = version
	return m
}

// WithServer returns the member with the instance of the server on the node's host and its
// version, which the node states where rollouts are followed.
func (m Member) WithServer(instance, release string) Member {
	m.server = nil
	if release != "" {
		m.server = &statedServer{instance: instance, release: release}
	}
	return m
}

// sameAs reports whether two entries of one node give the same address, data
// centre and service.
func (m Member) sameAs(other Member) bool {
	return m.address == other.address && m.dataCentre == other.dataCentre && m.service == other.service
}

// hasServerOf reports whether an entry states the same server as another.
func (m Member) hasServerOf(other Member) bool {
	instance, release := other.Server()
	return m.states(instance, release)
}

// states reports whether the entry states a server.
func (m Member) states(instance, release string) bool {
	ownInstance, ownRelease := m.Server()
	return ownInstance == instance && ownRelease == release
}

// Node returns the name of the node.
func (m Member) Node() string { return m.node }

// Address returns the address at which the node accepts links.
func (m Member) Address() string { return m.address }

// DataCentre returns the data centre of the node.
func (m Member) DataCentre() string { return m.dataCentre }

// Service returns the service of the server on the node's host.
func (m Member) Service() string { return m.service }

// Server returns the instance of the server on the node's host that last announced its
// version to the node, and that version, "" for none.
func (m Member) Server() (instance, release string) {
	if m.server == nil {
		return "", ""
	}
	return m.server.instance, m.server.release
}

// Peer is a node to which this node has a link.
type Peer struct {
	node        string
	dataCentre  string
	serverState link.ServerState
	endpoint    *upstream.Endpoint
}

// NewPeer returns a peer with the state of the server on its host and the endpoint
// through which requests reach that server.
func NewPeer(node, dataCentre string, state link.ServerState, endpoint *upstream.Endpoint) Peer {
	return Peer{node: node, dataCentre: dataCentre, serverState: state, endpoint: endpoint}
}

// Node returns the name of the node.
func (p Peer) Node() string { return p.node }

// DataCentre returns the data centre of the node.
func (p Peer) DataCentre() string { return p.dataCentre }

// ServerState returns the state of the server on the node's host.
func (p Peer) ServerState() link.ServerState { return p.serverState }

// Endpoint returns the endpoint of the server on the node's host.
func (p Peer) Endpoint() *upstream.Endpoint { return p.endpoint }

// Snapshot is the configuration in force: the operators' configuration and the
// evacuated data centres. The two parts have versions of their own, since the
// store may report a later change to one before an earlier change to the other.
// The operators' text is kept as received, either plain or compressed. Plain text
// is replaced by compressed text when the first peer fetches it.
type Snapshot struct {
	version     uint64
	config      *routeconfig.Config
	text        []byte
	compressed  []byte
	evacuations map[string]link.Evacuation
}

// NewSnapshot returns a snapshot without evacuated data centres.
func NewSnapshot(version uint64, c *routeconfig.Config) Snapshot {
	return Snapshot{version: version, config: c}
}

// Version returns the store version of the operators' configuration.
func (s Snapshot) Version() uint64 { return s.version }

// Config returns the operators' configuration.
func (s Snapshot) Config() *routeconfig.Config { return s.config }

// Evacuated reports whether a data centre is evacuated.
func (s Snapshot) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].Active() }

// EvacuatedDataCentres returns the names of the evacuated data centres, sorted.
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

// versions returns the versions of the configuration and of the newest change to
// the evacuations.
func (s Snapshot) versions() link.Versions {
	newest := uint64(0)
	for _, e := range s.evacuations {
		newest = max(newest, e.Version())
	}
	versions := link.NewVersions(s.version, newest)
	if s.config != nil {
		versions = versions.WithOperators(s.config.Version())
	}
	return versions
}
