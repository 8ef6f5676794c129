package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/keys"
	"savorygap.example/lib/keys/keystest"
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
	authority, foreign := keystest.Authority(t), keystest.Authority(t)
	nodeA := keystest.Ring(t, authority, "host-a", keys.RoleNode)
	nodeB := keystest.Ring(t, authority, "host-b", keys.RoleNode)
	operator := keystest.Ring(t, authority, "olga", keys.RoleOperate)
	stranger := keystest.Ring(t, foreign, "host-a", keys.RoleNode)
	onlyNodes := []keys.Role{keys.RoleNode}
	cases := map[string]struct {
		client, server *tls.Config
		works          bool
	}{
		"node to node":             {nodeA.Client("host-b", "p/1"), nodeB.Server(onlyNodes, "p/1"), true},
		"another name":             {nodeA.Client("host-c", "p/1"), nodeB.Server(onlyNodes, "p/1"), false},
		"operator on node's port":  {operator.Client("host-b", "p/1"), nodeB.Server(onlyNodes, "p/1"), false},
		"operator on its own port": {operator.Client("host-b", "p/1"), nodeB.Server([]keys.Role{keys.RoleOperate}, "p/1"), true},
		"other authority":          {stranger.Client("host-b", "p/1"), nodeB.Server(onlyNodes, "p/1"), false},
		"to other authority":       {nodeA.Client("host-a", "p/1"), stranger.Server(onlyNodes, "p/1"), false},
		"no common protocol":       {nodeA.Client("host-b", "p/2"), nodeB.Server(onlyNodes, "p/1"), false},
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
	older, newer := keystest.Authority(t), keystest.Authority(t)
	dir := t.TempDir()
	must.NoError(t, older.Save(dir))
	must.NoError(t, older.Issue(dir, "host-b", keys.RoleNode, nil, time.Now(), time.Hour))
	files := []string{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "host-b.pem"), filepath.Join(dir, "host-b-key.pem")}
	b, err := keys.Load(files[0], files[1], files[2])
	must.NoError(t, err)
	server := b.Server([]keys.Role{keys.RoleNode}, "p/1")
	withOld := keystest.Ring(t, older, "host-a", keys.RoleNode)
	works := func(r *keys.Ring) bool {
		clientErr, serverErr := handshake(r.Client("host-b", "p/1"), server)
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

	must.NoError(t, newer.Issue(dir, "host-b", keys.RoleNode, nil, time.Now(), time.Hour))
	must.NoError(t, os.WriteFile(files[0], newCA, 0o600))
	must.NoError(t, b.Reload())
	must.False(t, works(withOld))
	must.True(t, works(keystest.Ring(t, newer, "host-a", keys.RoleNode)))

	must.NoError(t, os.WriteFile(files[1], []byte("broken"), 0o600))
	must.Error(t, b.Reload())
	must.True(t, works(keystest.Ring(t, newer, "host-a", keys.RoleNode)))
}
