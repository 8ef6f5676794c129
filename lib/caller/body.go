package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBuffered is the largest request body in bytes that is read before the
// first attempt, so that every attempt can send it.
const maxBuffered = 64 << 10

// source yields the request body to attempts. A small body can be read any
// number of times, a large one once.
type source struct {
	length int64
	small  []byte
	raw    io.Reader
	begun  atomic.Bool
}

func newSource(in *http.Request, raw io.Reader) (*source, error) {
	s := &source{length: in.ContentLength, raw: raw}
	if s.length <= 0 || s.length > maxBuffered {
		return s, nil
	}
	s.small = make([]byte, s.length)
	_, err := io.ReadFull(raw, s.small)
	return s, err
}

// streams reports whether the body goes through as it arrives.
func (s *source) streams() bool { return s.length != 0 && s.small == nil }

// replayable reports whether another attempt can send the whole body.
func (s *source) replayable() bool { return !s.streams() || !s.begun.Load() }

// open returns a reader for one attempt.
func (s *source) open() io.Reader {
	if !s.streams() {
		return bytes.NewReader(s.small)
	}
	return s
}

// Read implements io.Reader for a body that streams.
func (s *source) Read(p []byte) (int, error) {
	s.begun.Store(true)
	return s.raw.Read(p)
}
