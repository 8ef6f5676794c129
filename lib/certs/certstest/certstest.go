// Package certstest creates certificates for tests.
//
// # Usage
//
//	credentials := certstest.Credentials(t, authority, "host-a", certs.RoleNode)
package certstest

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/certs"
)

// Authority creates an authority that is valid for an hour.
func Authority(t testing.TB) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Now(), time.Hour)
	must.NoError(t, err)
	return a
}

// Credentials issues a certificate for the subject name with the given role and
// loads it.
func Credentials(t testing.TB, a *certs.Authority, name string, role certs.Role) *certs.Credentials {
	t.Helper()
	dir := t.TempDir()
	must.NoError(t, a.Save(dir))
	must.NoError(t, a.Issue(dir, name, role, nil, time.Now(), time.Hour))
	c, err := certs.Load(filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
	must.NoError(t, err)
	return c
}
