// Package certs issues, loads and reloads the certificates with which nodes and
// operators authenticate each other over mutual TLS.
//
// A certificate contains the name of its subject as common name and DNS name,
// and the role of the subject as organisational unit. The CA file may contain
// several authorities, so that an authority can be replaced without downtime.
//
// # Usage
//
//	credentials, err := certs.Load("ca.pem", "host.pem", "host-key.pem")
//	clientConfig := credentials.ClientConfig("host-b", "savorygap-calls/1")
//	serverConfig := credentials.ServerConfig([]certs.Role{certs.RoleNode}, "savorygap-calls/1")
//	err = credentials.Reload()
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
)

// Role determines what the subject of a certificate is authorised to do.
type Role string

// The roles. Operators with RoleOperate may read and change the configuration,
// those with RoleRead may only read it.
const (
	RoleNode    Role = "node"
	RoleOperate Role = "operate"
	RoleRead    Role = "read"
)

const maxCachedSessions = 512 // TLS sessions, one per peer

// Credentials holds the certificate, the key and the trusted authorities of a
// process. It is safe for concurrent use: Reload replaces an immutable snapshot.
type Credentials struct {
	caFile   string
	certFile string
	keyFile  string
	current  atomic.Pointer[snapshot]
}

// snapshot is the content of the files after one load, with a cache for the
// client sessions that use it.
type snapshot struct {
	roots       *x509.CertPool
	certificate tls.Certificate
	sessions    tls.ClientSessionCache
}

// Load reads the trusted authorities, the certificate and its key from PEM
// files.
func Load(caFile, certFile, keyFile string) (*Credentials, error) {
	c := &Credentials{caFile: caFile, certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload reads the files again. After an error, the previous certificates
// remain in use.
func (c *Credentials) Reload() error {
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("file %q contains no CA certificate", c.caFile)
	}
	certificate, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.current.Store(&snapshot{
		roots: roots, certificate: certificate,
		sessions: tls.NewLRUClientSessionCache(maxCachedSessions),
	})
	return nil
}

// Name returns the common name of the current certificate.
func (c *Credentials) Name() string { return c.current.Load().certificate.Leaf.Subject.CommonName }

// ClientConfig returns the TLS configuration for dialling the node with the
// given name.
func (c *Credentials) ClientConfig(peerName string, protocols ...string) *tls.Config {
	s := c.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		RootCAs:            s.roots,
		Certificates:       []tls.Certificate{s.certificate},
		ServerName:         peerName,
		NextProtos:         protocols,
		ClientSessionCache: s.sessions,
		VerifyConnection:   verifyRole([]Role{RoleNode}),
	}
}

// ServerConfig returns the TLS configuration for accepting peers with one of
// the given roles. Handshakes after a reload use the new certificates.
func (c *Credentials) ServerConfig(roles []Role, protocols ...string) *tls.Config {
	var cached atomic.Pointer[serverConfig]
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s := c.current.Load()
			if cachedConfig := cached.Load(); cachedConfig != nil && cachedConfig.source == s {
				return cachedConfig.config, nil
			}
			cachedConfig := &serverConfig{source: s, config: s.serverConfig(roles, protocols)}
			cached.Store(cachedConfig)
			return cachedConfig.config, nil
		},
	}
}

// serverConfig is a TLS configuration and the snapshot that it was built from.
type serverConfig struct {
	source *snapshot
	config *tls.Config
}

func (s *snapshot) serverConfig(roles []Role, protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientCAs:        s.roots,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		Certificates:     []tls.Certificate{s.certificate},
		NextProtos:       protocols,
		VerifyConnection: verifyRole(roles),
	}
}

// verifyRole returns a callback for tls.Config.VerifyConnection that rejects
// peers without one of the given roles.
func verifyRole(roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		name, role, ok := Identity(&state)
		if !ok {
			return errors.New("peer has no certificate")
		}
		if !slices.Contains(roles, role) {
			return &RoleError{name: name, role: role}
		}
		return nil
	}
}

// Identity returns the name and the role in the peer's certificate. It returns
// false for a connection without TLS or without a peer certificate.
func Identity(state *tls.ConnectionState) (string, Role, bool) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return "", "", false
	}
	subject := state.PeerCertificates[0].Subject
	role := Role("")
	if len(subject.OrganizationalUnit) > 0 {
		role = Role(subject.OrganizationalUnit[0])
	}
	return subject.CommonName, role, true
}

// RoleError reports a peer whose role is not authorised to connect.
type RoleError struct {
	name string
	role Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate of %q has role %q, which may not connect here", e.name, e.role)
}
