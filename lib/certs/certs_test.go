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

// handshake returns the errors of both sides of a connection.
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

func TestNamesAndRolesAreBoundToCertificates(t *testing.T) {
	authority, foreign := certstest.Authority(t), certstest.Authority(t)
	nodeA := certstest.Credentials(t, authority, "host-a", certs.RoleNode)
	nodeB := certstest.Credentials(t, authority, "host-b", certs.RoleNode)
	operator := certstest.Credentials(t, authority, "olga", certs.RoleOperate)
	stranger := certstest.Credentials(t, foreign, "host-a", certs.RoleNode)
	onlyNodes := []certs.Role{certs.RoleNode}
	cases := map[string]struct {
		client, server *tls.Config
		works          bool
	}{
		"node to node":             {nodeA.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), true},
		"another name":             {nodeA.ClientConfig("host-c", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"operator on node's port":  {operator.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"operator on its own port": {operator.ClientConfig("host-b", "p/1"), nodeB.ServerConfig([]certs.Role{certs.RoleOperate}, "p/1"), true},
		"other authority":          {stranger.ClientConfig("host-b", "p/1"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
		"to other authority":       {nodeA.ClientConfig("host-a", "p/1"), stranger.ServerConfig(onlyNodes, "p/1"), false},
		"no common protocol":       {nodeA.ClientConfig("host-b", "p/2"), nodeB.ServerConfig(onlyNodes, "p/1"), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clientErr, serverErr := handshake(c.client, c.server)
			must.Eq(t, c.works, clientErr == nil && serverErr == nil)
		})
	}
}

// Keys are changed with an overlap: first every process trusts both
// authorities, then certificates of the new one are issued, then the old
// authority goes.
func TestKeysAreChangedWithAnOverlap(t *testing.T) {
	older, newer := certstest.Authority(t), certstest.Authority(t)
	dir := t.TempDir()
	must.NoError(t, older.Save(dir))
	must.NoError(t, older.Issue(dir, "host-b", certs.RoleNode, nil, time.Now(), time.Hour))
	files := []string{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "host-b.pem"), filepath.Join(dir, "host-b-key.pem")}
	b, err := certs.Load(files[0], files[1], files[2])
	must.NoError(t, err)
	server := b.ServerConfig([]certs.Role{certs.RoleNode}, "p/1")
	withOld := certstest.Credentials(t, older, "host-a", certs.RoleNode)
	works := func(r *certs.Credentials) bool {
		clientErr, serverErr := handshake(r.ClientConfig("host-b", "p/1"), server)
		return clientErr == nil && serverErr == nil
	}
	must.True(t, works(withOld))

	newDir := t.TempDir()
	must.NoError(t, newer.Save(newDir))
	oldCA, err := os.ReadFile(files[0])
	must.NoError(t, err)
	newCA, err := os.ReadFile(filepath.Join(newDir, "ca.pem"))
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(files[0], append(oldCA, newCA...), 0o600))
	must.NoError(t, b.Reload())
	must.True(t, works(withOld))

	must.NoError(t, newer.Issue(dir, "host-b", certs.RoleNode, nil, time.Now(), time.Hour))
	must.NoError(t, os.WriteFile(files[0], newCA, 0o600))
	must.NoError(t, b.Reload())
	must.False(t, works(withOld))
	must.True(t, works(certstest.Credentials(t, newer, "host-a", certs.RoleNode)))

	must.NoError(t, os.WriteFile(files[1], []byte("broken"), 0o600))
	must.Error(t, b.Reload())
	must.True(t, works(certstest.Credentials(t, newer, "host-a", certs.RoleNode)))
}
