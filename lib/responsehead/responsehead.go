// Package responsehead reads the status line and the header of HTTP/1.1 responses.
//
// net/http accepts heads that other parsers reject or read differently: an invalid status,
// a space in a field name, and a line that continues the one before it. A field such as
// "Content-Length : 5" then has no effect, so that the body is read with another framing
// than the server meant. Here such a head is an error.
//
// A trailer has no effect on the framing. Its field names are checked after the body was
// read, with CheckNames.
//
// # Usage
//
//	reader := responsehead.NewReader(conn, bufferSize)
//	response, err := reader.ReadResponse(request)
//	body, err := io.ReadAll(response.Body)
//	err = responsehead.CheckNames(response.Trailer)
package responsehead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"savorygap.example/lib/statusline"
)

// maxQuotedName is how many bytes of an invalid field name an error quotes.
const maxQuotedName = 64

// InvalidNameError reports a header line that does not begin with a valid field name.
type InvalidNameError struct {
	name string
}

// Error implements error.
func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("response has the invalid field name %q", e.name)
}

// Reader reads responses from a connection. It is not safe for concurrent use.
type Reader struct {
	buffer   *bufio.Reader
	recorder *recorder
}

// NewReader returns a reader with a buffer of the given size in bytes.
func NewReader(source io.Reader, bufferSize int) *Reader {
	recorder := &recorder{source: source}
	return &Reader{buffer: bufio.NewReaderSize(recorder, bufferSize), recorder: recorder}
}

// Buffered returns how many bytes were read from the connection but not consumed.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// ReadResponse reads the head of the next response, which may be an informational one.
// request is the request that it answers. The body of the response is read from the
// connection and must be read before the next call.
//
// It returns *statusline.InvalidError or *InvalidNameError for a head that net/http
// accepts although it is malformed.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	if err := statusline.Check(r.buffer); err != nil {
		return nil, err
	}
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	r.recorder.start(buffered)
	response, err := http.ReadResponse(r.buffer, request)
	recorded := r.recorder.stop()
	if err != nil {
		return nil, err
	}
	if err := checkLines(recorded[:len(recorded)-r.buffer.Buffered()]); err != nil {
		return nil, err
	}
	return response, nil
}

// CheckNames returns an *InvalidNameError if the name of a field is invalid.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// checkLines checks the header lines of a head. A line that continues the one before it
// begins with white space, which no field name does.
func checkLines(head []byte) error {
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(lines) {
		if line[0] == '\n' || line[0] == '\r' {
			return nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if err := checkName(string(name)); err != nil {
			return err
		}
	}
	return nil
}

func checkName(name string) error {
	if name == "" || strings.ContainsFunc(name, isNotTokenChar) {
		return &InvalidNameError{name: name[:min(len(name), maxQuotedName)]}
	}
	return nil
}

// isNotTokenChar reports whether a character may not be part of a token of RFC 9110.
func isNotTokenChar(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// recorder keeps what is read from source between start and stop.
type recorder struct {
	source io.Reader
	active bool
	bytes  []byte
}

// start begins a recording with bytes that were read before.
func (r *recorder) start(earlier []byte) {
	r.active, r.bytes = true, bytes.Clone(earlier)
}

// stop ends the recording and returns it.
func (r *recorder) stop() []byte {
	recorded := r.bytes
	r.active, r.bytes = false, nil
	return recorded
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.active {
		r.bytes = append(r.bytes, p[:n]...)
	}
	return n, err
}
