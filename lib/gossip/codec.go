package gossip

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/document"
	"savorygap.example/lib/field"
	"savorygap.example/lib/member"
	"savorygap.example/lib/wire"
)

// The field numbers of a message.
const (
	fieldHello    = 1
	fieldPing     = 2
	fieldClaim    = 3
	fieldBuckets  = 4
	fieldReferral = 5
	fieldRequest  = 6
	fieldDelta    = 7
	fieldProbe    = 8
	fieldVerdict  = 9
)

// Encode returns the payload of a message.
func Encode(m Message) ([]byte, error) {
	var b []byte
	switch {
	case m.hello != nil:
		return field.AppendBytes(b, fieldHello, encodeHello(*m.hello)), nil
	case m.ping != nil:
		return field.AppendBytes(b, fieldPing, encodePing(*m.ping)), nil
	case m.buckets != nil:
		return field.AppendBytes(b, fieldBuckets, encodeBuckets(*m.buckets)), nil
	case m.request != nil:
		return field.AppendBytes(b, fieldRequest, field.AppendUint(nil, 1, uint64(m.request.have))), nil
	case m.probe != nil:
		return field.AppendBytes(b, fieldProbe, encodeProbe(*m.probe)), nil
	case m.verdict != nil:
		return field.AppendBytes(b, fieldVerdict, encodeVerdict(*m.verdict)), nil
	case m.delta != nil:
		delta, err := encodeDelta(*m.delta)
		return field.AppendBytes(b, fieldDelta, delta), err
	}
	for _, c := range m.claims {
		b = field.AppendBytes(b, fieldClaim, encodeClaim(c))
	}
	for _, c := range m.referral {
		b = field.AppendBytes(b, fieldReferral, encodeClaim(c))
	}
	return b, nil
}

// Decode reads the payload of a message. It skips unknown fields and returns
// *field.MalformedError for input that is not a message.
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
	case fieldClaim:
		return appendClaim(&m.claims, b)
	case fieldBuckets:
		m.buckets = &Buckets{}
		return decodeBuckets(b, m.buckets)
	case fieldReferral:
		return appendClaim(&m.referral, b)
	case fieldRequest:
		m.request = &DeltaRequest{}
		return decodeRequest(b, m.request)
	case fieldDelta:
		delta, err := decodeDelta(b)
		m.delta = &delta
		return err
	case fieldProbe:
		m.probe = &Probe{}
		return decodeProbe(b, m.probe)
	case fieldVerdict:
		m.verdict = &ProbeVerdict{}
		return decodeVerdict(b, m.verdict)
	}
	return nil
}

func appendClaim(list *[]member.Claim, b []byte) error {
	c, err := decodeClaim(b)
	*list = append(*list, c)
	return err
}

func encodeClaim(c member.Claim) []byte {
	b := field.AppendString(nil, 1, c.Name())
	b = field.AppendUint(b, 2, c.Epoch())
	b = field.AppendUint(b, 3, c.Version())
	b = field.AppendUint(b, 4, uint64(c.Status()))
	b = field.AppendString(b, 5, c.Calls())
	b = field.AppendString(b, 6, c.Control())
	b = field.AppendString(b, 7, c.DataCentre())
	b = field.AppendString(b, 8, c.Region())
	for _, s := range c.Servers() {
		b = field.AppendBytes(b, 9, encodeServer(s))
	}
	return b
}

func encodeServer(s member.Server) []byte {
	b := field.AppendString(nil, 1, s.Service())
	b = field.AppendString(b, 2, s.Address())
	b = field.AppendUint(b, 3, uint64(s.Slots()))
	return field.AppendUint(b, 4, uint64(s.Since().UnixMilli()))
}

func decodeClaim(b []byte) (member.Claim, error) {
	var name, calls, control, dataCentre, region string
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
			calls = string(v.Bytes())
		case 6:
			control = string(v.Bytes())
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
	return member.NewClaim(name, epoch, calls, control, dataCentre, region).At(version, status).WithServers(servers), err
}

func decodeServer(b []byte) (member.Server, error) {
	var service, address string
	var slots int
	var since time.Time
	err := field.Each("server", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			service = string(v.Bytes())
		case 2:
			address = string(v.Bytes())
		case 3:
			slots = int(min(v.Varint(), field.MaxCount))
		case 4:
			since = time.UnixMilli(int64(min(v.Varint(), field.MaxTimeValue)))
		}
		return nil
	})
	return member.NewServer(service, address, slots, since), err
}

func encodeHello(h Hello) []byte {
	b := field.AppendBytes(nil, 1, encodeClaim(h.claim))
	b = field.AppendUint(b, 2, h.digest)
	b = field.AppendUint(b, 3, uint64(h.known))
	return field.AppendUint(b, 4, uint64(h.revision))
}

func decodeHello(b []byte, h *Hello) error {
	return field.Each("hello", b, func(n protowire.Number, v field.Value) (err error) {
		switch n {
		case 1:
			h.claim, err = decodeClaim(v.Bytes())
		case 2:
			h.digest = v.Varint()
		case 3:
			h.known = int(min(v.Varint(), field.MaxCount))
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

func encodeBuckets(d Buckets) []byte {
	packed := make([]byte, 0, member.Buckets*8)
	for _, digest := range d.digests {
		packed = binary.LittleEndian.AppendUint64(packed, digest)
	}
	return field.AppendBool(field.AppendBytes(nil, 1, packed), 2, d.answer)
}

func decodeBuckets(b []byte, d *Buckets) error {
	return field.Each("buckets", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			if len(v.Bytes()) != member.Buckets*8 {
				return field.NewMalformedError("buckets", "wrong number of digests")
			}
			for i := range d.digests {
				d.digests[i] = binary.LittleEndian.Uint64(v.Bytes()[i*8:])
			}
		case 2:
			d.answer = v.Varint() != 0
		}
		return nil
	})
}

func decodeRequest(b []byte, r *DeltaRequest) error {
	return field.Each("request", b, func(n protowire.Number, v field.Value) error {
		if n == 1 {
			r.have = document.Revision(v.Varint())
		}
		return nil
	})
}

func encodeProbe(p Probe) []byte {
	return field.AppendString(field.AppendString(nil, 1, p.name), 2, p.target)
}

func decodeProbe(b []byte, p *Probe) error {
	return field.Each("probe", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			p.name = string(v.Bytes())
		case 2:
			p.target = string(v.Bytes())
		}
		return nil
	})
}

func encodeVerdict(p ProbeVerdict) []byte {
	return field.AppendBool(field.AppendString(nil, 1, p.name), 2, p.alive)
}

func decodeVerdict(b []byte, p *ProbeVerdict) error {
	return field.Each("verdict", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			p.name = string(v.Bytes())
		case 2:
			p.alive = v.Varint() != 0
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
