package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// MalformedRequestError reports a request that is refused with a status before it is
// routed.
type MalformedRequestError struct {
	status int
	reason string
}

// Error implements error.
func (e *MalformedRequestError) Error() string { return fmt.Sprintf("malformed request: %s", e.reason) }

// Status returns the status code to refuse with.
func (e *MalformedRequestError) Status() int { return e.status }

func malformed(reason string) *MalformedRequestError {
	return &MalformedRequestError{status: http.StatusBadRequest, reason: reason}
}

// readHead reads the bytes of one head, up to and with the empty line. It
// returns *MalformedError for a head that is longer than limit or not framed
// strictly.
func readHead(r *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(head)+len(line) > limit {
			return nil, &MalformedRequestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head too long"}
		}
		head = append(head, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		if !bytes.HasSuffix(head, []byte("\r\n")) {
			return nil, malformed("line does not end with CR LF")
		}
		if bytes.Equal(line, []byte("\r\n")) {
			if len(head) == len(line) {
				// Empty lines before a request are skipped, as RFC 9112 allows.
				head = head[:0]
				continue
			}
			return head, nil
		}
	}
}

// ValidateHeader refuses heads that different parsers may read differently.
func ValidateHeader(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if strings.Count(lines[0], " ") != 2 {
		return malformed("request line has not three parts")
	}
	var lengths, encodings, hosts int
	for _, line := range lines[1:] {
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return malformed("folded header line")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return malformed("header line without a proper name")
		}
		if strings.ContainsAny(line, "\x00\r\n") {
			return malformed("control character in a header line")
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
			if !isNumber(strings.TrimSpace(value)) {
				return malformed("length is not a number")
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return malformed("transfer encoding other than chunked")
			}
		case strings.EqualFold(name, "Host"):
			hosts++
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return malformed("conflicting lengths")
	case hosts != 1:
		return malformed("one Host field is needed")
	}
	return nil
}

func isNumber(text string) bool {
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

// parse parses a checked head.
func parse(head []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), min(len(head), parseBuffer)))
	if err != nil {
		return nil, malformed(err.Error())
	}
	if request.ProtoMajor != 1 {
		return nil, &MalformedRequestError{status: http.StatusHTTPVersionNotSupported, reason: "version is not HTTP/1"}
	}
	return request, nil
}

const parseBuffer = 4 << 10 // bytes
