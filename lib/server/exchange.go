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
	maxInformational = 8               // 1xx answers before the final one
	drainTimeout     = 5 * time.Second // for a request body after the answer
	letGoTimeout     = 30 * time.Second
)

// Exchange is one request sent to one server on one connection, exactly once.
// It exists from the first answer byte until Finish.
type Exchange struct {
	keeper   *Keeper
	slot     Slot
	conn     *Conn
	response *http.Response
	latency  time.Duration
	sent     chan error
	ctx      context.Context
	stop     func() bool
}

// Send writes request to the server on a connection of the slot and reads the
// head of the answer. It returns *outcome.NotRunError when no byte was written
// and *outcome.UnknownError otherwise; in both cases the slot is released. It
// never sends a request twice.
func (k *Keeper) Send(ctx context.Context, slot Slot, address string, request *http.Request) (*Exchange, error) {
	x := &Exchange{keeper: k, slot: slot, conn: slot.conn, ctx: ctx}
	if x.conn == nil {
		conn, err := Dial(ctx, address)
		if err != nil {
			report := k.Release(slot, nil, resultOfDial(ctx), 0)
			return nil, outcome.NewNotRun("connect").WithReport(report)
		}
		x.conn = conn
	}
	started := k.clock.Now()
	before := x.conn.written
	x.stop = context.AfterFunc(ctx, x.conn.hangUp)
	err := x.roundTrip(request)
	x.latency = k.clock.Now().Sub(started)
	if err == nil {
		return x, nil
	}
	x.stop()
	if x.sent == nil && x.conn.written == before {
		x.conn.Close()
		report := k.Release(slot, nil, resultOfError(ctx), x.latency)
		return nil, outcome.NewNotRun("write").WithReport(report)
	}
	x.letGo(ctx, resultOfError(ctx))
	return nil, outcome.NewUnknown("no answer from the server", errors.Join(err, ctx.Err()))
}

func resultOfDial(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.ResultIgnored
	}
	return admission.ResultFailure
}

func resultOfError(ctx context.Context) admission.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return admission.ResultIgnored
	}
	return admission.ResultFailure
}

// roundTrip writes the request and reads the head of the answer. A request
// with a body is written beside the reading, since a server may answer early.
func (x *Exchange) roundTrip(request *http.Request) error {
	if request.Body == nil || request.Body == http.NoBody {
		if err := x.write(request); err != nil {
			return err
		}
		return x.readHead(request)
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- x.write(request) }()
	err := x.readHead(request)
	if err == nil {
		return nil
	}
	_ = x.conn.raw.SetWriteDeadline(past)
	return errors.Join(err, <-x.sent)
}

func (x *Exchange) write(request *http.Request) error {
	if err := request.Write(x.conn.writer); err != nil {
		if request.Body != nil && request.Body != http.NoBody {
			// The server must not take a broken body for a whole one.
			x.conn.Close()
		}
		return err
	}
	return x.conn.writer.Flush()
}

func (x *Exchange) readHead(request *http.Request) error {
	for range maxInformational {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.response = response
			return nil
		}
	}
	return errors.New("too many informational answers")
}

// Response returns the head of the answer; its body streams from the server.
func (x *Exchange) Response() *http.Response { return x.response }

// Latency returns the time from the first byte written to the head of the
// answer.
func (x *Exchange) Latency() time.Duration { return x.latency }

// Report returns the report on the server when the slot was granted.
func (x *Exchange) Report() load.Report { return x.slot.report }

// Finish ends the exchange after the body was read, with the error that
// reading it gave. The connection is kept only when both directions ended
// cleanly. It returns the report on the server afterwards.
func (x *Exchange) Finish(bodyErr error) load.Report {
	live := x.stop()
	if !live {
		x.letGo(x.ctx, x.result(bodyErr))
		return x.slot.report
	}
	clean := bodyErr == nil && !x.response.Close && x.requestSent()
	conn := x.conn
	if clean {
		_, err := x.response.Body.Read(make([]byte, 1))
		clean = errors.Is(err, io.EOF)
	}
	if !clean {
		conn.Close()
		conn = nil
	}
	return x.keeper.Release(x.slot, conn, x.result(bodyErr), x.latency)
}

// letGo ends a request without a whole answer. Where the caller left, the slot
// is released only when the server has ended the request too; a server that
// does not notice keeps its slot taken for up to letGoTimeout.
func (x *Exchange) letGo(ctx context.Context, result admission.Result) {
	if ctx.Err() == nil {
		x.conn.Close()
		x.keeper.Release(x.slot, nil, result, x.latency)
		return
	}
	go func() {
		x.conn.awaitEnd(letGoTimeout)
		x.keeper.Release(x.slot, nil, result, x.latency)
	}()
}

func (x *Exchange) requestSent() bool {
	if x.sent == nil {
		return true
	}
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case err := <-x.sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (x *Exchange) result(bodyErr error) admission.Result {
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
