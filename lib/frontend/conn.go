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
	"savorygap.example/lib/upstream"
)

const (
	readBuffer = 4 << 10 // bytes
	// maxAhead bounds the requests of one connection that are under way.
	maxAhead = 32
	// writeTimeout bounds writing one answer to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the pause within a body.
	bodyTimeout = 10 * time.Second
	// lingerFor is how long what a refused caller still sends is read, so that
	// the refusal is not lost in a reset.
	lingerFor = 500 * time.Millisecond
	// lingerMost bounds what is read meanwhile, in bytes.
	lingerMost = 1 << 20
	// drainIdle is how long a connection without requests is kept once the node
	// is stopping: a request that the caller has just sent is still served.
	drainIdle = time.Second
)

// conn is one connection of a caller.
type conn struct {
	front   *Frontend
	raw     net.Conn
	reader  *bufio.Reader
	replies chan reply
}

// reply is an answer that is due; they are written in the order of requests.
type reply struct {
	answer  chan *upstream.Response
	id      string
	method  string
	last    bool
	interim bool
}

func newConn(f *Frontend, raw net.Conn) *conn {
	return &conn{front: f, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), replies: make(chan reply, maxAhead)}
}

// run serves the connection. The context of its requests ends when the caller
// closes the connection.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.raw.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(cancel)
	}()
	stop := make(chan struct{})
	defer close(stop)
	go c.endWhenDraining(stop)
	left := c.readRequests(ctx)
	close(c.replies)
	if left {
		cancel()
		return
	}
	go c.watch(cancel)
	<-written
}

// endWhenDraining ends the reading of an idle connection some time after the
// node began to stop.
func (c *conn) endWhenDraining(stop <-chan struct{}) {
	select {
	case <-stop:
		return
	case <-c.front.draining:
	}
	select {
	case <-stop:
	case <-c.front.clock.After(drainIdle):
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// readRequests reads requests until one is the last. left reports that the
// caller closed the connection.
func (c *conn) readRequests(ctx context.Context) (left bool) {
	for {
		last, err := c.readRequest(ctx)
		var bad *MalformedRequestError
		switch {
		case errors.As(err, &bad):
			c.refuse(bad)
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

// refuse answers a malformed request behind the answers that are due, then reads
// on for a moment.
func (c *conn) refuse(e *MalformedRequestError) {
	answer := make(chan *upstream.Response, 1)
	answer <- refusal(e)
	c.front.log.Write("request-malformed", "remote", c.raw.RemoteAddr().String(), "status", e.status, "reason", e.reason)
	c.replies <- reply{answer: answer, last: true}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerFor))
	if _, err := io.CopyN(io.Discard, c.reader, lingerMost); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.front.log.Write("linger-failed", "error", err.Error())
	}
}

// readRequest reads one request and starts it.
func (c *conn) readRequest(ctx context.Context) (last bool, err error) {
	limits := c.front.limits.Load()
	if err := c.awaitFirst(limits.IdleTimeout()); err != nil {
		return false, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout())); err != nil {
		return false, err
	}
	head, err := readHead(c.reader, limits.MaxHeaderBytes())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, &MalformedRequestError{status: http.StatusRequestTimeout, reason: "head took too long"}
	}
	if err != nil {
		return false, err
	}
	received := c.front.clock.Now()
	if err := ValidateHeader(head); err != nil {
		return false, err
	}
	request, err := parse(head)
	if err != nil {
		return false, err
	}
	body, err := c.readWholeBody(request, limits.MaxBodyBytes())
	if err != nil {
		return false, err
	}
	return c.start(ctx, request, body, received), nil
}

// awaitFirst waits for the first byte of a request.
func (c *conn) awaitFirst(idle time.Duration) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	if !c.front.isDraining() {
		if err := c.raw.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
	}
	_, err := c.reader.Peek(1)
	return err
}

func (c *conn) readWholeBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength == 0 && len(request.TransferEncoding) == 0 {
		return nil, nil
	}
	if c.front.held.Load() > c.front.bodyRoom {
		return nil, &MalformedRequestError{status: http.StatusServiceUnavailable, reason: "too many bodies at once"}
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		c.replies <- reply{interim: true}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := readBody(c.reader, request, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &MalformedRequestError{status: http.StatusRequestTimeout, reason: "body took too long"}
	}
	return body, err
}

// start passes the request on. It reports whether it is the last of the
// connection.
func (c *conn) start(ctx context.Context, request *http.Request, body []byte, received time.Time) bool {
	names := c.front.config.names
	id := request.Header.Get(names.AttemptID())
	last := request.Close || c.front.isDraining()
	call := dispatch.NewCall(
		upstream.NewRequest(id, request.Method, request.RequestURI, request.Host, headers.RemoveHopByHop(request.Header), body).WithOriginService(c.front.config.origin),
		request.URL.EscapedPath(), received, timeLeft(request.Header.Get(names.Timeout())),
	).WithNested(c.front.config.nested(id))
	answer := make(chan *upstream.Response, 1)
	size := int64(len(body))
	c.front.held.Add(size)
	go func() {
		defer c.front.held.Add(-size)
		answer <- c.front.serve(ctx, call)
	}()
	c.replies <- reply{answer: answer, id: id, method: request.Method, last: last}
	return last
}

func timeLeft(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// watch waits for the caller to close a connection of which no request is read
// any more.
func (c *conn) watch(cancel context.CancelFunc) {
	for {
		if c.raw.SetReadDeadline(time.Time{}) != nil {
			return
		}
		_, err := io.Copy(io.Discard, c.raw)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The node began to stop; the requests under way go on.
			continue
		case errors.Is(err, net.ErrClosed):
			return
		}
		cancel()
		return
	}
}

// write writes answers in the order of the requests.
func (c *conn) write(cancel context.CancelFunc) {
	defer cancel()
	for r := range c.replies {
		text, ok := c.textOf(r)
		if !ok {
			_ = c.raw.Close()
			c.abandon()
			return
		}
		err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = c.raw.Write(text)
		}
		if err != nil || r.last {
			c.abandon()
			if err != nil {
				c.front.log.Write("answer-undelivered", "request", r.id, "error", err.Error())
				_ = c.raw.Close()
			}
			return
		}
	}
}

func (c *conn) textOf(r reply) ([]byte, bool) {
	if r.interim {
		return []byte("HTTP/1.1 100 Continue\r\n\r\n"), true
	}
	a := <-r.answer
	if a == nil {
		return nil, false
	}
	return c.front.encodeAnswer(a, r.id, r.method, r.last), true
}

// abandon ends the sending direction and drops the replies that are left.
func (c *conn) abandon() {
	if half, ok := c.raw.(*net.TCPConn); ok {
		if err := half.CloseWrite(); err != nil && !isClosed(err) && !errors.Is(err, errNotConnected) {
			c.front.log.Write("close-failed", "error", fmt.Sprint(err))
		}
	}
	go func() {
		for range c.replies {
			continue
		}
	}()
}
