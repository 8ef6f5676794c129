package cmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap/cmd"
)

func run(t *testing.T, in string, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut strings.Builder
	code := cmd.Execute(append([]string{"savorygap"}, args...), strings.NewReader(in), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestKeys_CreatesAuthorityAndCertificates(t *testing.T) {
	dir := t.TempDir()
	code, _, errOut := run(t, "", "keys", "issue", "--dir", dir, "host-a")
	must.Eq(t, 1, code)
	must.StrContains(t, errOut, "savorygap keys authority")
	code, _, _ = run(t, "", "keys", "authority", "--dir", dir)
	must.Eq(t, 0, code)
	code, out, _ := run(t, "", "keys", "issue", "--dir", dir, "--role", "operate", "--address", "127.0.0.1", "olga")
	must.Eq(t, 0, code)
	must.StrContains(t, out, "for role operate")
	info, err := os.Stat(filepath.Join(dir, "olga-key.pem"))
	must.NoError(t, err)
	must.Eq(t, os.FileMode(0o600), info.Mode().Perm())
	code, _, _ = run(t, "", "keys", "issue", "--dir", dir, "--role", "admin", "x")
	must.Eq(t, 2, code)
	code, _, _ = run(t, "", "keys", "issue", "--dir", dir, "--address", "nowhere", "x")
	must.Eq(t, 2, code)
}

func TestExecute_RejectsInvalidUsageBeforeSending(t *testing.T) {
	cases := map[string]struct {
		in   string
		args []string
		want string
	}{
		"no certificate": {"{kind: branch, name: x}", []string{"apply", "-f", "-"}, "SAVORYGAP_CERTIFICATE"},
		"invalid file":   {"{kind: branch, name: x, colour: red}", []string{"apply", "-f", "-"}, "colour"},
		"empty file":     {"", []string{"apply", "-f", "-"}, "holds no resource"},
		"delete nothing": {"", []string{"delete"}, "name a resource"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, _, errOut := run(t, c.in, c.args...)
			must.Eq(t, 2, code)
			must.StrContains(t, errOut, c.want)
		})
	}
}
