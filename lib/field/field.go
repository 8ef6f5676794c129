// Package field encodes and decodes the fields of messages between nodes with
// the primitives of protobuf's wire format.
//
// Unknown fields are skipped by the callers of Each, so that a newer node may
// send more than an older one reads.
//
// # Usage
//
//	b = field.AppendString(b, 1, name)
//	err := field.Each("call", b, func(n protowire.Number, v field.Value) error { ... })
package field

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	maxFields = 4096 // of one message
	// MaxCount is the largest decoded count.
	MaxCount = 1 << 20
	// MaxTimeValue is the largest decoded time in micro- or milliseconds.
	MaxTimeValue = 1 << 42
)

// MalformedError reports a message that does not decode.
type MalformedError struct {
	message string
	reason  string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("message %q is malformed: %s", e.message, e.reason)
}

// NewMalformedError returns an error for a message of the given name.
func NewMalformedError(message, reason string) *MalformedError {
	return &MalformedError{message: message, reason: reason}
}

// Value is one decoded field: number holds varints, bytes the rest.
type Value struct {
	number uint64
	bytes  []byte
}

// Varint returns a varint field, 0 for others.
func (v Value) Varint() uint64 { return v.number }

// Bytes returns the bytes of a length-delimited field. They alias the input.
func (v Value) Bytes() []byte { return v.bytes }

// Each calls set for every varint and bytes field of a message and skips
// fields of other types.
func Each(name string, b []byte, set func(n protowire.Number, v Value) error) error {
	for count := 0; len(b) > 0; count++ {
		if count >= maxFields {
			return &MalformedError{message: name, reason: "too many fields"}
		}
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return &MalformedError{message: name, reason: protowire.ParseError(size).Error()}
		}
		b = b[size:]
		v, size := consumeValue(n, t, b)
		if size < 0 {
			return &MalformedError{message: name, reason: protowire.ParseError(size).Error()}
		}
		b = b[size:]
		if t != protowire.VarintType && t != protowire.BytesType {
			continue
		}
		if err := set(n, v); err != nil {
			return err
		}
	}
	return nil
}

func consumeValue(n protowire.Number, t protowire.Type, b []byte) (Value, int) {
	switch t {
	case protowire.VarintType:
		v, size := protowire.ConsumeVarint(b)
		return Value{number: v}, size
	case protowire.BytesType:
		v, size := protowire.ConsumeBytes(b)
		return Value{bytes: v}, size
	}
	return Value{}, protowire.ConsumeFieldValue(n, t, b)
}

// AppendString appends a text field, unless it is empty.
func AppendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// AppendBytes appends a length-delimited field.
func AppendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// AppendUint appends a varint field, unless it is 0.
func AppendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// AppendBool appends a flag, unless it is false.
func AppendBool(b []byte, n protowire.Number, v bool) []byte {
	return AppendUint(b, n, protowire.EncodeBool(v))
}
