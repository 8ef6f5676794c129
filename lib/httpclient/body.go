package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// maxResponseHeader bounds a status line and header in bytes. It is far above
	// what servers send, and small enough for every connection at once.
	maxResponseHeader = 64 << 10
	// maxResponseBody bounds a response body in bytes, because the node buffers
	// complete responses.
	maxResponseBody = 16 << 20
	// bodyStep is how many bytes of a body are received before more memory is
	// reserved for it. A shorter body whose length is stated is read at once.
	bodyStep = 64 << 10
)

// ResponseTooLargeError reports a response that is longer than the node accepts.
type ResponseTooLargeError struct {
	part  string
	limit int64
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("%s of the answer is longer than %d bytes", e.part, e.limit)
}

// BodyMemoryError reports that the bodies being received take up all the memory
// for them.
type BodyMemoryError struct {
	limit int64
}

// Error implements error.
func (e *BodyMemoryError) Error() string {
	return fmt.Sprintf("bodies of answers being received already take up %d bytes", e.limit)
}

// BodyMemory limits how many bytes of response bodies are being received at once
// on all connections that share it.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
}

// NewBodyMemory returns a memory of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// Used returns the bytes in use.
func (m *BodyMemory) Used() int64 { return m.used.Load() }

// reserve takes n bytes. It returns *BodyMemoryError if they are not free.
func (m *BodyMemory) reserve(n int64) error {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return &BodyMemoryError{limit: m.limit}
	}
	return nil
}

func (m *BodyMemory) release(n int64) { m.used.Add(-n) }

// readBody reads the body of a response. Memory is taken as the body arrives,
// since a server may state a length and send less.
func (c *Conn) readBody(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	switch {
	case length == 0 || response.Body == http.NoBody:
		return nil, nil
	case length > maxResponseBody:
		return nil, &ResponseTooLargeError{part: "body", limit: maxResponseBody}
	case length > 0 && length <= bodyStep:
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return c.readLongBody(response.Body)
}

// readLongBody reads a body that is long or whose length is not stated.
func (c *Conn) readLongBody(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	reserved := int64(0)
	defer func() { c.memory.release(reserved) }()
	for {
		if err := c.memory.reserve(bodyStep); err != nil {
			return nil, err
		}
		reserved += bodyStep
		switch _, err := io.CopyN(&body, r, bodyStep); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		case body.Len() > maxResponseBody:
			return nil, &ResponseTooLargeError{part: "body", limit: maxResponseBody}
		}
	}
}

// limitedReader reads from a connection until a limit is reached.
type limitedReader struct {
	conn      net.Conn
	remaining int64
}

func newLimitedReader(conn net.Conn) *limitedReader {
	return &limitedReader{conn: conn, remaining: math.MaxInt64}
}

// limitTo lets the next limit bytes be read.
func (l *limitedReader) limitTo(limit int64) { l.remaining = limit }

func (l *limitedReader) removeLimit() { l.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &ResponseTooLargeError{part: "header", limit: maxResponseHeader}
	}
	n, err := l.conn.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
