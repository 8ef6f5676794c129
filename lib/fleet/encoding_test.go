package fleet_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/registry"
)

// TestDecodeMember_OddEntryNamesNoNode guards against an entry that another writer left
// in the store and that ends the process, or is dialled for ever.
func TestDecodeMember_OddEntryNamesNoNode(t *testing.T) {
	for name, text := range map[string]string{
		"empty":             "",
		"no JSON":           "\x00\xff",
		"null":              "null",
		"port out of range": `{"address":"127.0.0.1:99999","service":"shop"}`,
		"port 0":            `{"address":"127.0.0.1:0","service":"shop"}`,
		"named port":        `{"address":"127.0.0.1:http","service":"shop"}`,
		"no port":           `{"address":"127.0.0.1","service":"shop"}`,
		"no host":           `{"address":":7000","service":"shop"}`,
		"number too large":  `{"address":"127.0.0.1:7000","service":"shop","read":1e400}`,
		"wrong type":        `{"address":["127.0.0.1:7000"],"service":"shop"}`,
		"deeply nested":     `{"address":"127.0.0.1:7000","service":"shop","x":` + strings.Repeat(`{"x":`, 1<<18),
	} {
		_, err := fleet.DecodeMember(registry.NewRecord(registry.KindMember, "host-9", []byte(text)))
		must.Error(t, err, must.Sprint(name))
	}
	m, err := fleet.DecodeMember(registry.NewRecord(registry.KindMember, "host-9", []byte(`{"address":"[::1]:7000","service":"shop"}`)))
	must.NoError(t, err)
	must.Eq(t, "[::1]:7000", m.Address())
}
