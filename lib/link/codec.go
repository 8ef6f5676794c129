package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

const (
	frameHeaderSize = 5 // bytes: 1 for the type, 4 for the length
	// maxPayloadSize bounds the payload of a frame, in bytes. It leaves room for a
	// configuration of the largest size that the store accepts, and its envelope.
	maxPayloadSize = 2 << 20
	// maxPartSize bounds a part of a body, in bytes. Sending one takes 12 ms at
	// 11 Mbit/s.
	maxPartSize = 16 << 10
)

// Frame types.
const (
	typeHello byte = iota + 1
	typeSlotRequest
	typeEvent
	typeWithdraw
	typeRequest
	typeRequestPart
	typeResponsePart
	typeCancel
	typePing
	typePong
	typeServerState
	typeVersions
	typeSnapshot
	typeSignal
	typeMembers
	typeDepartures
	typeSuspicions
)

// typeRollouts is explicit, since other frame types are added between.
const typeRollouts byte = 20

// typeRoster is the type of the frame that lists all members.
const typeRoster byte = 21

// FrameError reports a frame that cannot be decoded.
type FrameError struct {
	frameType byte
	reason    string
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of type %d: %s", e.frameType, e.reason)
}

// encoder builds a frame. Its methods omit zero values, except bytes and header,
// which also write empty ones.
type encoder struct {
	b []byte
}

// newEncoder returns an encoder with a buffer for a payload of capacity bytes.
func newEncoder(frameType byte, capacity int) *encoder {
	e := &encoder{b: make([]byte, frameHeaderSize, frameHeaderSize+capacity)}
	e.b[0] = frameType
	return e
}

func (e *encoder) varint(field protowire.Number, v uint64) *encoder {
	if v != 0 {
		e.b = protowire.AppendVarint(protowire.AppendTag(e.b, field, protowire.VarintType), v)
	}
	return e
}

func (e *encoder) flag(field protowire.Number, v bool) *encoder {
	return e.varint(field, protowire.EncodeBool(v))
}

func (e *encoder) duration(field protowire.Number, d time.Duration) *encoder {
	return e.varint(field, uint64(max(d.Microseconds(), 0)))
}

func (e *encoder) float(field protowire.Number, v float64) *encoder {
	if v == 0 {
		return e
	}
	e.b = protowire.AppendFixed64(protowire.AppendTag(e.b, field, protowire.Fixed64Type), math.Float64bits(v))
	return e
}

func (e *encoder) text(field protowire.Number, v string) *encoder {
	if v != "" {
		e.b = protowire.AppendString(protowire.AppendTag(e.b, field, protowire.BytesType), v)
	}
	return e
}

func (e *encoder) bytes(field protowire.Number, v []byte) *encoder {
	e.b = protowire.AppendBytes(protowire.AppendTag(e.b, field, protowire.BytesType), v)
	return e
}

// header appends each name and value as two consecutive fields.
func (e *encoder) header(field protowire.Number, h http.Header) *encoder {
	for name, values := range h {
		for _, value := range values {
			e.b = protowire.AppendString(protowire.AppendTag(e.b, field, protowire.BytesType), name)
			e.b = protowire.AppendString(protowire.AppendTag(e.b, field, protowire.BytesType), value)
		}
	}
	return e
}

// frame fills in the length and returns the frame.
func (e *encoder) frame() []byte {
	binary.BigEndian.PutUint32(e.b[1:frameHeaderSize], uint32(len(e.b)-frameHeaderSize))
	return e.b
}

// Encode encodes a message as a frame.
func Encode(m Message) []byte {
	switch {
	case m.hello != nil:
		h := m.hello
		return encodeServerState(newEncoder(typeHello, 160).text(1, h.node).text(2, h.address).text(3, h.dataCentre).varint(4, h.versions.configuration).varint(5, h.versions.evacuation).float(6, h.bandwidth).varint(15, h.versions.operators), h.serverState).frame()
	case m.slotRequest != nil:
		r := m.slotRequest.slotRequest
		return newEncoder(typeSlotRequest, 96).varint(1, m.slotRequest.number).text(2, r.Service()).varint(3, uint64(max(r.Priority(), 0))).
			flag(4, r.IsNested()).duration(5, r.MaxWait()).text(6, r.RequestID()).flag(7, r.WantsSlowdownNotice()).float(8, r.MaxSlowness()).
			duration(9, r.TimeLeft()).duration(10, r.ExpectedLatency()).text(11, r.Tenant()).text(12, r.Route()).text(13, r.Release()).frame()
	case m.event != nil:
		return encodeEvent(*m.event)
	case m.withdraw != nil:
		return newEncoder(typeWithdraw, 16).varint(1, *m.withdraw).frame()
	case m.request != nil:
		return encodeRequest(m.request)
	case m.requestPart != nil:
		return newEncoder(typeRequestPart, len(m.requestPart.bytes)+24).varint(1, m.requestPart.number).bytes(2, m.requestPart.bytes).frame()
	case m.responsePart != nil:
		return newEncoder(typeResponsePart, len(m.responsePart.bytes)+24).varint(1, m.responsePart.number).bytes(2, m.responsePart.bytes).frame()
	case m.cancel != nil:
		return newEncoder(typeCancel, 16).varint(1, *m.cancel).frame()
	case m.ping:
		return newEncoder(typePing, 0).frame()
	case m.pong:
		return newEncoder(typePong, 0).frame()
	case m.serverState != nil:
		return encodeServerState(newEncoder(typeServerState, 64), *m.serverState).frame()
	case m.versions != nil:
		return newEncoder(typeVersions, 36).varint(1, m.versions.configuration).varint(2, m.versions.evacuation).varint(3, m.versions.operators).frame()
	case m.signal != noSignal:
		return newEncoder(typeSignal, 8).varint(1, uint64(m.signal)).frame()
	case m.members != nil:
		return encodeRecords(typeMembers, m.members)
	case m.roster != nil:
		return encodeRecords(typeRoster, m.roster)
	case m.departures != nil:
		return encodeRecords(typeDepartures, m.departures)
	case m.suspicions != nil:
		return encodeSuspicions(m.suspicions)
	case m.rollout != nil:
		return encodeRollout(*m.rollout)
	case m.snapshot != nil:
		return encodeSnapshot(m.snapshot)
	case m.quotaQuestion != nil:
		return encodeQuotaQuestion(m.quotaQuestion)
	case m.quotaAnswer != nil:
		return encodeQuotaAnswer(m.quotaAnswer)
	}
	return newEncoder(typePing, 0).frame()
}

// encodeRecords encodes each record as four consecutive fields: name, value,
// version, and whether it was removed.
func encodeRecords(frameType byte, records []registry.Record) []byte {
	e := newEncoder(frameType, 160*len(records))
	for _, r := range records {
		e.bytes(3, []byte(r.Name())).bytes(3, r.Value()).text(3, strconv.FormatUint(r.Version(), 10)).text(3, strconv.FormatBool(r.Removed()))
	}
	return e.frame()
}

// encodeSuspicions encodes each record as three consecutive fields: fingerprint, kind, and
// the time left in milliseconds.
func encodeSuspicions(records []quarantine.Record) []byte {
	e := newEncoder(typeSuspicions, 40*len(records))
	for _, r := range records {
		e.text(3, strconv.FormatUint(uint64(r.Fingerprint()), 10)).text(3, strconv.FormatUint(uint64(r.Kind()), 10)).text(3, strconv.FormatInt(max(r.Left().Milliseconds(), 0), 10))
	}
	return e.frame()
}

// encodeSnapshot encodes each evacuation as three consecutive fields: data centre,
// version and whether it is active.
func encodeSnapshot(s *Snapshot) []byte {
	e := newEncoder(typeSnapshot, len(s.compressed)+256).varint(1, s.version).bytes(2, s.compressed)
	for _, v := range s.evacuations {
		e.text(3, v.dataCentre).text(3, strconv.FormatUint(v.version, 10)).text(3, strconv.FormatBool(v.active))
	}
	return e.frame()
}

func encodeServerState(e *encoder, s ServerState) *encoder {
	return e.text(10, s.service).text(11, s.instance).flag(12, s.accepting).text(13, s.release)
}

func encodeEvent(v upstream.Event) []byte {
	kind := v.Kind()
	if kind == upstream.Lost {
		// A node of an earlier release takes it for the final event.
		kind = upstream.Unknown
	}
	e := newEncoder(typeEvent, 96).varint(1, v.Number()).varint(2, uint64(kind)).float(3, v.Cost()).
		text(4, v.Reason()).duration(5, v.RetryAfter()).float(9, v.Pressure()).flag(10, v.Kind() == upstream.Lost).
		flag(11, v.HasVerdict()).flag(14, v.IsBusy())
	if r := v.Response(); r != nil {
		e.varint(6, uint64(r.Status())).header(7, r.Header()).varint(8, uint64(len(r.Body())))
	}
	return e.frame()
}

func encodeRequest(n *numberedRequest) []byte {
	r := n.request
	return newEncoder(typeRequest, 512).varint(1, n.number).text(2, r.ID()).text(3, r.Method()).text(4, r.URI()).
		text(5, r.Host()).text(6, r.OriginService()).header(7, r.Header()).varint(8, uint64(len(r.Body()))).duration(9, n.timeLeft).flag(14, r.IsHedge()).frame()
}

// ReadFrame reads one frame and returns its type and payload.
func ReadFrame(r *bufio.Reader) (frameType byte, payload []byte, err error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[1:])
	if length > maxPayloadSize {
		return 0, nil, &FrameError{frameType: head[0], reason: fmt.Sprintf("payload of %d bytes exceeds the limit of %d bytes", length, maxPayloadSize)}
	}
	payload = make([]byte, length)
	_, err = io.ReadFull(r, payload)
	return head[0], payload, err
}
