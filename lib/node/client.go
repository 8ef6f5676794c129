package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

const (
	// cancelGrace is how long a stream stays open after a cancel frame was sent.
	cancelGrace = 200 * time.Millisecond
)

// ReasonConnect is the reason of the error for a call to a node that could not
// be reached.
const ReasonConnect = "connect to node"

// Peer is the name and the call address of a node. The name is that in its
// certificate.
type Peer struct {
	name    string
	address string
}

// NewPeer returns the named peer, which accepts calls at host:port.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the host name of the peer.
func (p Peer) Name() string { return p.name }

// Address returns host:port where the peer accepts calls.
func (p Peer) Address() string { return p.address }

// Client sends calls to peers over the streams of a transport.
type Client struct {
	open    func(ctx context.Context, p Peer) (*Stream, error)
	release func(p Peer, s *Stream)
}

// NewClient returns a client. open returns a stream to a peer; release takes
// back one whose call is complete.
func NewClient(open func(context.Context, Peer) (*Stream, error), release func(Peer, *Stream)) *Client {
	return &Client{open: open, release: release}
}

// Response is the response to one call. The caller reads its body to the end and
// then calls Close.
type Response struct {
	client     *Client
	peer       Peer
	stream     *Stream
	head       Head
	end        End
	complete   bool
	received   bodyDigest
	unread     []byte
	bodyErr    error
	stopCancel func() bool
	state      *sendState

	startBody func()
}

// sendState is shared by the goroutine that sends the request body, the one that
// cancels the call, and the caller.
type sendState struct {
	bodySent  atomic.Bool
	cancelled atomic.Bool
}

// Send makes one call and returns once the head of the response arrived. It
// returns *outcome.NotRunError if the call certainly did not reach a server,
// and *outcome.UnknownError for any other failure. Cancelling ctx cancels the
// call at the peer.
func (c *Client) Send(ctx context.Context, p Peer, call attempt.Call, body io.Reader) (*Response, error) {
	stream, err := c.open(ctx, p)
	if err != nil {
		return nil, outcome.NewNotRun(ReasonConnect)
	}
	r := &Response{client: c, peer: p, stream: stream, received: newBodyDigest(), state: &sendState{}}
	r.stopCancel = context.AfterFunc(ctx, r.cancel)
	if err := r.send(call, body); err != nil {
		r.abort()
		return nil, outcome.NewUnknown("send to node "+p.name, errors.Join(err, ctx.Err()))
	}
	if err := r.readHead(); err != nil {
		return nil, r.handleHeadError(ctx, err)
	}
	return r, nil
}

// handleHeadError ends a call that got no head. A refusal or failure from the
// peer leaves the stream intact; any other error closes it.
func (r *Response) handleHeadError(ctx context.Context, err error) error {
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	if errors.As(err, &notRun) || errors.As(err, &unknown) {
		r.finish()
		return err
	}
	r.abort()
	return outcome.NewUnknown("answer from node "+r.peer.name, errors.Join(err, ctx.Err()))
}

// cancel runs when the caller's context ends. If the request was sent
// completely, a cancel frame asks the peer to stop, and the stream is closed
// after cancelGrace. Otherwise the stream is closed at once, which the peer
// treats as a cancellation.
func (r *Response) cancel() {
	r.state.cancelled.Store(true)
	if !r.state.bodySent.Load() || r.stream.sendAndFlush(frameCancel, nil) != nil {
		r.stream.Close()
		return
	}
	time.AfterFunc(cancelGrace, r.stream.Close)
}

// send sends the call and starts sending its body. With ExpectContinue, the body
// is sent only after the peer asks for it.
func (r *Response) send(call attempt.Call, body io.Reader) error {
	if err := r.stream.send(frameCall, EncodeCall(call)); err != nil {
		return err
	}
	if call.Length() == 0 || body == nil {
		return r.sendEnd(newBodyDigest(), nil)
	}
	if err := r.stream.writer.Flush(); err != nil {
		return err
	}
	r.startBody = func() { go func() { _ = r.sendBody(call, body) }() }
	if !call.ExpectContinue() {
		r.startBodyOnce()
	}
	return nil
}

// startBodyOnce starts sending the body, unless it has been started already.
func (r *Response) startBodyOnce() {
	if r.startBody != nil {
		r.startBody()
		r.startBody = nil
	}
}

// sendEnd ends the request body.
func (r *Response) sendEnd(sent bodyDigest, trailer http.Header) error {
	end := NewEnd(sent.length, sent.hash.Sum64(), trailer, load.Report{})
	if err := r.stream.sendAndFlush(frameEnd, EncodeEnd(end)); err != nil {
		return err
	}
	r.state.bodySent.Store(true)
	return nil
}

// sendBody copies the request body into frames. If the body is truncated, it
// closes the stream, so that the peer does not treat the body as complete.
func (r *Response) sendBody(call attempt.Call, body io.Reader) error {
	sent := newBodyDigest()
	buffer := make([]byte, maxBodyFrame)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			sent.add(buffer[:n])
			if err := r.stream.sendAndFlush(frameBody, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.stream.Close()
			return outcome.NewTruncated(sent.length, err)
		}
	}
	if call.Length() > 0 && sent.length != uint64(call.Length()) {
		r.stream.Close()
		return outcome.NewTruncated(sent.length, io.ErrUnexpectedEOF)
	}
	return r.sendEnd(sent, call.Trailer())
}

// readHead reads frames up to the head of the response.
func (r *Response) readHead() error {
	for {
		t, payload, err := r.stream.nextFrame()
		if err != nil {
			return err
		}
		switch t {
		case frameHead:
			r.head, err = DecodeHead(payload)
			return err
		case frameRefusal:
			return refusalError(payload)
		case frameFailure:
			f, err := DecodeFailure(payload)
			if err != nil {
				return err
			}
			return outcome.NewUnknown(f.reason, nil)
		case frameContinue:
			r.startBodyOnce()
		case frameGoAway:
			r.stream.reusable = false
		}
	}
}

// refusalError returns the error for a refusal frame.
func refusalError(payload []byte) error {
	refusal, err := DecodeRefusal(payload)
	if err != nil {
		return err
	}
	notRun := outcome.NewNotRun(refusal.reason)
	if refusal.permanent {
		notRun = notRun.Permanent()
	}
	if refusal.reported {
		notRun = notRun.WithReport(refusal.report)
	}
	return notRun
}

// Head returns the head of the response.
func (r *Response) Head() Head { return r.head }

// Read implements io.Reader for the body of the response. It returns io.EOF only
// if the whole body arrived with the right length and digest, and
// *outcome.TruncatedError otherwise.
func (r *Response) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.complete {
			return 0, io.EOF
		}
		if r.bodyErr != nil {
			return 0, r.bodyErr
		}
		if err := r.readBodyFrame(); err != nil {
			r.bodyErr = outcome.NewTruncated(r.received.length, err)
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// readBodyFrame reads the next frame of the response body.
func (r *Response) readBodyFrame() error {
	t, payload, err := r.stream.nextFrame()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch t {
	case frameBody:
		r.received.add(payload)
		r.unread = payload
	case frameEnd:
		return r.handleEnd(payload)
	case frameFailure:
		f, _ := DecodeFailure(payload)
		return fmt.Errorf("node %q reports: %s", r.peer.name, f.reason)
	case frameGoAway:
		r.stream.reusable = false
	}
	return nil
}

// handleEnd checks the body received against the length and digest of the end
// frame and the length announced in the head.
func (r *Response) handleEnd(payload []byte) error {
	end, err := DecodeEnd(payload)
	if err != nil {
		return err
	}
	if !r.received.matches(end) {
		return fmt.Errorf("body of %d bytes does not match the length %d and digest sent", r.received.length, end.length)
	}
	if r.head.length >= 0 && uint64(r.head.length) != end.length && end.length != 0 {
		return fmt.Errorf("body has %d bytes, the head announced %d", end.length, r.head.length)
	}
	r.end = end
	r.complete = true
	return nil
}

// Trailer returns the HTTP trailer fields, once the body has been read to its
// end.
func (r *Response) Trailer() http.Header { return r.end.trailer }

// Report returns the latest load report on the server.
func (r *Response) Report() load.Report {
	if r.complete {
		return r.end.report
	}
	return r.head.report
}

// Close releases the stream for further calls if the whole response was read,
// and closes it otherwise.
func (r *Response) Close() {
	if r.complete {
		r.finish()
		return
	}
	r.abort()
}

// finish ends a call whose response is complete.
func (r *Response) finish() {
	notCancelled := r.stopCancel()
	if !notCancelled || !r.state.bodySent.Load() || !r.stream.reusable {
		r.closeStream()
		return
	}
	r.client.release(r.peer, r.stream)
}

// closeStream closes a stream that is not reused. If the request was sent
// completely, it ends the sending direction cleanly first.
func (r *Response) closeStream() {
	if r.state.bodySent.Load() && !r.state.cancelled.Load() {
		_ = r.stream.closeWrite()
	}
	r.stream.Close()
}

// abort ends a call whose response is incomplete.
func (r *Response) abort() {
	r.stopCancel()
	r.stream.Close()
}
