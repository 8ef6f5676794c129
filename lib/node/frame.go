package node

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// frameType identifies the content of a frame. Frames of unknown types are
// skipped, so that newer nodes can add types.
type frameType uint8

const (
	frameCall frameType = iota + 1
	frameBody
	frameEnd
	frameCancel
	frameHead
	frameRefusal
	frameFailure
	frameGoAway
	frameControl
	frameContinue
)

const (
	frameHeaderLen  = 5         // bytes: type and big-endian length
	maxBodyFrame    = 32 << 10  // bytes
	maxHeadFrame    = 256 << 10 // bytes
	maxControlFrame = 4 << 20   // bytes
)

// maxPayload returns the maximum payload of a frame type in bytes.
func maxPayload(t frameType) int {
	switch t {
	case frameBody:
		return maxBodyFrame
	case frameControl:
		return maxControlFrame
	}
	return maxHeadFrame
}

// FrameTooLongError reports a frame above the size limit of its type. A receiver
// closes the connection, since it cannot find the next frame.
type FrameTooLongError struct {
	kind   frameType
	length int
	limit  int
}

// Error implements error.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of type %d has %d bytes, the limit is %d", e.kind, e.length, e.limit)
}

// Length returns the length of the payload in bytes.
func (e *FrameTooLongError) Length() int { return e.length }

// writeFrame writes one frame to w. It does not flush.
func writeFrame(w *bufio.Writer, t frameType, payload []byte) error {
	if len(payload) > maxPayload(t) {
		return &FrameTooLongError{kind: t, length: len(payload), limit: maxPayload(t)}
	}
	var header [frameHeaderLen]byte
	header[0] = byte(t)
	binary.BigEndian.PutUint32(header[1:], uint32(len(payload)))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(payload)
	return err
}

// ReadFrames reads frames until r ends and passes the type and payload of each
// to handle. It returns nil if r ends between two frames.
func ReadFrames(r io.Reader, handle func(kind uint8, payload []byte)) error {
	reader := bufio.NewReader(r)
	var buffer []byte
	for {
		t, payload, resized, err := readFrame(reader, buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buffer = resized
		handle(uint8(t), payload)
	}
}

// readFrame reads one frame into buffer, or into a larger one if it does not
// fit, and returns the type, the payload and the buffer used. The payload is
// valid until the buffer is used again.
func readFrame(r *bufio.Reader, buffer []byte) (frameType, []byte, []byte, error) {
	header, err := r.Peek(frameHeaderLen)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, buffer, err
	}
	t := frameType(header[0])
	length := int(binary.BigEndian.Uint32(header[1:]))
	if length > maxPayload(t) {
		return t, nil, buffer, &FrameTooLongError{kind: t, length: length, limit: maxPayload(t)}
	}
	_, _ = r.Discard(frameHeaderLen)
	if cap(buffer) < length {
		buffer = make([]byte, length)
	}
	payload := buffer[:length]
	if _, err := io.ReadFull(r, payload); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return t, nil, buffer, err
	}
	return t, payload, buffer, nil
}
