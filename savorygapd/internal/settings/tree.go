// Package settings reads the settings file of a node and checks the settings.
//
// Unknown settings are rejected. A Tree holds the settings; each step of the
// pipeline fills in its own defaults before Check is called.
//
// # Usage
//
//	tree, err := settings.Load("node.yaml")
//	pipeline.Default(tree)
//	err = tree.Check()
package settings

import (
	"fmt"
	"net"
	"net/url"
	"time"
)

// Tree holds the settings of a node.
type Tree struct {
	host         string
	dataCentre   string
	region       string
	listen       Addresses
	advertise    Addresses
	store        Store
	tls          TLS
	peers        []Peer
	policy       string
	transport    string
	logLevel     string
	drain        Drain
	callerLimits CallerLimits
}

// Host returns the name of the host, for which its certificate is issued.
func (t *Tree) Host() string { return t.host }

// DataCentre returns the name of the data centre.
func (t *Tree) DataCentre() string { return t.dataCentre }

// Region returns the name of the region.
func (t *Tree) Region() string { return t.region }

// Listen returns the addresses on which the process listens.
func (t *Tree) Listen() Addresses { return t.listen }

// Advertise returns the addresses at which peers reach the process.
func (t *Tree) Advertise() Addresses { return t.advertise }

// Store returns the settings of the client of the platform's store.
func (t *Tree) Store() Store { return t.store }

// TLS returns the paths of the certificate files.
func (t *Tree) TLS() TLS { return t.tls }

// Peers returns the nodes to join when the store cannot be reached.
func (t *Tree) Peers() []Peer { return t.peers }

// Policy returns the name of the balancing policy.
func (t *Tree) Policy() string { return t.policy }

// Transport returns the transport of calls between nodes: tcp or quic.
func (t *Tree) Transport() string { return t.transport }

// LogLevel returns the lowest level that is logged.
func (t *Tree) LogLevel() string { return t.logLevel }

// Drain returns the periods of a drain.
func (t *Tree) Drain() Drain { return t.drain }

// CallerLimits returns the limits on callers.
func (t *Tree) CallerLimits() CallerLimits { return t.callerLimits }

// Addresses holds one address (host:port) for each interface of the process.
type Addresses struct {
	callers   string
	calls     string
	control   string
	local     string
	operators string
}

// Callers returns the address on which callers are served.
func (a Addresses) Callers() string { return a.callers }

// Calls returns the address for calls from other nodes.
func (a Addresses) Calls() string { return a.calls }

// Control returns the UDP address for gossip links from other nodes.
func (a Addresses) Control() string { return a.control }

// Local returns the address on which the servers of this host announce themselves,
// and on which health, metrics and the state dump are served.
func (a Addresses) Local() string { return a.local }

// Operators returns the address on which the resource API is served.
func (a Addresses) Operators() string { return a.operators }

// Store holds the settings of the client of the platform's store.
type Store struct {
	address         string
	readsPerSecond  float64
	writesPerSecond float64
	burst           int
	startJitter     time.Duration
}

// Address returns the base URL of the store.
func (s Store) Address() string { return s.address }

// ReadsPerSecond returns the rate limit of reads.
func (s Store) ReadsPerSecond() float64 { return s.readsPerSecond }

// WritesPerSecond returns the rate limit of writes.
func (s Store) WritesPerSecond() float64 { return s.writesPerSecond }

// StartJitter returns the maximum random delay of the first calls, so that nodes that
// start together do not call the store at once.
func (s Store) StartJitter() time.Duration { return s.startJitter }

// Burst returns how many calls may be made at once before the rate limits apply.
func (s Store) Burst() int { return s.burst }

// TLS holds the paths of the certificate files, which are in PEM format.
type TLS struct {
	caFile          string
	certificateFile string
	keyFile         string
}

// CAFile returns the path of the trusted CA certificates.
func (t TLS) CAFile() string { return t.caFile }

// CertificateFile returns the path of the certificate of this host.
func (t TLS) CertificateFile() string { return t.certificateFile }

// KeyFile returns the path of the private key of the certificate.
func (t TLS) KeyFile() string { return t.keyFile }

// Peer is a node through which this one can join the fleet.
type Peer struct {
	name           string
	controlAddress string
}

// Name returns the name of its host.
func (p Peer) Name() string { return p.name }

// ControlAddress returns the address (host:port) for gossip links to the node.
func (p Peer) ControlAddress() string { return p.controlAddress }

// Drain holds the periods of a drain.
type Drain struct {
	acceptPeriod time.Duration
	timeout      time.Duration
}

// AcceptPeriod returns how long new requests are still accepted after the departure
// was announced to the other nodes.
func (d Drain) AcceptPeriod() time.Duration { return d.acceptPeriod }

// Timeout returns how long the process waits for requests in flight.
func (d Drain) Timeout() time.Duration { return d.timeout }

// CallerLimits holds the limits on callers.
type CallerLimits struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	maxConnections int
}

// MaxHeaderBytes returns the maximum size of a request header.
func (l CallerLimits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// HeaderTimeout returns how long a caller may take to send a request header.
func (l CallerLimits) HeaderTimeout() time.Duration { return l.headerTimeout }

// MaxConnections returns the maximum number of open connections of callers.
func (l CallerLimits) MaxConnections() int { return l.maxConnections }

// setIfEmpty sets a field to value if it is empty.
func setIfEmpty(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

// Check returns *InvalidError for the first setting that is missing or invalid.
func (t *Tree) Check() error {
	required := []struct{ name, value string }{
		{"host", t.host}, {"dataCentre", t.dataCentre}, {"region", t.region}, {"store.address", t.store.address},
		{"tls.authorities", t.tls.caFile}, {"tls.certificate", t.tls.certificateFile}, {"tls.key", t.tls.keyFile},
	}
	for _, r := range required {
		if r.value == "" {
			return &InvalidError{field: r.name, reason: "is missing; set it in the settings file"}
		}
	}
	if err := t.checkAddresses(); err != nil {
		return err
	}
	return t.checkValues()
}

func (t *Tree) checkAddresses() error {
	addresses := []struct{ name, value string }{
		{"listen.callers", t.listen.callers}, {"listen.calls", t.listen.calls}, {"listen.control", t.listen.control},
		{"listen.local", t.listen.local}, {"listen.operators", t.listen.operators},
		{"advertise.calls", t.advertise.calls}, {"advertise.control", t.advertise.control},
	}
	for _, p := range t.peers {
		addresses = append(addresses, struct{ name, value string }{"peers." + p.name, p.controlAddress})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &InvalidError{field: a.name, reason: fmt.Sprintf("is %q; host:port is wanted", a.value)}
		}
	}
	if u, err := url.Parse(t.store.address); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &InvalidError{field: "store.address", reason: fmt.Sprintf("is %q; a URL such as \"http://127.0.0.1:7600\" is wanted", t.store.address)}
	}
	return nil
}

func (t *Tree) checkValues() error {
	if t.transport != "tcp" && t.transport != "quic" {
		return &InvalidError{field: "calls.transport", reason: fmt.Sprintf("is %q; tcp or quic is wanted", t.transport)}
	}
	if t.store.readsPerSecond <= 0 || t.store.writesPerSecond <= 0 || t.store.burst < 1 {
		return &InvalidError{field: "store", reason: "has a budget of 0; give readsPerSecond, writesPerSecond and burst above 0"}
	}
	if t.store.startJitter < 0 {
		return &InvalidError{field: "store.startJitter", reason: "is negative; 0s or more is wanted"}
	}
	if t.drain.timeout <= 0 || t.drain.acceptPeriod < 0 {
		return &InvalidError{field: "drain", reason: "has a negative time"}
	}
	return nil
}

// InvalidError reports a missing or invalid setting.
type InvalidError struct {
	field  string
	reason string
}

// NewInvalidError returns an error for the setting with the given path.
func NewInvalidError(field, reason string) *InvalidError {
	return &InvalidError{field: field, reason: reason}
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("setting %q %s", e.field, e.reason) }

// Field returns the path of the setting.
func (e *InvalidError) Field() string { return e.field }
