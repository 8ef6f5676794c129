package caller

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/server"
)

// Header fields towards callers.
const (
	HeaderOutcome  = "Savorygap-Outcome"
	HeaderReason   = "Savorygap-Reason"
	HeaderRevision = "Savorygap-Revision"
	HeaderNoRetry  = "Savorygap-No-Retry"
)

const (
	maxDepth      = 12
	maxIDLength   = 128
	maxTimeoutMs  = 10 * 60 * 1000
	headerRetryIn = "1" // seconds
)

// hopHeaders are the header fields that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// BadRequestError reports a header field that does not hold what it must.
type BadRequestError struct {
	field  string
	reason string
}

// Error implements error.
func (e *BadRequestError) Error() string {
	return fmt.Sprintf("header field %q %s", e.field, e.reason)
}

// Field returns the name of the header field.
func (e *BadRequestError) Field() string { return e.field }

// demands is what a caller asks for in header fields.
type demands struct {
	requestID string
	timeout   time.Duration
	depth     int
	key       string
	created   time.Time
}

func readDemands(h http.Header) (demands, error) {
	d := demands{requestID: requestID(h.Get(server.HeaderRequestID))}
	timeout, err := readNumber(h, server.HeaderTimeout, maxTimeoutMs)
	if err != nil {
		return d, err
	}
	d.timeout = time.Duration(timeout) * time.Millisecond
	depth, err := readNumber(h, server.HeaderDepth, 1<<16)
	if err != nil {
		return d, err
	}
	d.depth = depth
	return d, d.readKey(h.Get(server.HeaderKey))
}

// readKey takes a UUIDv7, in quotes or not.
func (d *demands) readKey(value string) error {
	if value == "" {
		return nil
	}
	created, ok := idempotency.ParseKeyTime(strings.Trim(value, `"`))
	if !ok {
		return &BadRequestError{field: server.HeaderKey, reason: "is not a UUIDv7, whose time the at-most-once guarantee needs"}
	}
	d.key = strings.ToLower(strings.Trim(value, `"`))
	d.created = created
	return nil
}

func readNumber(h http.Header, field string, limit int) (int, error) {
	text := h.Get(field)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		return 0, &BadRequestError{field: field, reason: fmt.Sprintf("is %q; a number from 0 to %d is wanted", text, limit)}
	}
	return n, nil
}

func requestID(given string) string {
	if given != "" && len(given) <= maxIDLength && printable(given) {
		return given
	}
	return uuid.NewString()
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// forwarded returns the header fields of a request without those that concern
// one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range []string{server.HeaderTimeout, server.HeaderDepth, server.HeaderRequestID, server.HeaderKey} {
		out.Del(name)
	}
	return out
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}
