package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// MalformedRequestError reports a request that is rejected before routing.
type MalformedRequestError struct {
	status int
	reason string
}

// Error implements error.
func (e *MalformedRequestError) Error() string { return fmt.Sprintf("malformed request: %s", e.reason) }

// Status returns the HTTP status code of the rejection.
func (e *MalformedRequestError) Status() int { return e.status }

func badRequest(reason string) *MalformedRequestError {
	return &MalformedRequestError{status: http.StatusBadRequest, reason: reason}
}

// readHeader reads the request line and the header, including the empty line
// that ends it. It returns *MalformedRequestError if they exceed limit or a
// line does not end with CR LF.
func readHeader(r *bufio.Reader, limit int) ([]byte, error) {
	var header []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(header)+len(line) > limit {
			return nil, &MalformedRequestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head too long"}
		}
		header = append(header, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		if !bytes.HasSuffix(header, []byte("\r\n")) {
			return nil, badRequest("line does not end with CR LF")
		}
		if bytes.Equal(line, []byte("\r\n")) {
			if len(header) == len(line) {
				// Skip empty lines before a request, as RFC 9112 allows.
				header = header[:0]
				continue
			}
			return header, nil
		}
	}
}

// ValidateHeader rejects a request line and header that HTTP parsers might
// frame differently.
func ValidateHeader(header []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	if strings.Count(lines[0], " ") != 2 {
		return badRequest("request line has not three parts")
	}
	var lengths, encodings, hosts int
	for _, line := range lines[1:] {
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return badRequest("folded header line")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return badRequest("header line without a proper name")
		}
		if strings.ContainsAny(line, "\x00\r\n") {
			return badRequest("control character in a header line")
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
			if !isDecimal(strings.TrimSpace(value)) {
				return badRequest("length is not a number")
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return badRequest("transfer encoding other than chunked")
			}
		case strings.EqualFold(name, "Host"):
			hosts++
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return badRequest("conflicting lengths")
	case hosts != 1:
		return badRequest("one Host field is needed")
	}
	return nil
}

func isDecimal(text string) bool {
	if text == "" {
		return false
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// parseHeader parses a validated request line and header.
func parseHeader(header []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(header), min(len(header), parseBufferSize)))
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		// The text of the error holds the header line, which may hold an API key.
		return nil, badRequest("malformed header line")
	}
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if request.ProtoMajor != 1 {
		return nil, &MalformedRequestError{status: http.StatusHTTPVersionNotSupported, reason: "version is not HTTP/1"}
	}
	return request, nil
}

const parseBufferSize = 4 << 10 // bytes
