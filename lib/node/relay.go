package node

import (
	"context"
	"errors"
	"io"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

// Run makes one attempt on this host.
type Run func(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error)

// Relay returns a handler that runs calls and streams their answers back.
func Relay(run Run) Handler {
	return func(ctx context.Context, i *Incoming) {
		var body io.Reader
		if i.call.Length() != 0 {
			body = i.body
		}
		call := i.call.WithOnAdmitted(i.Continue).WithTrailers(i.call.TrailerNames(), i.Trailer)
		answer, err := run(ctx, call, body)
		if err != nil {
			relayError(i, err)
			return
		}
		err = relayAnswer(i, answer)
		report := answer.Finish(err)
		if err != nil {
			_ = i.Fail("answer was cut: " + err.Error())
			return
		}
		_ = i.End(answer.Trailer(), report)
	}
}

func relayError(i *Incoming, err error) {
	if notRun, ok := outcome.AsNotRun(err); ok {
		_ = i.Refuse(notRun)
		return
	}
	_ = i.Fail(err.Error())
}

// relayAnswer streams the body. While it comes in small parts of unknown
// length, each part is sent at once.
func relayAnswer(i *Incoming, a *attempt.Response) error {
	if err := i.Answer(NewHead(a.Status(), a.Header(), a.Length(), a.Report())); err != nil {
		return err
	}
	buffer := a.CopyBuffer()
	for {
		n, err := a.Body().Read(buffer)
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
		if a.Length() < 0 {
			if err := i.Flush(); err != nil {
				return err
			}
		}
	}
}

// Run makes one attempt at a peer.
func (c *Client) Run(ctx context.Context, p Peer, call attempt.Call, body io.Reader) (*attempt.Response, error) {
	reply, err := c.Send(ctx, p, call, body)
	if err != nil {
		return nil, err
	}
	head := reply.Head()
	finish := func(error) load.Report {
		reply.Close()
		return reply.Report()
	}
	return attempt.NewResponse(head.Status(), head.Header(), head.Length(), reply, reply.Trailer, reply.Report, finish), nil
}
