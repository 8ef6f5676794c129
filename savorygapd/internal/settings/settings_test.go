package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygapd/cmd"
	"savorygap.example/savorygapd/internal/pipeline"
	"savorygap.example/savorygapd/internal/settings"
)

func TestCheck_ReportsInvalidField(t *testing.T) {
	valid, err := os.ReadFile("testdata/sound.yaml")
	must.NoError(t, err)
	cases := map[string]struct{ old, new, field string }{
		"no host":        {"host: host-a", "", "host"},
		"no region":      {"region: mu-north", "", "region"},
		"listen address": {"callers: 127.0.0.1:7000", "callers: here", "listen.callers"},
		"store address":  {"http://127.0.0.1:7600", "127.0.0.1", "store.address"},
		"transport":      {"transport: tcp", "transport: sctp", "calls.transport"},
		"store burst":    {"burst: 8", "burst: -1", "store"},
		"drain":          {"linger: 1s", "linger: -1s", "drain"},
		"peer address":   {"control: 127.0.0.2:7002", "control: there", "peers.host-b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, string(valid), c.old)
			tree, err := settings.Parse([]byte(strings.Replace(string(valid), c.old, c.new, 1)))
			must.NoError(t, err)
			pipeline.Default(tree)
			var invalid *settings.InvalidError
			must.True(t, errors.As(tree.Check(), &invalid))
			must.Eq(t, c.field, invalid.Field())
		})
	}
}

func TestParse_ReportsPositionOfUnknownField(t *testing.T) {
	_, err := settings.Parse([]byte("host: a\nlisten:\n  caller: x\n"))
	must.ErrorContains(t, err, "[3:3]")
	must.ErrorContains(t, err, "caller")
}

func TestFormat_KeepsDefaults(t *testing.T) {
	tree := &settings.Tree{}
	pipeline.Default(tree)
	text, err := settings.Format(tree)
	must.NoError(t, err)
	parsed, err := settings.Parse(text)
	must.NoError(t, err)
	must.Eq(t, tree.Listen().Calls(), parsed.Advertise().Calls())
	must.Eq(t, tree.Drain().Timeout(), parsed.Drain().Timeout())
	must.Eq(t, tree.CallerLimits().MaxHeaderBytes(), parsed.CallerLimits().MaxHeaderBytes())
	must.Eq(t, "adaptive", parsed.Policy())
}

func TestExecute(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		out  string
		err  string
	}{
		"check valid":      {[]string{"check", "--settings", "testdata/sound.yaml"}, 0, "settings are sound", ""},
		"check unknown":    {[]string{"check", "--settings", "testdata/unknown.yaml"}, 2, "", "colour"},
		"check absent":     {[]string{"check", "--settings", "testdata/none.yaml"}, 2, "", "read settings"},
		"run without keys": {[]string{"run", "--settings", "testdata/sound.yaml"}, 1, "", "start certificates"},
		"defaults":         {[]string{"defaults"}, 0, "policy: adaptive", ""},
		"charts":           {[]string{"charts"}, 0, "stateDiagram-v2", ""},
		"no settings flag": {[]string{"check"}, 1, "", "settings"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut strings.Builder
			code := cmd.Execute(append([]string{"savorygapd"}, c.args...), &out, &errOut)
			must.Eq(t, c.code, code)
			must.StrContains(t, out.String(), c.out)
			must.StrContains(t, errOut.String(), c.err)
		})
	}
}

func TestExecute_ReadsSettingsFileFromEnvironment(t *testing.T) {
	file, err := filepath.Abs("testdata/sound.yaml")
	must.NoError(t, err)
	t.Setenv("SAVORYGAP_SETTINGS", file)
	var out, errOut strings.Builder
	must.Eq(t, 0, cmd.Execute([]string{"savorygapd", "check"}, &out, &errOut))
}
