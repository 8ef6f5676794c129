// Package settings holds the settings of a node process as one typed tree.
//
// The YAML file is decoded into a form, which is mapped by hand to the tree.
// Each step of the pipeline fills its defaults before Check reads the whole.
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

// Tree is all settings of one node.
type Tree struct {
	host       string
	dataCentre string
	region     string
	listen     Addresses
	advertise  Addresses
	store      Store
	tls        TLS
	peers      []Peer
	policy     string
	transport  string
	logLevel   string
	drain      Drain
	bounds     CallerLimits
}

// Host returns the name of the host, which is the name in its certificate.
func (t *Tree) Host() string { return t.host }

// DataCentre returns the name of the data centre.
func (t *Tree) DataCentre() string { return t.dataCentre }

// Region returns the name of the region.
func (t *Tree) Region() string { return t.region }

// Listen returns the addresses that the process listens on.
func (t *Tree) Listen() Addresses { return t.listen }

// Advertise returns the addresses at which peers reach the process.
func (t *Tree) Advertise() Addresses { return t.advertise }

// Store returns how the platform's store is reached.
func (t *Tree) Store() Store { return t.store }

// TLS returns the files with certificates.
func (t *Tree) TLS() TLS { return t.tls }

// Peers returns nodes to join when the store cannot be reached.
func (t *Tree) Peers() []Peer { return t.peers }

// Policy returns the name of the policy that chooses targets.
func (t *Tree) Policy() string { return t.policy }

// Transport returns what carries calls between nodes: tcp or quic.
func (t *Tree) Transport() string { return t.transport }

// LogLevel returns the least level that is logged.
func (t *Tree) LogLevel() string { return t.logLevel }

// Drain returns how the process stops.
func (t *Tree) Drain() Drain { return t.drain }

// CallerLimits returns the limits on what callers send.
func (t *Tree) CallerLimits() CallerLimits { return t.bounds }

// Addresses holds host:port for each peer that the process speaks to.
type Addresses struct {
	callers   string
	calls     string
	control   string
	local     string
	operators string
}

// Callers returns where callers are served.
func (a Addresses) Callers() string { return a.callers }

// Calls returns where other nodes' calls are taken.
func (a Addresses) Calls() string { return a.calls }

// Control returns where links of other nodes are taken, over UDP.
func (a Addresses) Control() string { return a.control }

// Local returns where servers of this host announce themselves and where
// health, metrics and the state dump are read.
func (a Addresses) Local() string { return a.local }

// Operators returns where the resource API is served.
func (a Addresses) Operators() string { return a.operators }

// Store says how the platform's store is reached.
type Store struct {
	address string
	reads   float64
	writes  float64
	burst   int
	jitter  time.Duration
}

// Address returns the base URL.
func (s Store) Address() string { return s.address }

// ReadsPerSecond returns the budget in reads a second.
func (s Store) ReadsPerSecond() float64 { return s.reads }

// WritesPerSecond returns the budget in writes a second.
func (s Store) WritesPerSecond() float64 { return s.writes }

// StartJitter returns within which time after the start the first calls are
// made.
func (s Store) StartJitter() time.Duration { return s.jitter }

// Burst returns how many calls may be made at once.
func (s Store) Burst() int { return s.burst }

// TLS names the files with certificates.
type TLS struct {
	authorities string
	certificate string
	key         string
}

// CAFile returns the file with the trusted authorities.
func (t TLS) CAFile() string { return t.authorities }

// CertificateFile returns the file with the process's certificate.
func (t TLS) CertificateFile() string { return t.certificate }

// KeyFile returns the file with the key of the certificate.
func (t TLS) KeyFile() string { return t.key }

// Peer is a node to join.
type Peer struct {
	name    string
	control string
}

// Name returns the host name.
func (p Peer) Name() string { return p.name }

// ControlAddress returns host:port where the node takes links.
func (p Peer) ControlAddress() string { return p.control }

// Drain says how the process stops.
type Drain struct {
	linger  time.Duration
	timeout time.Duration
}

// AcceptPeriod returns how long new work is still taken after the fleet was told.
func (d Drain) AcceptPeriod() time.Duration { return d.linger }

// Timeout returns how long requests in flight may take to finish.
func (d Drain) Timeout() time.Duration { return d.timeout }

// CallerLimits limits what callers send.
type CallerLimits struct {
	headerBytes int
	headerTime  time.Duration
	connections int
}

// MaxHeaderBytes returns the largest size of a request's header.
func (b CallerLimits) MaxHeaderBytes() int { return b.headerBytes }

// HeaderTimeout returns how long a caller may take to send a header.
func (b CallerLimits) HeaderTimeout() time.Duration { return b.headerTime }

// MaxConnections returns how many connections of callers are open at most.
func (b CallerLimits) MaxConnections() int { return b.connections }

// setIfEmpty sets a text that is not set yet.
func setIfEmpty(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

// Check returns *InvalidError for the first setting that is not sound.
func (t *Tree) Check() error {
	required := []struct{ name, value string }{
		{"host", t.host}, {"dataCentre", t.dataCentre}, {"region", t.region}, {"store.address", t.store.address},
		{"tls.authorities", t.tls.authorities}, {"tls.certificate", t.tls.certificate}, {"tls.key", t.tls.key},
	}
	for _, r := range required {
		if r.value == "" {
			return &InvalidError{field: r.name, reason: "is missing; set it in the settings file"}
		}
	}
	if err := t.checkAddresses(); err != nil {
		return err
	}
	return t.checkChoices()
}

func (t *Tree) checkAddresses() error {
	addresses := []struct{ name, value string }{
		{"listen.callers", t.listen.callers}, {"listen.calls", t.listen.calls}, {"listen.control", t.listen.control},
		{"listen.local", t.listen.local}, {"listen.operators", t.listen.operators},
		{"advertise.calls", t.advertise.calls}, {"advertise.control", t.advertise.control},
	}
	for _, p := range t.peers {
		addresses = append(addresses, struct{ name, value string }{"peers." + p.name, p.control})
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

func (t *Tree) checkChoices() error {
	if t.transport != "tcp" && t.transport != "quic" {
		return &InvalidError{field: "calls.transport", reason: fmt.Sprintf("is %q; tcp or quic is wanted", t.transport)}
	}
	if t.store.reads <= 0 || t.store.writes <= 0 || t.store.burst < 1 {
		return &InvalidError{field: "store", reason: "has a budget of 0; give readsPerSecond, writesPerSecond and burst above 0"}
	}
	if t.store.jitter < 0 {
		return &InvalidError{field: "store.startJitter", reason: "is negative; 0s or more is wanted"}
	}
	if t.drain.timeout <= 0 || t.drain.linger < 0 {
		return &InvalidError{field: "drain", reason: "has a negative time"}
	}
	return nil
}

// InvalidError reports a setting that is not sound.
type InvalidError struct {
	field  string
	reason string
}

// NewInvalidError returns an error about one setting.
func NewInvalidError(field, reason string) *InvalidError {
	return &InvalidError{field: field, reason: reason}
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("setting %q %s", e.field, e.reason) }

// Field returns the path of the setting.
func (e *InvalidError) Field() string { return e.field }
