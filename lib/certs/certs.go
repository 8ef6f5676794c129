// Package keys makes, loads and reloads the certificates with which nodes and
// operators prove who they are.
//
// Every certificate carries the name of its holder as common name and DNS
// name, and its role as organisational unit. Several authorities may be
// trusted at once, so that keys are changed with an overlap.
//
// # Usage
//
//	ring, err := keys.Load("ca.pem", "host.pem", "host-key.pem")
//	clientConfig := ring.Client("host-b", "savorygap-calls/1")
//	serverConfig := ring.Server([]keys.Role{keys.RoleNode}, "savorygap-calls/1")
//	err = ring.Reload()
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

// Role says what the holder of a certificate may do.
type Role string

// The roles.
const (
	RoleNode    Role = "node"
	RoleOperate Role = "operate"
	RoleRead    Role = "read"
)

const sessionCacheSize = 512 // peers

// Credentials holds the present certificates of one process. It may be used by many
// goroutines; a reload replaces the whole immutable snapshot.
type Credentials struct {
	caFile   string
	certFile string
	keyFile  string
	current  atomic.Pointer[snapshot]
}

type snapshot struct {
	roots       *x509.CertPool
	certificate tls.Certificate
	sessions    tls.ClientSessionCache
}

// Load reads the authorities, the certificate and its key from PEM files.
func Load(caFile, certFile, keyFile string) (*Credentials, error) {
	r := &Credentials{caFile: caFile, certFile: certFile, keyFile: keyFile}
	return r, r.Reload()
}

// Reload reads the files again. On an error the earlier certificates stay in
// use.
func (r *Credentials) Reload() error {
	pem, err := os.ReadFile(r.caFile)
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("file %q holds no certificate of an authority", r.caFile)
	}
	certificate, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	r.current.Store(&snapshot{
		roots: roots, certificate: certificate,
		sessions: tls.NewLRUClientSessionCache(sessionCacheSize),
	})
	return nil
}

// Name returns the common name of the present certificate.
func (r *Credentials) Name() string { return r.current.Load().certificate.Leaf.Subject.CommonName }

// ClientConfig returns the configuration for dialling the peer with the given name.
func (r *Credentials) ClientConfig(peerName string, protocols ...string) *tls.Config {
	s := r.current.Load()
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

// ServerConfig returns the configuration for accepting peers of the given roles.
// Handshakes after a reload use the new certificates.
func (r *Credentials) ServerConfig(roles []Role, protocols ...string) *tls.Config {
	var built atomic.Pointer[serverConfig]
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s := r.current.Load()
			if b := built.Load(); b != nil && b.source == s {
				return b.config, nil
			}
			b := &serverConfig{source: s, config: s.serverConfig(roles, protocols)}
			built.Store(b)
			return b.config, nil
		},
	}
}

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

// Identity returns the name and role in the peer's certificate.
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

// RoleError reports a peer whose role does not allow the connection.
type RoleError struct {
	name string
	role Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate of %q has role %q, which may not connect here", e.name, e.role)
}
