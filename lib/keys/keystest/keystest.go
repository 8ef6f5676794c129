// Package keystest makes certificates for tests.
//
// # Usage
//
//	ring := keystest.Ring(t, authority, "host-a", keys.RoleNode)
package keystest

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/keys"
)

// Authority returns a new authority.
func Authority(t testing.TB) *keys.Authority {
	t.Helper()
	a, err := keys.NewAuthority(time.Now(), time.Hour)
	must.NoError(t, err)
	return a
}

// Ring returns the certificates of a holder.
func Ring(t testing.TB, a *keys.Authority, name string, role keys.Role) *keys.Ring {
	t.Helper()
	dir := t.TempDir()
	must.NoError(t, a.Save(dir))
	must.NoError(t, a.Issue(dir, name, role, nil, time.Now(), time.Hour))
	r, err := keys.Load(filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
	must.NoError(t, err)
	return r
}
