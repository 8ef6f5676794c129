package certs_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/certs/certstest"
)

// handshake connects a client and a server over TCP and returns the errors of
// both. The server sends a byte because a TLS 1.3 client only learns of a
// rejected client certificate when it reads.
func handshake(client, server *tls.Config) (error, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer func() { _ = listener.Close() }()
	a, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return err, err
	}
	b, err := listener.Accept()
	if err != nil {
		return err, err
	}
	done := make(chan error, 1)
	s := tls.Server(b, server)
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		_ = b.Close()
		done <- err
	}()
	c := tls.Client(a, client)
	err = c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	_ = a.Close()
	return err, <-done
}

func TestHandshakeVerifiesNameAndRole(t *testing.T) {
	authority, otherAuthority := certstest.Authority(t), certstest.Authority(t)
	nodeA := certstest.Credentials(t, authority, "host-a", certs.RoleNode)
	nodeB := certstest.Credentials(t, authority, "host-b", certs.RoleNode)
	operator := certstest.Credentials(t, authority, "olga", certs.RoleOperate)
	untrusted := certstest.Credentials(t, otherAuthority, "host-a", certs.RoleNode)
	onlyNodes := []certs.Role{certs.RoleNode}
	cases := map[string]struct {
		client, server *tls.Config
		accepted       bool
	}{
		"node to node":                  {nodeA.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), true},
		"other peer name":               {nodeA.ClientConfig("host-c", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"operator to node endpoint":     {operator.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"operator to operator endpoint": {operator.ClientConfig("host-b", "p/1"), nodeB.ServerConfig([]certs.Role{certs.RoleOperate}, "p/1"), true},
		"client of other authority":     {untrusted.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"server of other authority":     {nodeA.ClientConfig("host-a", "p/1"), untrusted.ServerConfig(onlyNodes, "p/1"), false},
		"no common protocol":            {nodeA.ClientConfig("host-b", "p/2"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clientErr, serverErr := handshake(c.client, c.server)
			must.Eq(t, c.accepted, clientErr == nil && serverErr == nil)
		})
	}
}

// An authority is replaced in steps: every process first trusts both
// authorities, then gets certificates of the new one, and then stops trusting
// the old one. The server must accept the client's certificate in every step
// that allows it, and keep its certificates when a reload fails.
func TestReload_AuthorityRotation(t *testing.T) {
	oldAuthority, newAuthority := certstest.Authority(t), certstest.Authority(t)
	dir := t.TempDir()
	must.NoError(t, oldAuthority.Save(dir))
	must.NoError(t, oldAuthority.Issue(dir, "host-b", certs.RoleNode, nil, time.Now(), time.Hour))
	files := []string{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "host-b.pem"), filepath.Join(dir, "host-b-key.pem")}
	b, err := certs.Load(files[0], files[1], files[2])
	must.NoError(t, err)
	server := b.ServerConfig([]certs.Role{certs.RoleNode}, "p/1")
	oldClient := certstest.Credentials(t, oldAuthority, "host-a", certs.RoleNode)
	accepted := func(client *certs.Credentials) bool {
		clientErr, serverErr := handshake(client.ClientConfig("host-b", "p/1"), server)
		return clientErr == nil && serverErr == nil
	}
	must.True(t, accepted(oldClient))

	newDir := t.TempDir()
	must.NoError(t, newAuthority.Save(newDir))
	oldCA, err := os.ReadFile(files[0])
	must.NoError(t, err)
	newCA, err := os.ReadFile(filepath.Join(newDir, "ca.pem"))
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(files[0], append(oldCA, newCA...), 0o600))
	must.NoError(t, b.Reload())
	must.True(t, accepted(oldClient))

	must.NoError(t, newAuthority.Issue(dir, "host-b", certs.RoleNode, nil, time.Now(), time.Hour))
	must.NoError(t, os.WriteFile(files[0], newCA, 0o600))
	must.NoError(t, b.Reload())
	must.False(t, accepted(oldClient))
	must.True(t, accepted(certstest.Credentials(t, newAuthority, "host-a", certs.RoleNode)))

	must.NoError(t, os.WriteFile(files[1], []byte("broken"), 0o600))
	must.Error(t, b.Reload())
	must.True(t, accepted(certstest.Credentials(t, newAuthority, "host-a", certs.RoleNode)))
}
