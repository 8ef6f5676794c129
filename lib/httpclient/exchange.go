package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorygap.example/lib/headernames"
	"savorygap.example/lib/headers"
	"savorygap.example/lib/upstream"
)

const (
	maxInformational  = 8 // 1xx responses before the final one
	maxStaleResponses = 4 // duplicates of the previous response before the final one
	// asyncWriteThreshold is the body size in bytes above which the request is
	// written concurrently with reading, because a server may respond before it
	// has read the body.
	asyncWriteThreshold = 8 << 10
)

// Outcome classifies the end of an exchange.
type Outcome uint8

// Outcomes of an exchange.
const (
	// Answered means that the complete response arrived.
	Answered Outcome = iota
	// NotRun means that the server certainly did not run the request.
	NotRun
	// Unknown means that the server may have run the request.
	Unknown
)

// Result is the result of one exchange.
type Result struct {
	outcome       Outcome
	response      *upstream.Response
	reason        string
	err           error
	report        LoadReport
	hasReport     bool
	coldRemaining time.Duration
	instance      string
	advisory      *Advisory
	reusable      bool
	dialFailed    bool
}

// NewDialFailure returns the result of a request for which no connection could
// be established, so that nothing was written.
func NewDialFailure(err error) *Result {
	return &Result{outcome: NotRun, reason: "the server takes no connection", err: err, dialFailed: true}
}

// NewNotSent returns the result of a request that was not written at all.
func NewNotSent(reason string) *Result { return &Result{outcome: NotRun, reason: reason} }

// NewUnknown returns the result of a request that may have been written, and whose
// response was not received.
func NewUnknown(reason string, err error) *Result {
	return &Result{outcome: Unknown, reason: reason, err: err}
}

// DialFailed reports whether the connection to the server could not be
// established.
func (r *Result) DialFailed() bool { return r.dialFailed }

// Outcome returns how the exchange ended.
func (r *Result) Outcome() Outcome { return r.outcome }

// Response returns the response, or nil if the outcome is not Answered.
func (r *Result) Response() *upstream.Response { return r.response }

// Reason returns a short description of why there is no response.
func (r *Result) Reason() string { return r.reason }

// Err returns the underlying error, if any.
func (r *Result) Err() error { return r.err }

// LoadReport returns the server's load report, if the response carried one.
func (r *Result) LoadReport() (LoadReport, bool) { return r.report, r.hasReport }

// ColdRemaining returns the time left until the server's cold start is over.
func (r *Result) ColdRemaining() time.Duration { return r.coldRemaining }

// Instance returns the instance ID in the response, if any.
func (r *Result) Instance() string { return r.instance }

// Advisory returns what the server asks of those that send it requests. It reports
// false unless the complete response arrived from the instance that was addressed.
func (r *Result) Advisory() (Advisory, bool) {
	if r.advisory == nil {
		return Advisory{}, false
	}
	return *r.advisory, true
}

// Reusable reports whether the connection can be used for another exchange.
func (r *Result) Reusable() bool { return r.reusable }

// MismatchedResponseError reports a response whose ID matches no request sent
// on the connection.
type MismatchedResponseError struct {
	id string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("answer carries id %q, which is not that of the request", e.id)
}

// UnsignedResponseError reports a response without the server's signature whose
// status would tell the caller that the request succeeded or was not run.
type UnsignedResponseError struct {
	status int
}

// Error implements error.
func (e *UnsignedResponseError) Error() string {
	return fmt.Sprintf("answer of status %d carries no signature", e.status)
}

// Exchange sends the request once and reads the response. It closes the
// connection unless the result is reusable, and also when ctx ends, which tells
// the server that the caller is gone.
func (c *Conn) Exchange(ctx context.Context, names headernames.Set, instance string, request *upstream.Request, timeout time.Duration) *Result {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	sent := c.send(encodeHeader(names, instance, request, timeout), request.Body())
	response, err := c.readHeader(ctx, names, request)
	if err != nil {
		c.Close()
		return &Result{outcome: Unknown, reason: "no whole answer from the server", err: errors.Join(err, ctx.Err())}
	}
	result := &Result{instance: response.Header.Get(names.InstanceID())}
	result.readServerStatus(names, response.Header)
	body, err := c.readBody(ctx, response)
	if err == nil {
		err = checkEnd(ctx, response, sent)
	}
	if err != nil {
		c.Close()
		result.outcome, result.reason, result.err = Unknown, "the answer broke off", errors.Join(err, ctx.Err())
		return result
	}
	result.reusable = c.prepareReuse(response, sent) && ctx.Err() == nil
	result.classify(names, request, response, body)
	if result.outcome != Unknown && response.StatusCode != http.StatusMisdirectedRequest {
		advisory := parseAdvisory(names, response.Header)
		result.advisory = &advisory
	}
	c.recordRequest(request.ID())
	if !result.reusable {
		c.Close()
	}
	return result
}

// classify derives the outcome from a complete response. The response to a
// health check, which has no ID, needs no signature.
func (r *Result) classify(names headernames.Set, request *upstream.Request, httpResponse *http.Response, body []byte) {
	switch {
	case httpResponse.StatusCode == http.StatusMisdirectedRequest:
		r.outcome, r.reason = NotRun, "another instance has the address"
	case httpResponse.Header.Get(names.NotRun()) != "":
		r.outcome, r.reason = NotRun, "the server refused with status "+strconv.Itoa(httpResponse.StatusCode)
	case request.ID() != "" && needsSignature(httpResponse.StatusCode) && httpResponse.Header.Get(names.Signature()) == "":
		r.outcome, r.reason, r.err = Unknown, "unsigned status "+strconv.Itoa(httpResponse.StatusCode), &UnsignedResponseError{status: httpResponse.StatusCode}
	default:
		r.outcome = Answered
		r.response = upstream.NewResponse(httpResponse.StatusCode, headers.RemoveHopByHop(httpResponse.Header), body)
	}
}

// needsSignature reports whether a status tells the caller that the request
// succeeded, or that it was not run. Only the server itself can state either.
func needsSignature(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return status < http.StatusMultipleChoices
}

// statesNotRun reports whether the server states that it did not run the request.
func statesNotRun(names headernames.Set, response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun()) != ""
}

// prepareReuse records the idle timeout announced by the server and reports
// whether the connection can be reused: the request is written in full, the
// response states its length, the server does not close the connection, and
// nothing unexpected is buffered.
func (c *Conn) prepareReuse(response *http.Response, sent <-chan error) bool {
	if limit, ok := parseKeepAlive(response.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = limit
	}
	select {
	case err := <-sent:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return !response.Close && response.ContentLength >= 0 && c.reader.Buffered() == 0
}

// send writes the request. A long body is not copied, and is written on a goroutine of its
// own. The channel receives the result of the write.
func (c *Conn) send(header, body []byte) <-chan error {
	sent := make(chan error, 1)
	if len(body) <= asyncWriteThreshold {
		_, err := c.raw.Write(append(header, body...))
		sent <- err
		return sent
	}
	go func() {
		text := net.Buffers{header, body}
		_, err := text.WriteTo(c.raw)
		sent <- err
	}()
	return sent
}

// readHeader reads the status line and header of the response to request. It
// skips informational responses and late duplicates of the responses to earlier
// requests on this connection. A response without an ID may belong to an earlier
// request too, so it is accepted only on a new connection, and only if it states
// that the request was not run.
func (c *Conn) readHeader(ctx context.Context, names headernames.Set, request *upstream.Request) (*http.Response, error) {
	method := &http.Request{Method: request.Method()}
	stale := 0
	for range maxInformational + maxStaleResponses {
		response, err := c.parseHeader(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(names.AttemptID())
		if id == request.ID() || id == "" && c.isNew() && statesNotRun(names, response) {
			return response, nil
		}
		if stale++; id == "" || !c.HasCarried(id) || stale > maxStaleResponses {
			return nil, &MismatchedResponseError{id: id}
		}
		if _, err := c.readBody(ctx, response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("no final answer among the first ones")
}

// parseHeader reads one status line and header.
func (c *Conn) parseHeader(method *http.Request) (*http.Response, error) {
	c.input.limitTo(maxResponseHeader)
	defer c.input.removeLimit()
	return c.reader.ReadResponse(method)
}

// readServerStatus reads the load report and the cold-start time from the
// header.
func (r *Result) readServerStatus(names headernames.Set, header http.Header) {
	if text := header.Get(names.Load()); text != "" {
		report, err := ParseLoadReport(text)
		r.report, r.hasReport = report, err == nil
	}
	if ms, err := strconv.ParseFloat(header.Get(names.ColdRemaining()), 64); err == nil && ms > 0 {
		r.coldRemaining = time.Duration(ms * float64(time.Millisecond))
	}
}

// encodeHeader returns the request line and header in HTTP/1.1 wire format. Fields that
// the node sets itself are not copied from the caller's header.
func encodeHeader(names headernames.Set, instance string, request *upstream.Request, timeout time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(request.Method())
	b.WriteByte(' ')
	b.WriteString(request.URI())
	b.WriteString(" HTTP/1.1\r\n")
	writeField(&b, "Host", request.Host())
	for name, values := range request.Header() {
		if name == names.Timeout() || name == names.ExpectedInstance() || name == names.OriginService() || name == names.AttemptID() {
			continue
		}
		for _, value := range values {
			writeField(&b, name, value)
		}
	}
	writeField(&b, names.AttemptID(), request.ID())
	if timeout > 0 {
		writeField(&b, names.Timeout(), strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	}
	writeField(&b, names.ExpectedInstance(), instance)
	writeField(&b, names.OriginService(), request.OriginService())
	if n := len(request.Body()); n > 0 || request.Method() != http.MethodGet && request.Method() != http.MethodHead {
		writeField(&b, "Content-Length", strconv.Itoa(n))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	if value == "" && name != "Host" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// parseKeepAlive returns the idle timeout in a Keep-Alive field.
func parseKeepAlive(text string) (time.Duration, bool) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
