package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/headers"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	readBufferSize = 4 << 10 // bytes
	// maxPipelined bounds the pipelined requests in flight on one connection.
	maxPipelined = 32
	// writeTimeout bounds writing one response to a slow caller.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds reading one request body.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is how long input is read and discarded after a request is
	// rejected. Closing a connection with unread input would reset it, and the
	// caller could lose the error response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds the input discarded in that time, in bytes.
	maxLingerBytes = 1 << 20
	// drainIdleTimeout is how long an idle connection stays open after draining
	// starts, so that a request already on its way is still served.
	drainIdleTimeout = time.Second
)

// conn is a connection from a caller. inputEnded is closed when no further request
// is read from it.
type conn struct {
	frontend   *Frontend
	raw        net.Conn
	reader     *bufio.Reader
	responses  chan pendingResponse
	inputEnded chan struct{}
}

// pendingResponse is a response that is still to be written. Responses are
// written in the order of their requests. An interim one is 100 Continue; the
// connection closes after the last.
type pendingResponse struct {
	response chan *upstream.Response
	id       string
	method   string
	last     bool
	interim  bool
}

func newConn(f *Frontend, raw net.Conn) *conn {
	return &conn{frontend: f, raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), responses: make(chan pendingResponse, maxPipelined), inputEnded: make(chan struct{})}
}

// run serves the connection. The context of its requests is cancelled when the
// caller closes the connection.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.raw.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer task.Catch(c.logPanic)
		c.writeResponses(cancel)
	}()
	stop := make(chan struct{})
	defer close(stop)
	go c.closeIdleOnDrain(stop)
	disconnected := c.readRequests(ctx)
	close(c.inputEnded)
	close(c.responses)
	if disconnected {
		cancel()
		return
	}
	go c.watchForClose(cancel)
	<-written
}

func (c *conn) logPanic(e *task.PanicError) {
	_ = c.raw.Close()
	c.frontend.log.WritePanic("caller-connection", e)
}

// closeIdleOnDrain ends the wait for further requests drainIdleTimeout after
// draining starts.
func (c *conn) closeIdleOnDrain(stop <-chan struct{}) {
	select {
	case <-stop:
		return
	case <-c.frontend.draining:
	}
	select {
	case <-stop:
	case <-c.frontend.clock.After(drainIdleTimeout):
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// readRequests reads requests until the last one of the connection.
// disconnected reports whether the caller closed the connection.
func (c *conn) readRequests(ctx context.Context) (disconnected bool) {
	for {
		last, err := c.readRequest(ctx)
		var malformed *MalformedRequestError
		switch {
		case errors.As(err, &malformed):
			c.reject(malformed)
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case err != nil:
			return true
		case last:
			return false
		}
	}
}

// reject queues an error response after the pending responses, then discards
// further input for lingerTimeout.
func (c *conn) reject(e *MalformedRequestError) {
	response := make(chan *upstream.Response, 1)
	response <- errorResponse(e)
	c.frontend.log.Write("request-malformed", "remote", c.raw.RemoteAddr().String(), "status", e.status, "reason", e.reason)
	c.responses <- pendingResponse{response: response, last: true}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.CopyN(io.Discard, c.reader, maxLingerBytes); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.frontend.log.Write("linger-failed", "error", err.Error())
	}
}

// readRequest reads one request and starts serving it. last reports whether it
// is the last one of the connection.
func (c *conn) readRequest(ctx context.Context) (last bool, err error) {
	defer task.Catch(func(e *task.PanicError) {
		last, err = true, &MalformedRequestError{status: http.StatusServiceUnavailable, reason: e.Error()}
		c.frontend.log.WritePanic("caller-connection", e)
	})
	limits := c.frontend.limits.Load()
	if err := c.awaitRequest(limits.IdleTimeout()); err != nil {
		return false, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout())); err != nil {
		return false, err
	}
	header, err := readHeader(c.reader, limits.MaxHeaderBytes())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, &MalformedRequestError{status: http.StatusRequestTimeout, reason: "head took too long"}
	}
	if err != nil {
		return false, err
	}
	received := c.frontend.clock.Now()
	if err := ValidateHeader(header); err != nil {
		return false, err
	}
	request, err := parseHeader(header)
	if err != nil {
		return false, err
	}
	body, err := c.readRequestBody(request, limits.MaxBodyBytes())
	if err != nil {
		return false, err
	}
	return c.startRequest(ctx, request, body, received), nil
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	if !c.frontend.isDraining() {
		if err := c.raw.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
	}
	_, err := c.reader.Peek(1)
	return err
}

func (c *conn) readRequestBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength == 0 && len(request.TransferEncoding) == 0 {
		return nil, nil
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		c.responses <- pendingResponse{interim: true}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := readBody(c.reader, request, limit, c.frontend.memory)
	var full *upstream.BodyMemoryError
	if errors.As(err, &full) {
		return nil, &MalformedRequestError{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &MalformedRequestError{status: http.StatusRequestTimeout, reason: "body took too long"}
	}
	return body, err
}

// startRequest passes the request to the handler on a new goroutine and queues
// its response. It reports whether the request is the last one of the
// connection.
func (c *conn) startRequest(ctx context.Context, request *http.Request, body []byte, received time.Time) bool {
	names := c.frontend.config.names
	id := request.Header.Get(names.AttemptID())
	last := request.Close || c.frontend.isDraining()
	apiKey := c.frontend.config.apiKey(request.Header)
	call := dispatch.NewCall(
		upstream.NewRequest(id, request.Method, request.RequestURI, request.Host, headers.RemoveHopByHop(request.Header), body).WithOriginService(c.frontend.config.originService),
		request.URL.EscapedPath(), received, parseTimeout(request.Header.Get(names.Timeout())),
	).WithNested(c.frontend.config.nested(id)).WithAPIKey(apiKey)
	response := make(chan *upstream.Response, 1)
	go func() {
		defer task.Catch(func(e *task.PanicError) {
			response <- upstream.NewResponse(http.StatusBadGateway, http.Header{}, []byte(e.Error()+"\n"))
			c.frontend.log.WritePanic("request", e)
		})
		response <- c.frontend.serve(ctx, call)
	}()
	c.responses <- pendingResponse{response: response, id: id, method: request.Method, last: last}
	return last
}

func parseTimeout(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// watchForClose cancels the requests in flight when the caller closes the
// connection. It starts after the last request was read.
func (c *conn) watchForClose(cancel context.CancelFunc) {
	for {
		if c.raw.SetReadDeadline(time.Time{}) != nil {
			return
		}
		_, err := io.Copy(io.Discard, c.raw)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The deadline was set by closeIdleOnDrain; requests in flight continue.
			continue
		case errors.Is(err, net.ErrClosed):
			return
		}
		cancel()
		return
	}
}

// writeResponses writes responses in the order of their requests.
func (c *conn) writeResponses(cancel context.CancelFunc) {
	defer cancel()
	for r := range c.responses {
		text, last, ok := c.awaitResponse(r)
		if !ok {
			_ = c.raw.Close()
			c.closeWrite()
			return
		}
		err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = text.WriteTo(c.raw)
		}
		if err != nil || last {
			c.closeWrite()
			if err != nil {
				c.frontend.log.Write("answer-undelivered", "request", r.id, "error", err.Error())
				_ = c.raw.Close()
			}
			return
		}
	}
}

// awaitResponse waits for a response and returns it in HTTP/1.1 wire format, and
// whether it is the last one of the connection, which it then states. It returns
// false if the request was cancelled and has no response.
func (c *conn) awaitResponse(r pendingResponse) (text net.Buffers, last, ok bool) {
	if r.interim {
		return net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")}, false, true
	}
	final := <-r.response
	if final == nil {
		return nil, false, false
	}
	last = r.last || c.noFurtherResponse()
	return c.frontend.encodeResponse(final, r.id, r.method, last), last, true
}

// noFurtherResponse reports whether no request is read any more and no other
// response is due.
func (c *conn) noFurtherResponse() bool {
	select {
	case <-c.inputEnded:
		return len(c.responses) == 0
	default:
		return false
	}
}

// closeWrite shuts down the sending side of the connection and discards the
// remaining responses.
func (c *conn) closeWrite() {
	if tcpConn, ok := c.raw.(*net.TCPConn); ok {
		if err := tcpConn.CloseWrite(); err != nil && !isClosed(err) && !errors.Is(err, errNotConnected) {
			c.frontend.log.Write("close-failed", "error", fmt.Sprint(err))
		}
	}
	go func() {
		for range c.responses {
			continue
		}
	}()
}
