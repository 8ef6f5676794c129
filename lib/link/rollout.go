package link

import (
	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/rollout"
)

const (
	tallyField  protowire.Number = 14 // of a rollout, at most one
	countsField protowire.Number = 5  // of a tally, one for each route
)

// WithRollouts returns the hooks with a function that receives what peers know of
// rollouts.
func (h Hooks) WithRollouts(received func(rollout.Message)) Hooks {
	h.rollout = received
	return h
}

// SendRollout sends what this node knows of a rollout.
func (l *Link) SendRollout(m rollout.Message) { l.enqueue(Encode(Message{rollout: &m})) }

// encodeRollout encodes the tally, and in it the counts of each route, as a message of its
// own.
func encodeRollout(m rollout.Message) []byte {
	o, r := m.Order(), m.Record()
	e := newEncoder(typeRollouts, 160).varint(1, o.Version()).text(2, o.Service()).text(3, o.Target()).duration(4, o.Duration()).
		varint(5, r.Version()).varint(6, r.Order()).text(7, r.Target()).text(8, r.Previous()).varint(9, uint64(r.Phase())).
		varint(10, uint64(max(r.Step(), 0))).duration(11, r.Elapsed()).duration(12, m.Elapsed()).flag(13, m.Withdrawn()).flag(15, m.RolledBack())
	if t := m.Tally(); t != nil {
		e.bytes(tallyField, encodeTally(*t))
	}
	return e.frame()
}

func encodeTally(t rollout.Tally) []byte {
	e := &encoder{}
	e.text(1, t.Node()).text(2, t.Release()).text(3, t.Instance()).varint(4, uint64(max(t.Running(), 0)))
	for route, c := range t.Routes() {
		outcomes, length := c.Recent()
		counts := &encoder{}
		counts.text(1, route).varint(2, uint64(max(c.Good(), 0))).varint(3, uint64(max(c.Bad(), 0))).varint(4, uint64(outcomes)).varint(6, uint64(length))
		e.bytes(countsField, counts.b)
	}
	return e.b
}

func decodeRollout(f *fields) (*rollout.Message, error) {
	order := rollout.NewOrder(f.text(2), f.text(3), f.duration(4), f.numbers[1])
	phase := rollout.Phase(min(f.numbers[9], 255))
	if order.Service() == "" || phase > rollout.RolledBack {
		return nil, &FrameError{frameType: typeRollouts, reason: "no service, or an unknown phase"}
	}
	record := rollout.NewRecord(f.numbers[6], f.text(7), f.text(8), phase, f.count(10), f.duration(11)).WithVersion(f.numbers[5])
	m := rollout.NewMessage(order, record, f.duration(12), f.numbers[13] != 0, f.numbers[15] != 0)
	if f.bytes[tallyField] == nil {
		return &m, nil
	}
	t, err := decodeTally(f.bytes[tallyField])
	if err != nil {
		return nil, err
	}
	m = m.WithTally(t)
	return &m, nil
}

func decodeTally(payload []byte) (rollout.Tally, error) {
	f, err := parse(typeRollouts, payload, countsField)
	if err != nil {
		return rollout.Tally{}, err
	}
	t := rollout.NewTally(f.text(1), f.text(2), f.text(3)).WithRunning(f.count(4))
	for _, text := range f.repeated {
		c, err := parse(typeRollouts, []byte(text), 0)
		if err != nil {
			return rollout.Tally{}, err
		}
		t = t.WithCounts(c.text(1), rollout.NewCounts(c.count(2), c.count(3), uint16(c.numbers[4]), c.count(6)))
	}
	return t, nil
}
