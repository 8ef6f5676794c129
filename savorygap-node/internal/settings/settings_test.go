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
