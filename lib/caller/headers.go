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

// Header fields exchanged with callers.
const (
	HeaderOutcome  = "Savorygap-Outcome"
	HeaderReason   = "Savorygap-Reason"
	HeaderRevision = "Savorygap-Revision"
	HeaderNoRetry  = "Savorygap-No-Retry"
)

const (
	maxDepth            = 12 // levels of nested calls
	maxHeaderValueBytes = 128
	maxTimeoutMillis    = 10 * 60 * 1000
	retryAfterSeconds   = "1"
)

// hopHeaders are the hop-by-hop header fields, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// BadRequestError reports a missing or invalid header field.
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

// requestParams are the parameters that a caller sets in header fields.
type requestParams struct {
	requestID  string
	timeout    time.Duration
	depth      int
	key        string
	keyCreated time.Time
}

func parseRequestParams(h http.Header) (requestParams, error) {
	p := requestParams{requestID: validRequestID(h.Get(server.HeaderRequestID))}
	timeout, err := parseNumber(h, server.HeaderTimeout, maxTimeoutMillis)
	if err != nil {
		return p, err
	}
	p.timeout = time.Duration(timeout) * time.Millisecond
	// planRoute rejects depths above maxDepth with a reason of its own.
	depth, err := parseNumber(h, server.HeaderDepth, 1<<16)
	if err != nil {
		return p, err
	}
	p.depth = depth
	return p, p.parseKey(h.Get(server.HeaderIdempotencyKey))
}

// parseKey parses an idempotency key, which is a UUIDv7, optionally in quotes.
func (p *requestParams) parseKey(value string) error {
	if value == "" {
		return nil
	}
	created, ok := idempotency.ParseKeyTime(strings.Trim(value, `"`))
	if !ok {
		return &BadRequestError{field: server.HeaderIdempotencyKey, reason: "is not a UUIDv7, whose time the at-most-once guarantee needs"}
	}
	p.key = strings.ToLower(strings.Trim(value, `"`))
	p.keyCreated = created
	return nil
}

func parseNumber(h http.Header, field string, limit int) (int, error) {
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

// validRequestID returns id if it is a valid request ID, or a new one otherwise.
func validRequestID(id string) string {
	if id != "" && len(id) <= maxHeaderValueBytes && isPrintable(id) {
		return id
	}
	return uuid.NewString()
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// forwardedHeader returns the request's header without the hop-by-hop fields and
// the fields that the node on the target's host sets itself.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	for _, name := range []string{server.HeaderTimeout, server.HeaderDepth, server.HeaderRequestID, server.HeaderIdempotencyKey} {
		forwarded.Del(name)
	}
	return forwarded
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}
