package gossip

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/document"
	"savorygap.example/lib/field"
	"savorygap.example/lib/member"
	"savorygap.example/lib/wire"
)

// The field numbers of an encoded message.
const (
	fieldHello         = 1
	fieldPing          = 2
	fieldRecord        = 3
	fieldBucketDigests = 4
	fieldReferral      = 5
	fieldDeltaRequest  = 6
	fieldDelta         = 7
	fieldProbe         = 8
	fieldProbeResult   = 9
)

// Encode returns the payload of a message.
func Encode(m Message) ([]byte, error) {
	var b []byte
	switch {
	case m.hello != nil:
		return field.AppendBytes(b, fieldHello, encodeHello(*m.hello)), nil
	case m.ping != nil:
		return field.AppendBytes(b, fieldPing, encodePing(*m.ping)), nil
	case m.bucketDigests != nil:
		return field.AppendBytes(b, fieldBucketDigests, encodeBucketDigests(*m.bucketDigests)), nil
	case m.deltaRequest != nil:
		return field.AppendBytes(b, fieldDeltaRequest, field.AppendUint(nil, 1, uint64(m.deltaRequest.have))), nil
	case m.probe != nil:
		return field.AppendBytes(b, fieldProbe, encodeProbe(*m.probe)), nil
	case m.probeResult != nil:
		return field.AppendBytes(b, fieldProbeResult, encodeProbeResult(*m.probeResult)), nil
	case m.delta != nil:
		delta, err := encodeDelta(*m.delta)
		return field.AppendBytes(b, fieldDelta, delta), err
	}
	for _, r := range m.records {
		b = field.AppendBytes(b, fieldRecord, encodeRecord(r))
	}
	for _, r := range m.referral {
		b = field.AppendBytes(b, fieldReferral, encodeRecord(r))
	}
	return b, nil
}

// Decode reads the payload of a message. It skips unknown fields and returns
// *field.MalformedError for malformed input.
func Decode(b []byte) (Message, error) {
	var m Message
	err := field.Each("control", b, func(n protowire.Number, v field.Value) error {
		return m.set(n, v.Bytes())
	})
	return m, err
}

func (m *Message) set(n protowire.Number, b []byte) (err error) {
	switch n {
	case fieldHello:
		m.hello = &Hello{}
		return decodeHello(b, m.hello)
	case fieldPing:
		m.ping = &Ping{}
		return decodePing(b, m.ping)
	case fieldRecord:
		return appendRecord(&m.records, b)
	case fieldBucketDigests:
		m.bucketDigests = &BucketDigests{}
		return decodeBucketDigests(b, m.bucketDigests)
	case fieldReferral:
		return appendRecord(&m.referral, b)
	case fieldDeltaRequest:
		m.deltaRequest = &DeltaRequest{}
		return decodeDeltaRequest(b, m.deltaRequest)
	case fieldDelta:
		delta, err := decodeDelta(b)
		m.delta = &delta
		return err
	case fieldProbe:
		m.probe = &Probe{}
		return decodeProbe(b, m.probe)
	case fieldProbeResult:
		m.probeResult = &ProbeResult{}
		return decodeProbeResult(b, m.probeResult)
	}
	return nil
}

func appendRecord(list *[]member.Record, b []byte) error {
	r, err := decodeRecord(b)
	*list = append(*list, r)
	return err
}

func encodeRecord(r member.Record) []byte {
	b := field.AppendString(nil, 1, r.Name())
	b = field.AppendUint(b, 2, r.Epoch())
	b = field.AppendUint(b, 3, r.Version())
	b = field.AppendUint(b, 4, uint64(r.Status()))
	b = field.AppendString(b, 5, r.CallAddress())
	b = field.AppendString(b, 6, r.ControlAddress())
	b = field.AppendString(b, 7, r.DataCentre())
	b = field.AppendString(b, 8, r.Region())
	for _, s := range r.Servers() {
		b = field.AppendBytes(b, 9, encodeServer(s))
	}
	return b
}

func encodeServer(s member.Server) []byte {
	b := field.AppendString(nil, 1, s.Service())
	b = field.AppendString(b, 2, s.Address())
	b = field.AppendUint(b, 3, uint64(s.Slots()))
	return field.AppendUint(b, 4, uint64(s.AnnouncedAt().UnixMilli()))
}

func decodeRecord(b []byte) (member.Record, error) {
	var name, callAddress, controlAddress, dataCentre, region string
	var epoch, version uint64
	var status member.Status
	var servers []member.Server
	err := field.Each("claim", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			name = string(v.Bytes())
		case 2:
			epoch = v.Varint()
		case 3:
			version = v.Varint()
		case 4:
			status = member.Status(min(v.Varint(), uint64(member.Left)))
		case 5:
			callAddress = string(v.Bytes())
		case 6:
			controlAddress = string(v.Bytes())
		case 7:
			dataCentre = string(v.Bytes())
		case 8:
			region = string(v.Bytes())
		case 9:
			s, err := decodeServer(v.Bytes())
			servers = append(servers, s)
			return err
		}
		return nil
	})
	if err == nil && name == "" {
		err = field.NewMalformedError("claim", "name is missing")
	}
	return member.NewRecord(name, epoch, callAddress, controlAddress, dataCentre, region).WithStatus(version, status).WithServers(servers), err
}

func decodeServer(b []byte) (member.Server, error) {
	var service, address string
	var slots int
	var announcedAt time.Time
	err := field.Each("server", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			service = string(v.Bytes())
		case 2:
			address = string(v.Bytes())
		case 3:
			slots = int(min(v.Varint(), field.MaxCount))
		case 4:
			announcedAt = time.UnixMilli(int64(min(v.Varint(), field.MaxTimeValue)))
		}
		return nil
	})
	return member.NewServer(service, address, slots, announcedAt), err
}

func encodeHello(h Hello) []byte {
	b := field.AppendBytes(nil, 1, encodeRecord(h.record))
	b = field.AppendUint(b, 2, h.digest)
	b = field.AppendUint(b, 3, uint64(h.knownNodes))
	return field.AppendUint(b, 4, uint64(h.revision))
}

func decodeHello(b []byte, h *Hello) error {
	return field.Each("hello", b, func(n protowire.Number, v field.Value) (err error) {
		switch n {
		case 1:
			h.record, err = decodeRecord(v.Bytes())
		case 2:
			h.digest = v.Varint()
		case 3:
			h.knownNodes = int(min(v.Varint(), field.MaxCount))
		case 4:
			h.revision = document.Revision(v.Varint())
		}
		return err
	})
}

func encodePing(p Ping) []byte {
	b := field.AppendBool(nil, 1, p.echo)
	b = field.AppendUint(b, 2, p.sequence)
	b = field.AppendUint(b, 3, p.digest)
	return field.AppendUint(b, 4, uint64(p.revision))
}

func decodePing(b []byte, p *Ping) error {
	return field.Each("ping", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			p.echo = v.Varint() != 0
		case 2:
			p.sequence = v.Varint()
		case 3:
			p.digest = v.Varint()
		case 4:
			p.revision = document.Revision(v.Varint())
		}
		return nil
	})
}

func encodeBucketDigests(d BucketDigests) []byte {
	encoded := make([]byte, 0, member.NumBuckets*8)
	for _, digest := range d.digests {
		encoded = binary.LittleEndian.AppendUint64(encoded, digest)
	}
	return field.AppendBool(field.AppendBytes(nil, 1, encoded), 2, d.reply)
}

func decodeBucketDigests(b []byte, d *BucketDigests) error {
	return field.Each("buckets", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			if len(v.Bytes()) != member.NumBuckets*8 {
				return field.NewMalformedError("buckets", fmt.Sprintf("digests have %d bytes, want %d", len(v.Bytes()), member.NumBuckets*8))
			}
			for i := range d.digests {
				d.digests[i] = binary.LittleEndian.Uint64(v.Bytes()[i*8:])
			}
		case 2:
			d.reply = v.Varint() != 0
		}
		return nil
	})
}

func decodeDeltaRequest(b []byte, r *DeltaRequest) error {
	return field.Each("request", b, func(n protowire.Number, v field.Value) error {
		if n == 1 {
			r.have = document.Revision(v.Varint())
		}
		return nil
	})
}

func encodeProbe(p Probe) []byte {
	return field.AppendString(field.AppendString(nil, 1, p.name), 2, p.address)
}

func decodeProbe(b []byte, p *Probe) error {
	return field.Each("probe", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			p.name = string(v.Bytes())
		case 2:
			p.address = string(v.Bytes())
		}
		return nil
	})
}

func encodeProbeResult(p ProbeResult) []byte {
	return field.AppendBool(field.AppendString(nil, 1, p.name), 2, p.reachable)
}

func decodeProbeResult(b []byte, p *ProbeResult) error {
	return field.Each("verdict", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			p.name = string(v.Bytes())
		case 2:
			p.reachable = v.Varint() != 0
		}
		return nil
	})
}

func encodeDelta(d document.Delta) ([]byte, error) {
	b := field.AppendUint(nil, 1, uint64(d.From()))
	b = field.AppendUint(b, 2, uint64(d.To()))
	for _, r := range d.Puts() {
		raw, err := wire.EncodeResource(r)
		if err != nil {
			return nil, err
		}
		b = field.AppendBytes(b, 3, raw)
	}
	for _, k := range d.Deletes() {
		b = field.AppendString(b, 4, k.String())
	}
	for _, o := range d.Operations() {
		raw, err := json.Marshal(wire.ToOperationForm(o))
		if err != nil {
			return nil, err
		}
		b = field.AppendBytes(b, 5, raw)
	}
	return b, nil
}

func decodeDelta(b []byte) (document.Delta, error) {
	var from, to document.Revision
	var puts []document.Resource
	var deletes []document.Key
	var operations []document.Operation
	err := field.Each("delta", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			from = document.Revision(v.Varint())
		case 2:
			to = document.Revision(v.Varint())
		case 3:
			r, err := wire.DecodeResource(v.Bytes())
			puts = append(puts, r)
			return err
		case 4:
			deletes = append(deletes, wire.ParseKey(string(v.Bytes())))
		case 5:
			var form wire.OperationForm
			if err := json.Unmarshal(v.Bytes(), &form); err != nil {
				return field.NewMalformedError("delta", err.Error())
			}
			operations = append(operations, wire.FromOperationForm(form))
		}
		return nil
	})
	return document.NewDelta(from, to, puts, deletes, operations), err
}
