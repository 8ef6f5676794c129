package node

import (
	"context"
	"errors"
	"io"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

// AttemptFunc makes one attempt at a server of this host.
type AttemptFunc func(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error)

// NewHandler returns a handler that runs calls and streams their responses back.
func NewHandler(run AttemptFunc) Handler {
	return func(ctx context.Context, i *IncomingCall) {
		var body io.Reader
		if i.call.Length() != 0 {
			body = i.body
		}
		call := i.call.WithOnAdmitted(i.SendContinue).WithTrailers(i.call.TrailerNames(), i.Trailer)
		response, err := run(ctx, call, body)
		if err != nil {
			relayError(i, err)
			return
		}
		err = relayResponse(i, response)
		report := response.Finish(err)
		if err != nil {
			_ = i.SendFailure("answer was cut: " + err.Error())
			return
		}
		_ = i.SendEnd(response.Trailer(), report)
	}
}

// relayError sends a refusal if the call was certainly not run, and a failure
// otherwise.
func relayError(i *IncomingCall, err error) {
	if notRun, ok := outcome.AsNotRun(err); ok {
		_ = i.SendRefusal(notRun)
		return
	}
	_ = i.SendFailure(err.Error())
}

// relayResponse sends the head and streams the body. A body of unknown length is
// flushed after each read, so that parts are not held back.
func relayResponse(i *IncomingCall, r *attempt.Response) error {
	if err := i.SendHead(NewHead(r.Status(), r.Header(), r.Length(), r.Report())); err != nil {
		return err
	}
	buffer := r.CopyBuffer()
	for {
		n, err := r.Body().Read(buffer)
		if n > 0 {
			if _, err := i.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.Length() < 0 {
			if err := i.Flush(); err != nil {
				return err
			}
		}
	}
}

// Attempt makes one attempt at a server of a peer.
func (c *Client) Attempt(ctx context.Context, p Peer, call attempt.Call, body io.Reader) (*attempt.Response, error) {
	response, err := c.Send(ctx, p, call, body)
	if err != nil {
		return nil, err
	}
	head := response.Head()
	finish := func(error) load.Report {
		response.Close()
		return response.Report()
	}
	return attempt.NewResponse(head.Status(), head.Header(), head.Length(), response, response.Trailer, response.Report, finish), nil
}
