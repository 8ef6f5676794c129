package link

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

// fields holds the decoded fields of one frame: the last value of each number,
// and all texts in order where a field repeats.
type fields struct {
	numbers [16]uint64
	bytes   [16][]byte
	list    []string
}

// parse reads fields. Texts of the repeated field are collected in list.
func parse(kind byte, payload []byte, repeated protowire.Number) (*fields, error) {
	f := &fields{}
	for len(payload) > 0 {
		number, wire, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return nil, &FrameError{kind: kind, reason: "broken tag"}
		}
		payload = payload[n:]
		used := f.take(number, wire, payload, repeated)
		if used < 0 {
			return nil, &FrameError{kind: kind, reason: fmt.Sprintf("broken field %d", number)}
		}
		payload = payload[used:]
	}
	return f, nil
}

func (f *fields) take(number protowire.Number, wire protowire.Type, payload []byte, repeated protowire.Number) int {
	known := number >= 0 && int(number) < len(f.numbers)
	switch {
	case known && wire == protowire.VarintType:
		v, n := protowire.ConsumeVarint(payload)
		f.numbers[number] = v
		return n
	case known && wire == protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(payload)
		f.numbers[number] = v
		return n
	case known && wire == protowire.BytesType:
		v, n := protowire.ConsumeBytes(payload)
		if number == repeated {
			f.list = append(f.list, string(v))
		} else {
			f.bytes[number] = v
		}
		return n
	}
	return protowire.ConsumeFieldValue(number, wire, payload)
}

func (f *fields) text(number int) string { return string(f.bytes[number]) }

func (f *fields) duration(number int) time.Duration {
	return time.Duration(min(f.numbers[number], math.MaxInt64/1000)) * time.Microsecond
}

func (f *fields) count(number int) int { return int(min(f.numbers[number], math.MaxInt32)) }

func (f *fields) header() http.Header {
	h := make(http.Header, len(f.list)/2)
	for i := 0; i+1 < len(f.list); i += 2 {
		h[f.list[i]] = append(h[f.list[i]], f.list[i+1])
	}
	return h
}

func (f *fields) state() ServerState {
	return ServerState{service: f.text(10), instance: f.text(11), open: f.numbers[12] != 0}
}

// Decode reads the message of a frame. It reports false for a type that this
// release does not know.
func Decode(kind byte, payload []byte) (Message, bool, error) {
	f, err := parse(kind, payload, repeatedField(kind))
	if err != nil {
		return Message{}, false, err
	}
	number := f.numbers[1]
	switch kind {
	case typeHello:
		return Message{hello: &Hello{node: f.text(1), address: f.text(2), dataCentre: f.text(3), known: NewVersions(f.numbers[4], f.numbers[5]), speed: math.Float64frombits(f.numbers[6]), state: f.state()}}, true, nil
	case typeAsk:
		a := upstream.NewSlotRequest(f.text(2), f.count(3)).WithNested(f.numbers[4] != 0).WithMaxWait(f.duration(5)).WithRequestID(f.text(6)).WithSlowdownNotice(f.numbers[7] != 0).
			WithMaxSlowness(math.Float64frombits(f.numbers[8]))
		return Message{ask: &numberedAsk{number: number, ask: a}}, true, nil
	case typeEvent:
		return decodeEvent(f)
	case typeWithdraw:
		return Message{withdraw: &number}, true, nil
	case typeRequest:
		r := upstream.NewRequest(f.text(2), f.text(3), f.text(4), f.text(5), f.header(), nil).WithOriginService(f.text(6))
		return Message{request: &numberedRequest{number: number, request: r, length: f.count(8), timeLeft: f.duration(9)}}, true, nil
	case typeUpPart:
		return Message{upPart: &part{number: number, bytes: f.bytes[2]}}, true, nil
	case typeDownPart:
		return Message{downPart: &part{number: number, bytes: f.bytes[2]}}, true, nil
	case typeCancel:
		return Message{cancel: &number}, true, nil
	case typePing:
		return Message{ping: true}, true, nil
	case typePong:
		return Message{pong: true}, true, nil
	case typeState:
		s := f.state()
		return Message{state: &s}, true, nil
	case typeNotice:
		known := NewVersions(f.numbers[1], f.numbers[2])
		return Message{notice: &known}, true, nil
	case typeSignal:
		return decodeSignal(number)
	case typeMembers:
		return decodeMembers(f)
	case typeDocument:
		return decodeDocument(f)
	}
	return Message{}, false, nil
}

// decodeSignal reports false for a signal that this release does not know.
func decodeSignal(number uint64) (Message, bool, error) {
	if number == uint64(noSignal) || number > uint64(EntryLost) {
		return Message{}, false, nil
	}
	return Message{signal: Signal(number)}, true, nil
}

func decodeMembers(f *fields) (Message, bool, error) {
	records := make([]registry.Record, 0, len(f.list)/4)
	for i := 0; i+3 < len(f.list); i += 4 {
		version, err := strconv.ParseUint(f.list[i+2], 10, 64)
		if err != nil {
			return Message{}, false, &FrameError{kind: typeMembers, reason: err.Error()}
		}
		r := registry.NewRecord(registry.KindMember, f.list[i], []byte(f.list[i+1])).WithVersion(version)
		if f.list[i+3] == "true" {
			r = r.AsRemoved()
		}
		records = append(records, r)
	}
	return Message{members: records}, true, nil
}

func decodeDocument(f *fields) (Message, bool, error) {
	d := &Snapshot{version: f.numbers[1], packed: f.bytes[2]}
	for i := 0; i+2 < len(f.list); i += 3 {
		version, err := strconv.ParseUint(f.list[i+1], 10, 64)
		if err != nil {
			return Message{}, false, &FrameError{kind: typeDocument, reason: err.Error()}
		}
		d.evacuations = append(d.evacuations, NewEvacuation(f.list[i], version, f.list[i+2] == "true"))
	}
	return Message{document: d}, true, nil
}

func repeatedField(kind byte) protowire.Number {
	switch kind {
	case typeEvent, typeRequest:
		return 7
	case typeDocument, typeMembers:
		return 3
	}
	return 0
}

func decodeEvent(f *fields) (Message, bool, error) {
	kind := upstream.EventKind(min(f.numbers[2], math.MaxUint8))
	if kind > upstream.Slowed {
		return Message{}, false, &FrameError{kind: typeEvent, reason: fmt.Sprintf("event kind %d does not exist", kind)}
	}
	e := upstream.NewEvent(kind, f.numbers[1]).WithCost(math.Float64frombits(f.numbers[3])).
		WithReason(f.text(4)).WithRetryAfter(f.duration(5))
	if status := f.count(6); status != 0 {
		e = e.WithResponse(upstream.NewResponse(status, f.header(), nil))
	}
	return Message{event: &e, length: f.count(8)}, true, nil
}
