package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

const (
	maxInformationalResponses = 8 // 1xx responses before the final one
	// bodySendTimeout bounds the sending of a request body after the whole
	// response has arrived.
	bodySendTimeout = 5 * time.Second
	// abandonTimeout bounds how long a cancelled request holds its slot.
	abandonTimeout = 30 * time.Second
)

// Exchange is a request that was sent to a server, and its response. Send
// returns it when the response head has arrived; Finish ends it.
type Exchange struct {
	proxy         *Proxy
	slot          Slot
	conn          *Conn
	response      *http.Response
	latency       time.Duration
	writeDone     chan error
	ctx           context.Context
	stopHalfClose func() bool
}

// Send writes the request to the server, on the slot's connection or on a new
// one, and reads the response head. It returns *outcome.NotRunError if no byte
// was written, or *outcome.UnknownError if the request may have run. In both
// cases Send releases the slot. It never sends a request twice.
func (p *Proxy) Send(ctx context.Context, slot Slot, address string, request *http.Request) (*Exchange, error) {
	x := &Exchange{proxy: p, slot: slot, conn: slot.conn, ctx: ctx}
	if x.conn == nil {
		conn, err := Dial(ctx, address)
		if err != nil {
			report := p.Release(slot, nil, resultOfDialError(ctx), 0)
			return nil, outcome.NewNotRun("connect").WithReport(report)
		}
		x.conn = conn
	}
	started := p.clock.Now()
	writtenBefore := x.conn.written
	x.stopHalfClose = context.AfterFunc(ctx, x.conn.halfClose)
	err := x.roundTrip(request)
	x.latency = p.clock.Now().Sub(started)
	if err == nil {
		return x, nil
	}
	x.stopHalfClose()
	if x.writeDone == nil && x.conn.written == writtenBefore {
		x.conn.Close()
		report := p.Release(slot, nil, resultOfSendError(ctx), x.latency)
		return nil, outcome.NewNotRun("write").WithReport(report)
	}
	x.abandon(ctx, resultOfSendError(ctx))
	return nil, outcome.NewUnknown("no answer from the server", errors.Join(err, ctx.Err()))
}

func resultOfDialError(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.ResultIgnored
	}
	return admission.ResultFailure
}

func resultOfSendError(ctx context.Context) admission.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return admission.ResultIgnored
	}
	return admission.ResultFailure
}

// roundTrip writes the request and reads the response head. It writes a request
// body concurrently with reading, because the server may respond before the
// body is complete.
func (x *Exchange) roundTrip(request *http.Request) error {
	if request.Body == nil || request.Body == http.NoBody {
		if err := x.write(request); err != nil {
			return err
		}
		return x.readHead(request)
	}
	x.writeDone = make(chan error, 1)
	go func() { x.writeDone <- x.write(request) }()
	err := x.readHead(request)
	if err == nil {
		return nil
	}
	_ = x.conn.netConn.SetWriteDeadline(pastDeadline)
	return errors.Join(err, <-x.writeDone)
}

func (x *Exchange) write(request *http.Request) error {
	if err := request.Write(x.conn.writer); err != nil {
		if request.Body != nil && request.Body != http.NoBody {
			// The server must not mistake a truncated body for a complete one.
			x.conn.Close()
		}
		return err
	}
	return x.conn.writer.Flush()
}

func (x *Exchange) readHead(request *http.Request) error {
	for range maxInformationalResponses {
		response, err := x.conn.reader.ReadResponse(request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.response = x.withCheckedEnd(response)
			return nil
		}
	}
	return errors.New("too many informational answers")
}

// Response returns the response. Its body is streamed from the server.
func (x *Exchange) Response() *http.Response { return x.response }

// Latency returns the time from the start of the write to the arrival of the
// response head.
func (x *Exchange) Latency() time.Duration { return x.latency }

// Report returns the load report of the server from the grant of the slot.
func (x *Exchange) Report() load.Report { return x.slot.report }

// Finish ends the exchange and releases the slot. bodyErr is the error from
// reading the response body, or nil. The connection is reused only if the
// request was sent and the response read completely. Finish returns the load
// report after the release, or the one from the grant if the request was
// cancelled.
func (x *Exchange) Finish(bodyErr error) load.Report {
	active := x.stopHalfClose() // false if ctx has ended
	if !active {
		x.abandon(x.ctx, x.resultOf(bodyErr))
		return x.slot.report
	}
	reusable := bodyErr == nil && !x.response.Close && x.awaitRequestWritten()
	conn := x.conn
	if reusable {
		_, err := x.response.Body.Read(make([]byte, 1))
		reusable = errors.Is(err, io.EOF)
	}
	if !reusable {
		conn.Close()
		conn = nil
	}
	return x.proxy.Release(x.slot, conn, x.resultOf(bodyErr), x.latency)
}

// abandon ends a request without a complete response. If ctx has ended, because
// the caller disconnected or the deadline passed, the slot is released only
// after the server has ended the request too. A server that does not notice the
// cancellation holds the slot for up to abandonTimeout.
func (x *Exchange) abandon(ctx context.Context, result admission.Result) {
	if ctx.Err() == nil {
		x.conn.Close()
		x.proxy.Release(x.slot, nil, result, x.latency)
		return
	}
	go func() {
		x.conn.awaitPeerClose(abandonTimeout)
		x.proxy.Release(x.slot, nil, result, x.latency)
	}()
}

func (x *Exchange) awaitRequestWritten() bool {
	if x.writeDone == nil {
		return true
	}
	timer := time.NewTimer(bodySendTimeout)
	defer timer.Stop()
	select {
	case err := <-x.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (x *Exchange) resultOf(bodyErr error) admission.Result {
	switch {
	case x.response.StatusCode == http.StatusTooManyRequests, x.response.StatusCode == http.StatusServiceUnavailable:
		return admission.ResultOverload
	case x.response.StatusCode >= http.StatusInternalServerError:
		return admission.ResultFailure
	case bodyErr != nil:
		return admission.ResultIgnored
	}
	return admission.ResultSuccess
}
