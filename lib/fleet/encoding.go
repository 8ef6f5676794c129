package fleet

import (
	"encoding/json"
	"fmt"

	"savorygap.example/lib/registry"
	"savorygap.example/lib/socket"
)

// memberForm is the JSON encoding of a member in the store.
type memberForm struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	Read       uint64 `json:"read"`
	Instance   string `json:"instance,omitempty"`
	Release    string `json:"release,omitempty"`
}

// EncodeMember encodes a member as a record.
func EncodeMember(m Member) (registry.Record, error) {
	instance, release := m.Server()
	text, err := json.Marshal(memberForm{Address: m.address, DataCentre: m.dataCentre, Service: m.service, Read: m.readVersion, Instance: instance, Release: release})
	if err != nil {
		return registry.Record{}, fmt.Errorf("encode the entry of node %q: %w", m.node, err)
	}
	return registry.NewRecord(registry.KindMember, m.node, text), nil
}

// DecodeMember decodes a member from its record.
func DecodeMember(r registry.Record) (Member, error) {
	var form memberForm
	if err := json.Unmarshal(r.Value(), &form); err != nil {
		return Member{}, fmt.Errorf("decode the entry of node %q: %w", r.Name(), err)
	}
	if form.Address == "" || form.Service == "" {
		return Member{}, fmt.Errorf("entry of node %q has no address or no service", r.Name())
	}
	if err := socket.CheckAddress(form.Address); err != nil {
		return Member{}, fmt.Errorf("entry of node %q: %w", r.Name(), err)
	}
	return NewMember(r.Name(), form.Address, form.DataCentre, form.Service).WithReadVersion(form.Read).WithServer(form.Instance, form.Release), nil
}
