package node

import (
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/document"
	"savorygap.example/lib/field"
	"savorygap.example/lib/load"
)

func appendHeader(b []byte, n protowire.Number, h http.Header) []byte {
	var pair []byte
	for name, values := range h {
		for _, v := range values {
			pair = field.AppendString(pair[:0], 1, name)
			pair = field.AppendString(pair, 2, v)
			b = field.AppendBytes(b, n, pair)
		}
	}
	return b
}

func decodeHeaderField(h http.Header, b []byte) error {
	var name, value string
	err := field.Each("header", b, func(n protowire.Number, v field.Value) error {
		switch n {
		case 1:
			name = string(v.Bytes())
		case 2:
			value = string(v.Bytes())
		}
		return nil
	})
	if err != nil {
		return err
	}
	h[name] = append(h[name], value)
	return nil
}

// EncodeCall returns the payload of a call frame.
func EncodeCall(c attempt.Call) []byte {
	b := make([]byte, 0, 512)
	b = field.AppendString(b, 1, c.RequestID())
	b = field.AppendString(b, 2, c.Service())
	b = field.AppendString(b, 3, c.Address())
	b = field.AppendString(b, 4, c.Method())
	b = field.AppendString(b, 5, c.URI())
	b = field.AppendString(b, 6, c.Host())
	b = appendHeader(b, 7, c.Header())
	b = field.AppendUint(b, 8, protowire.EncodeZigZag(c.Length()))
	b = field.AppendUint(b, 9, uint64(c.Class()))
	b = field.AppendUint(b, 10, uint64(c.Depth()))
	b = field.AppendUint(b, 11, uint64(max(c.Timeout().Microseconds(), 0)))
	b = field.AppendBool(b, 12, c.Short())
	b = field.AppendBool(b, 13, c.FailFast())
	b = field.AppendString(b, 14, c.Key())
	if c.Key() != "" {
		b = field.AppendUint(b, 15, uint64(c.KeyCreated().UnixMilli()))
	}
	b = field.AppendUint(b, 16, uint64(c.Revision()))
	b = field.AppendBool(b, 17, c.Fence())
	b = field.AppendBool(b, 18, c.ExpectContinue())
	for _, name := range c.TrailerNames() {
		b = field.AppendString(b, 19, name)
	}
	return b
}

// callFields holds the decoded fields of a call.
type callFields struct {
	requestID, service, address, method, uri, host, key string

	header                http.Header
	length                int64
	class                 document.Class
	depth                 int
	timeout               time.Duration
	short, failFast       bool
	keyCreated            time.Time
	revision              document.Revision
	fence, expectContinue bool
	trailerNames          []string
}

// DecodeCall decodes the payload of a call frame. It skips unknown fields and
// returns *field.MalformedError for malformed input.
func DecodeCall(b []byte) (attempt.Call, error) {
	f := &callFields{header: http.Header{}}
	if err := field.Each("call", b, f.set); err != nil {
		return attempt.Call{}, err
	}
	if f.service == "" || f.method == "" {
		return attempt.Call{}, field.NewMalformedError("call", "service or method is missing")
	}
	return f.call(), nil
}

func (f *callFields) set(n protowire.Number, v field.Value) error {
	switch n {
	case 1:
		f.requestID = string(v.Bytes())
	case 2:
		f.service = string(v.Bytes())
	case 3:
		f.address = string(v.Bytes())
	case 4:
		f.method = string(v.Bytes())
	case 5:
		f.uri = string(v.Bytes())
	case 6:
		f.host = string(v.Bytes())
	case 7:
		return decodeHeaderField(f.header, v.Bytes())
	case 14:
		f.key = string(v.Bytes())
	case 19:
		f.trailerNames = append(f.trailerNames, string(v.Bytes()))
	default:
		f.setNumber(n, v.Varint())
	}
	return nil
}

func (f *callFields) setNumber(n protowire.Number, v uint64) {
	switch n {
	case 8:
		f.length = protowire.DecodeZigZag(v)
	case 9:
		f.class = document.Class(min(v, document.NumClasses-1))
	case 10:
		f.depth = int(min(v, field.MaxCount))
	case 11:
		f.timeout = time.Duration(min(v, field.MaxTimeValue)) * time.Microsecond
	case 12:
		f.short = v != 0
	case 13:
		f.failFast = v != 0
	case 15:
		f.keyCreated = time.UnixMilli(int64(min(v, field.MaxTimeValue)))
	case 16:
		f.revision = document.Revision(v)
	case 17:
		f.fence = v != 0
	case 18:
		f.expectContinue = v != 0
	}
}

func (f *callFields) call() attempt.Call {
	c := attempt.NewCall(f.requestID, f.service, f.address, f.timeout).
		WithRequest(f.method, f.uri, f.host, f.header, f.length).
		WithPriority(f.class, f.depth, f.short, f.failFast).
		WithRevision(f.revision)
	if f.key != "" {
		c = c.WithKey(f.key, f.keyCreated)
	}
	if len(f.trailerNames) > 0 {
		c = c.WithTrailers(f.trailerNames, nil)
	}
	if f.expectContinue {
		c = c.WithExpectContinue()
	}
	if f.fence {
		c = c.WithFence()
	}
	return c
}

// EncodeReport returns the encoding of a load report.
func EncodeReport(r load.Report) []byte {
	b := make([]byte, 0, 24)
	b = field.AppendUint(b, 1, uint64(r.Limit()))
	b = field.AppendUint(b, 2, uint64(r.InFlight()))
	b = field.AppendUint(b, 3, uint64(r.Queued()))
	b = field.AppendUint(b, 4, uint64(r.Latency().Microseconds()))
	b = field.AppendBool(b, 5, r.Failing())
	return field.AppendBool(b, 6, r.Closed())
}

// DecodeReport decodes a load report. It skips unknown fields and returns
// *field.MalformedError for malformed input.
func DecodeReport(b []byte) (load.Report, error) {
	var limit, inFlight, queued int
	var latency time.Duration
	var failing, closed bool
	err := field.Each("report", b, func(n protowire.Number, v field.Value) error {
		count := int(min(v.Varint(), field.MaxCount))
		switch n {
		case 1:
			limit = count
		case 2:
			inFlight = count
		case 3:
			queued = count
		case 4:
			latency = time.Duration(min(v.Varint(), field.MaxTimeValue)) * time.Microsecond
		case 5:
			failing = v.Varint() != 0
		case 6:
			closed = v.Varint() != 0
		}
		return nil
	})
	return load.NewReport(limit, inFlight, queued, latency).WithFailing(failing).WithClosed(closed), err
}

// EncodeHead returns the payload of a head frame.
func EncodeHead(h Head) []byte {
	b := make([]byte, 0, 256)
	b = field.AppendUint(b, 1, uint64(h.status))
	b = appendHeader(b, 2, h.header)
	b = field.AppendUint(b, 3, protowire.EncodeZigZag(h.length))
	return field.AppendBytes(b, 4, EncodeReport(h.report))
}

// DecodeHead decodes the payload of a head frame. It skips unknown fields and
// returns *field.MalformedError for malformed input.
func DecodeHead(b []byte) (Head, error) {
	h := Head{header: http.Header{}}
	err := field.Each("head", b, func(n protowire.Number, v field.Value) (err error) {
		switch n {
		case 1:
			h.status = int(min(v.Varint(), 999))
		case 2:
			return decodeHeaderField(h.header, v.Bytes())
		case 3:
			h.length = protowire.DecodeZigZag(v.Varint())
		case 4:
			h.report, err = DecodeReport(v.Bytes())
		}
		return err
	})
	if err == nil && h.status < 200 {
		err = field.NewMalformedError("head", fmt.Sprintf("status is %d", h.status))
	}
	return h, err
}

// EncodeEnd returns the payload of an end frame.
func EncodeEnd(e End) []byte {
	b := make([]byte, 0, 64)
	b = field.AppendUint(b, 1, e.length)
	b = field.AppendUint(b, 2, e.digest)
	b = appendHeader(b, 3, e.trailer)
	return field.AppendBytes(b, 4, EncodeReport(e.report))
}

// DecodeEnd decodes the payload of an end frame. It skips unknown fields and
// returns *field.MalformedError for malformed input.
func DecodeEnd(b []byte) (End, error) {
	e := End{trailer: http.Header{}}
	err := field.Each("end", b, func(n protowire.Number, v field.Value) (err error) {
		switch n {
		case 1:
			e.length = v.Varint()
		case 2:
			e.digest = v.Varint()
		case 3:
			return decodeHeaderField(e.trailer, v.Bytes())
		case 4:
			e.report, err = DecodeReport(v.Bytes())
		}
		return err
	})
	return e, err
}

// EncodeRefusal returns the payload of a refusal frame.
func EncodeRefusal(r Refusal) []byte {
	b := field.AppendString(nil, 1, r.reason)
	b = field.AppendBool(b, 2, r.permanent)
	if r.reported {
		b = field.AppendBytes(b, 3, EncodeReport(r.report))
	}
	return b
}

// DecodeRefusal decodes the payload of a refusal frame. It skips unknown fields
// and returns *field.MalformedError for malformed input.
func DecodeRefusal(b []byte) (Refusal, error) {
	var r Refusal
	err := field.Each("refusal", b, func(n protowire.Number, v field.Value) (err error) {
		switch n {
		case 1:
			r.reason = string(v.Bytes())
		case 2:
			r.permanent = v.Varint() != 0
		case 3:
			r.reported = true
			r.report, err = DecodeReport(v.Bytes())
		}
		return err
	})
	return r, err
}

// EncodeFailure returns the payload of a failure frame.
func EncodeFailure(f Failure) []byte { return field.AppendString(nil, 1, f.reason) }

// DecodeFailure decodes the payload of a failure frame. It skips unknown fields
// and returns *field.MalformedError for malformed input.
func DecodeFailure(b []byte) (Failure, error) {
	var f Failure
	err := field.Each("failure", b, func(n protowire.Number, v field.Value) error {
		if n == 1 {
			f.reason = string(v.Bytes())
		}
		return nil
	})
	return f, err
}
