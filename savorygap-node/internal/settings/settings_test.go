package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-node/internal/settings"
)

const complete = `host: host-1
ip: 127.0.0.1
dataCentre: north
service: shop
server: "127.0.0.1:1"
memoryMegabytes: 184
listen: {callers: "a:1", links: "a:2", ready: "a:3", announcements: "a:4"}
store: {address: "b:1"}
`

func read(t *testing.T, text string) (*settings.Tree, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return settings.Read(path)
}

func TestRead_BodiesGetAQuarterOfTheMemory(t *testing.T) {
	tree, err := read(t, complete)
	must.NoError(t, err)
	must.Eq(t, 46<<20, tree.BodyMemory())
}

func TestRead_HalfWrittenFileIsRejected(t *testing.T) {
	var missing *settings.MissingError
	for n := range len(complete) - len("\"b:1\"}\n") {
		_, err := read(t, complete[:n])
		must.Error(t, err, must.Sprint(n))
	}
	_, err := read(t, "host: host-1\n")
	must.True(t, errors.As(err, &missing))
	must.Eq(t, "ip", missing.Setting())
}

func TestRead_SectionsAreOffUnlessSet(t *testing.T) {
	tree, err := read(t, complete)
	must.NoError(t, err)
	must.Eq(t, 0, tree.FarRoundTrip())
	must.False(t, tree.DownstreamAdmission())
	tree, err = read(t, complete+"dataCentres: {farRoundTrip: 5ms}\nadmission: {downstream: true}\n")
	must.NoError(t, err)
	must.Eq(t, 5*time.Millisecond, tree.FarRoundTrip())
	must.True(t, tree.DownstreamAdmission())
}

// TestRead_QuotasAreOffUnlessSet guards against limits that apply in a deployment that does
// not ask for them, and against bounds that would refuse everything.
func TestRead_QuotasAreOffUnlessSet(t *testing.T) {
	tree, err := read(t, complete)
	must.NoError(t, err)
	must.False(t, tree.HasQuotas())
	tree, err = read(t, complete+"quota:\n  window: 5s\n  overshoot: 0.1\n  slack: 20\n")
	must.NoError(t, err)
	must.True(t, tree.HasQuotas())
	window, overshoot, slack := tree.QuotaBounds()
	must.Eq(t, 5*time.Second, window)
	must.Eq(t, 0.1, overshoot)
	must.Eq(t, 20.0, slack)
	for _, text := range []string{"{overshoot: 0.1}", "{window: -5s}", "{window: 5s, slack: -1}", "{window: 5s, overshoot: -0.1}"} {
		_, err = read(t, complete+"quota: "+text+"\n")
		var invalid *settings.QuotaError
		must.True(t, errors.As(err, &invalid), must.Sprint(text))
	}
}

func FuzzRead(f *testing.F) {
	f.Add(complete)
	f.Add("host: [")
	f.Add("a: &a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		if tree, err := read(t, text); err == nil {
			must.NotEq(t, "", tree.Host())
		}
	})
}
