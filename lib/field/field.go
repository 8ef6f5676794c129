// Package field encodes and decodes the fields of messages between nodes in the
// protobuf wire format.
//
// Callers of Each must ignore unknown field numbers, so that newer nodes can add
// fields that older nodes do not know.
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
	maxFieldsPerMessage = 4096
	// MaxCount is the upper bound to which decoders clamp counts.
	MaxCount = 1 << 20
	// MaxTimeValue is the upper bound to which decoders clamp durations in
	// microseconds and times in Unix milliseconds.
	MaxTimeValue = 1 << 42
)

// MalformedError reports a message that cannot be decoded.
type MalformedError struct {
	message string
	reason  string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("message %q is malformed: %s", e.message, e.reason)
}

// NewMalformedError returns an error for the message type with the given name.
func NewMalformedError(message, reason string) *MalformedError {
	return &MalformedError{message: message, reason: reason}
}

// Value is the decoded value of a varint or length-delimited field.
type Value struct {
	varint uint64
	bytes  []byte
}

// Varint returns the value of a varint field, 0 for other fields.
func (v Value) Varint() uint64 { return v.varint }

// Bytes returns the value of a length-delimited field, nil for other fields. It
// aliases the input.
func (v Value) Bytes() []byte { return v.bytes }

// Each calls set for every varint and length-delimited field of a message in
// order and skips fields of other wire types. The name of the message type
// appears in errors.
func Each(name string, b []byte, set func(n protowire.Number, v Value) error) error {
	for count := 0; len(b) > 0; count++ {
		if count >= maxFieldsPerMessage {
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

// consumeValue decodes the field value at the start of b and returns its size in
// bytes, negative for a malformed value.
func consumeValue(n protowire.Number, t protowire.Type, b []byte) (Value, int) {
	switch t {
	case protowire.VarintType:
		v, size := protowire.ConsumeVarint(b)
		return Value{varint: v}, size
	case protowire.BytesType:
		v, size := protowire.ConsumeBytes(b)
		return Value{bytes: v}, size
	}
	return Value{}, protowire.ConsumeFieldValue(n, t, b)
}

// AppendString appends a string field, unless s is empty.
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

// AppendUint appends a varint field, unless v is 0.
func AppendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// AppendBool appends a boolean field, unless v is false.
func AppendBool(b []byte, n protowire.Number, v bool) []byte {
	return AppendUint(b, n, protowire.EncodeBool(v))
}
