package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorygap.example/lib/headernames"
	"savorygap.example/lib/headers"
	"savorygap.example/lib/upstream"
)

const (
	// maxAnswer bounds an answer's body, in bytes; a node holds answers whole.
	maxAnswer        = 16 << 20
	maxInformational = 8 // answers of 1xx before the final one
	maxStrays        = 4 // answers to earlier requests before the final one
	// writeAside is the body size from which the request is written beside the
	// reading, since a server may answer before it has read the body.
	writeAside = 8 << 10
)

// Outcome says how an exchange ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server's whole answer arrived.
	Answered Outcome = iota
	// NotRun means that the request was certainly not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Result is how one exchange ended.
type Result struct {
	outcome  Outcome
	answer   *upstream.Response
	reason   string
	err      error
	load     LoadReport
	loaded   bool
	coldLeft time.Duration
	instance string
	reusable bool
	dialled  bool
}

// NewDialFailure returns the result of a request whose connection failed before
// anything was written.
func NewDialFailure(err error) *Result {
	return &Result{outcome: NotRun, reason: "the server takes no connection", err: err, dialled: true}
}

// DialFailed reports whether the server took no connection.
func (r *Result) DialFailed() bool { return r.dialled }

// Outcome returns how the exchange ended.
func (r *Result) Outcome() Outcome { return r.outcome }

// Response returns the answer of an exchange that was answered.
func (r *Result) Response() *upstream.Response { return r.answer }

// Reason returns why there is no answer, in a few words.
func (r *Result) Reason() string { return r.reason }

// Err returns the error behind the reason, if there is one.
func (r *Result) Err() error { return r.err }

// LoadReport returns what the server told of its load, if it did.
func (r *Result) LoadReport() (LoadReport, bool) { return r.load, r.loaded }

// ColdRemaining returns for how long the server says it stays cold.
func (r *Result) ColdRemaining() time.Duration { return r.coldLeft }

// Instance returns the id that the server gave, if any.
func (r *Result) Instance() string { return r.instance }

// Reusable reports whether the connection can carry another exchange.
func (r *Result) Reusable() bool { return r.reusable }

// MismatchedResponseError reports an answer that belongs to no request of this
// connection.
type MismatchedResponseError struct {
	id string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("answer carries id %q, which is not that of the request", e.id)
}

// UnsignedResponseError reports a success without the server's signature.
type UnsignedResponseError struct {
	status int
}

// Error implements error.
func (e *UnsignedResponseError) Error() string {
	return fmt.Sprintf("answer of status %d carries no signature", e.status)
}

// Exchange sends the request once and reads its answer. The connection is
// closed unless the result says that it is reusable. When ctx ends the
// connection is closed, by which the server learns that nobody waits.
func (c *Conn) Exchange(ctx context.Context, names headernames.Set, instance string, request *upstream.Request, timeLeft time.Duration) *Result {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	sent := c.send(encode(names, instance, request, timeLeft), len(request.Body()) > writeAside)
	response, err := c.readHead(names, request)
	if err != nil {
		c.Close()
		return &Result{outcome: Unknown, reason: "no whole answer from the server", err: errors.Join(err, ctx.Err())}
	}
	result := &Result{instance: response.Header.Get(names.InstanceID())}
	result.readLoad(names, response.Header)
	body, err := readBody(response)
	if err != nil {
		c.Close()
		result.outcome, result.reason, result.err = Unknown, "the answer broke off", errors.Join(err, ctx.Err())
		return result
	}
	result.reusable = c.settle(response, sent) && ctx.Err() == nil
	result.judge(names, request, response, body)
	c.last = request.ID()
	c.usedAt = time.Now()
	if !result.reusable {
		c.Close()
	}
	return result
}

// judge decides what a whole answer means.
func (r *Result) judge(names headernames.Set, request *upstream.Request, response *http.Response, body []byte) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		r.outcome, r.reason = NotRun, "another instance has the address"
	case response.Header.Get(names.NotRun()) != "":
		r.outcome, r.reason = NotRun, "the server refused with status "+strconv.Itoa(response.StatusCode)
	case request.ID() != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(names.Signature()) == "":
		r.outcome, r.reason, r.err = Unknown, "unsigned success", &UnsignedResponseError{status: response.StatusCode}
	default:
		r.outcome = Answered
		r.answer = upstream.NewResponse(response.StatusCode, headers.RemoveHopByHop(response.Header), body)
	}
}

// settle reports whether the connection is clean after an answer, and notes for
// how long the server keeps it.
func (c *Conn) settle(response *http.Response, sent <-chan error) bool {
	if limit, ok := keepAlive(response.Header.Get("Keep-Alive")); ok {
		c.idle = limit
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

// send writes the request. The channel holds the result once it is written.
func (c *Conn) send(text []byte, aside bool) <-chan error {
	sent := make(chan error, 1)
	write := func() {
		_, err := c.raw.Write(text)
		sent <- err
	}
	if aside {
		go write()
	} else {
		write()
	}
	return sent
}

// readHead reads the head of the answer to request. An answer to the request
// before it on this connection is discarded.
func (c *Conn) readHead(names headernames.Set, request *upstream.Request) (*http.Response, error) {
	method := &http.Request{Method: request.Method()}
	strays := 0
	for range maxInformational + maxStrays {
		response, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(names.AttemptID())
		if id == request.ID() || id == "" && response.StatusCode >= http.StatusMultipleChoices {
			return response, nil
		}
		if strays++; id == "" || id != c.last || strays > maxStrays {
			return nil, &MismatchedResponseError{id: id}
		}
		if _, err := readBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("no final answer among the first ones")
}

func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength == 0 || response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength > maxAnswer {
		return nil, fmt.Errorf("answer of %d bytes is longer than %d", response.ContentLength, maxAnswer)
	}
	if response.ContentLength > 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("answer is longer than %d bytes", maxAnswer)
	}
	return body, err
}

func (r *Result) readLoad(names headernames.Set, header http.Header) {
	if text := header.Get(names.Load()); text != "" {
		load, err := ParseLoadReport(text)
		r.load, r.loaded = load, err == nil
	}
	if ms, err := strconv.ParseFloat(header.Get(names.ColdRemaining()), 64); err == nil && ms > 0 {
		r.coldLeft = time.Duration(ms * float64(time.Millisecond))
	}
}

// encode writes the request as it goes to the server.
func encode(names headernames.Set, instance string, request *upstream.Request, timeLeft time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(request.Body()))
	b.WriteString(request.Method())
	b.WriteByte(' ')
	b.WriteString(request.URI())
	b.WriteString(" HTTP/1.1\r\n")
	field(&b, "Host", request.Host())
	for name, values := range request.Header() {
		if name == names.Timeout() || name == names.ExpectedInstance() || name == names.OriginService() || name == names.AttemptID() {
			continue
		}
		for _, value := range values {
			field(&b, name, value)
		}
	}
	field(&b, names.AttemptID(), request.ID())
	if timeLeft > 0 {
		field(&b, names.Timeout(), strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	}
	field(&b, names.ExpectedInstance(), instance)
	field(&b, names.OriginService(), request.OriginService())
	if n := len(request.Body()); n > 0 || request.Method() != http.MethodGet && request.Method() != http.MethodHead {
		field(&b, "Content-Length", strconv.Itoa(n))
	}
	b.WriteString("\r\n")
	b.Write(request.Body())
	return b.Bytes()
}

func field(b *bytes.Buffer, name, value string) {
	if value == "" && name != "Host" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// keepAlive reads the idle timeout from a Keep-Alive field.
func keepAlive(text string) (time.Duration, bool) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
