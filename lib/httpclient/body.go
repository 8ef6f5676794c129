package httpclient

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"

	"savorygap.example/lib/responsehead"
)

const (
	// maxResponseHeader bounds a status line and header in bytes. It is far above
	// what servers send, and small enough for every connection at once.
	maxResponseHeader = 64 << 10
	// maxResponseBody bounds a response body in bytes, because the node buffers
	// complete responses.
	maxResponseBody = 16 << 20
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

// readBody reads the body of a response. If its length is stated, it waits for the memory,
// which leaves the body with the server meanwhile.
func (c *Conn) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	length := response.ContentLength
	switch {
	case length == 0 || response.Body == http.NoBody:
		return nil, nil
	case length > maxResponseBody:
		return nil, &ResponseTooLargeError{part: "body", limit: maxResponseBody}
	case length > 0:
		body, err := c.memory.Make(ctx, length)
		if err != nil {
			return nil, err
		}
		_, err = io.ReadFull(response.Body, body)
		return body, err
	}
	body := c.memory.NewBuffer(0, 0)
	if _, err := io.Copy(body, io.LimitReader(response.Body, maxResponseBody+1)); err != nil {
		return nil, err
	}
	if body.Len() > maxResponseBody {
		return nil, &ResponseTooLargeError{part: "body", limit: maxResponseBody}
	}
	// Only now has the trailer of a chunked body been read.
	if err := responsehead.CheckNames(response.Trailer); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// limitedReader reads from a connection until a limit is reached. After an error it
// returns that error again: the kernel reports a reset once, and an end afterwards.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	failure   error
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
	if l.failure != nil {
		return 0, l.failure
	}
	n, err := l.conn.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	l.failure = err
	return n, err
}
