package link

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

// fields holds the decoded fields of a payload: the last value for each field
// number, and all values of the repeated field in order. numbers holds integers and
// the bits of floats.
type fields struct {
	numbers  [16]uint64
	bytes    [16][]byte
	repeated []string
}

// parse decodes a payload. repeated is the number of the field that may occur more
// than once, 0 for none.
func parse(frameType byte, payload []byte, repeated protowire.Number) (*fields, error) {
	f := &fields{}
	for len(payload) > 0 {
		number, wire, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return nil, &FrameError{frameType: frameType, reason: "broken tag"}
		}
		payload = payload[n:]
		used := f.consume(number, wire, payload, repeated)
		if used < 0 {
			return nil, &FrameError{frameType: frameType, reason: fmt.Sprintf("broken field %d", number)}
		}
		payload = payload[used:]
	}
	return f, nil
}

// consume decodes one value and returns its length, which is negative for an
// invalid value. Values of unknown fields are skipped.
func (f *fields) consume(number protowire.Number, wire protowire.Type, payload []byte, repeated protowire.Number) int {
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
			f.repeated = append(f.repeated, string(v))
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
	h := make(http.Header, len(f.repeated)/2)
	for i := 0; i+1 < len(f.repeated); i += 2 {
		h[f.repeated[i]] = append(h[f.repeated[i]], f.repeated[i+1])
	}
	return h
}

func (f *fields) serverState() ServerState {
	return ServerState{service: f.text(10), instance: f.text(11), accepting: f.numbers[12] != 0, release: f.text(13)}
}

// Decode decodes the message of a frame. It reports false for a frame type or a
// signal that this release does not know.
func Decode(frameType byte, payload []byte) (Message, bool, error) {
	f, err := parse(frameType, payload, repeatedField(frameType))
	if err != nil {
		return Message{}, false, err
	}
	number := f.numbers[1]
	switch frameType {
	case typeHello:
		return Message{hello: &Hello{node: f.text(1), address: f.text(2), dataCentre: f.text(3), versions: NewVersions(f.numbers[4], f.numbers[5]).WithOperators(f.numbers[15]), bandwidth: math.Float64frombits(f.numbers[6]), serverState: f.serverState()}}, true, nil
	case typeSlotRequest:
		r := upstream.NewSlotRequest(f.text(2), f.count(3)).WithNested(f.numbers[4] != 0).WithMaxWait(f.duration(5)).WithRequestID(f.text(6)).WithSlowdownNotice(f.numbers[7] != 0).
			WithMaxSlowness(math.Float64frombits(f.numbers[8])).WithTimes(f.duration(9), f.duration(10)).WithTenant(f.text(11)).WithRoute(f.text(12)).WithRelease(f.text(13))
		return Message{slotRequest: &numberedSlotRequest{number: number, slotRequest: r}}, true, nil
	case typeEvent:
		return decodeEvent(f)
	case typeWithdraw:
		return Message{withdraw: &number}, true, nil
	case typeRequest:
		r := upstream.NewRequest(f.text(2), f.text(3), f.text(4), f.text(5), f.header(), nil).WithOriginService(f.text(6))
		if f.numbers[14] != 0 {
			r = r.AsHedge()
		}
		return Message{request: &numberedRequest{number: number, request: r, bodyLength: f.count(8), timeLeft: f.duration(9)}}, true, nil
	case typeRequestPart:
		return Message{requestPart: &bodyPart{number: number, bytes: f.bytes[2]}}, true, nil
	case typeResponsePart:
		return Message{responsePart: &bodyPart{number: number, bytes: f.bytes[2]}}, true, nil
	case typeCancel:
		return Message{cancel: &number}, true, nil
	case typePing:
		return Message{ping: true}, true, nil
	case typePong:
		return Message{pong: true}, true, nil
	case typeServerState:
		s := f.serverState()
		return Message{serverState: &s}, true, nil
	case typeVersions:
		versions := NewVersions(f.numbers[1], f.numbers[2]).WithOperators(f.numbers[3])
		return Message{versions: &versions}, true, nil
	case typeSignal:
		return decodeSignal(number)
	case typeMembers:
		records, err := decodeRecords(frameType, registry.KindMember, f)
		return Message{members: records}, err == nil, err
	case typeRoster:
		records, err := decodeRecords(frameType, registry.KindMember, f)
		return Message{roster: records}, err == nil, err
	case typeDepartures:
		records, err := decodeRecords(frameType, registry.KindDeparture, f)
		return Message{departures: records}, err == nil, err
	case typeSuspicions:
		records, err := decodeSuspicions(f)
		return Message{suspicions: records}, err == nil && len(records) > 0, err
	case typeRollouts:
		m, err := decodeRollout(f)
		return Message{rollout: m}, err == nil, err
	case typeSnapshot:
		return decodeSnapshot(f)
	case typeQuotaRequest:
		return decodeQuotaQuestion(f), true, nil
	case typeQuotaGrant:
		return decodeQuotaAnswer(f), true, nil
	}
	return Message{}, false, nil
}

// decodeSignal decodes a signal and reports false for one that this release does
// not know.
func decodeSignal(number uint64) (Message, bool, error) {
	if number == uint64(noSignal) || number >= uint64(endOfSignals) {
		return Message{}, false, nil
	}
	return Message{signal: Signal(number)}, true, nil
}

func decodeRecords(frameType byte, kind registry.Kind, f *fields) ([]registry.Record, error) {
	records := make([]registry.Record, 0, len(f.repeated)/4)
	for i := 0; i+3 < len(f.repeated); i += 4 {
		version, err := strconv.ParseUint(f.repeated[i+2], 10, 64)
		if err != nil {
			return nil, &FrameError{frameType: frameType, reason: err.Error()}
		}
		r := registry.NewRecord(kind, f.repeated[i], []byte(f.repeated[i+1])).WithVersion(version)
		if f.repeated[i+3] == "true" {
			r = r.AsRemoved()
		}
		records = append(records, r)
	}
	return records, nil
}

// decodeSuspicions skips records of a kind that this release does not know.
func decodeSuspicions(f *fields) ([]quarantine.Record, error) {
	records := make([]quarantine.Record, 0, len(f.repeated)/3)
	for i := 0; i+2 < len(f.repeated); i += 3 {
		fingerprint, err := strconv.ParseUint(f.repeated[i], 10, 64)
		kind, kindErr := strconv.ParseUint(f.repeated[i+1], 10, 8)
		left, leftErr := strconv.ParseUint(f.repeated[i+2], 10, 32)
		if err := errors.Join(err, kindErr, leftErr); err != nil {
			return nil, &FrameError{frameType: typeSuspicions, reason: err.Error()}
		}
		if k := quarantine.Kind(kind); k <= quarantine.Held {
			records = append(records, quarantine.NewRecord(quarantine.Fingerprint(fingerprint), k, time.Duration(left)*time.Millisecond))
		}
	}
	return records, nil
}

func decodeSnapshot(f *fields) (Message, bool, error) {
	s := &Snapshot{version: f.numbers[1], compressed: f.bytes[2]}
	for i := 0; i+2 < len(f.repeated); i += 3 {
		version, err := strconv.ParseUint(f.repeated[i+1], 10, 64)
		if err != nil {
			return Message{}, false, &FrameError{frameType: typeSnapshot, reason: err.Error()}
		}
		s.evacuations = append(s.evacuations, NewEvacuation(f.repeated[i], version, f.repeated[i+2] == "true"))
	}
	return Message{snapshot: s}, true, nil
}

// repeatedField returns the number of the repeated field of a frame type, 0 for
// none.
func repeatedField(frameType byte) protowire.Number {
	switch frameType {
	case typeEvent, typeRequest:
		return 7
	case typeSnapshot, typeMembers, typeRoster, typeDepartures, typeSuspicions:
		return 3
	}
	return 0
}

func decodeEvent(f *fields) (Message, bool, error) {
	kind := upstream.EventKind(min(f.numbers[2], math.MaxUint8))
	if kind > upstream.Slowed {
		return Message{}, false, &FrameError{frameType: typeEvent, reason: fmt.Sprintf("event kind %d does not exist", kind)}
	}
	if kind == upstream.Unknown && f.numbers[10] != 0 {
		kind = upstream.Lost
	}
	e := upstream.NewEvent(kind, f.numbers[1]).WithCost(math.Float64frombits(f.numbers[3])).
		WithReason(f.text(4)).WithRetryAfter(f.duration(5)).WithPressure(math.Float64frombits(f.numbers[9])).WithBusy(f.numbers[14] != 0)
	if f.numbers[11] != 0 {
		e = e.WithVerdict()
	}
	if status := f.count(6); status != 0 {
		e = e.WithResponse(upstream.NewResponse(status, f.header(), nil))
	}
	return Message{event: &e, bodyLength: f.count(8)}, true, nil
}
