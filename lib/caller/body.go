package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBytes is the size up to which a request body is buffered before the
// first attempt, so that every attempt can send it.
const maxBufferedBytes = 64 << 10

// requestBody provides the body of a request to its attempts. A buffered body
// can be read repeatedly, a streaming body once.
type requestBody struct {
	length   int64
	buffered []byte
	raw      io.Reader
	started  atomic.Bool
}

func newRequestBody(r *http.Request, raw io.Reader) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, raw: raw}
	if b.length <= 0 || b.length > maxBufferedBytes {
		return b, nil
	}
	b.buffered = make([]byte, b.length)
	_, err := io.ReadFull(raw, b.buffered)
	return b, err
}

// streaming reports whether the body is forwarded without buffering.
func (b *requestBody) streaming() bool { return b.length != 0 && b.buffered == nil }

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return !b.streaming() || !b.started.Load() }

// newReader returns a reader for one attempt.
func (b *requestBody) newReader() io.Reader {
	if !b.streaming() {
		return bytes.NewReader(b.buffered)
	}
	return b
}

// Read implements io.Reader for a streaming body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.raw.Read(p)
}
