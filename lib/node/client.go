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
	cancelGrace = 200 * time.Millisecond
)

// ReasonConnect is the refusal of a call to a node that cannot be reached.
const ReasonConnect = "connect to node"

// Peer names a node and where it takes calls. The name is that in its
// certificate.
type Peer struct {
	name    string
	address string
}

// NewPeer returns a peer.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the host name of the peer.
func (p Peer) Name() string { return p.name }

// Address returns host:port where the peer takes calls.
func (p Peer) Address() string { return p.address }

// Client sends calls to peers over streams from its open function.
type Client struct {
	open  func(ctx context.Context, p Peer) (*Stream, error)
	reuse func(p Peer, s *Stream)
}

// NewClient returns a client. open yields a stream to a peer; reuse takes back
// one that carried a whole call.
func NewClient(open func(context.Context, Peer) (*Stream, error), reuse func(Peer, *Stream)) *Client {
	return &Client{open: open, reuse: reuse}
}

// Reply is the answer to one call. The caller reads Body to its end and then
// calls Close.
type Reply struct {
	client *Client
	peer   Peer
	stream *Stream
	head   Head
	end    End
	whole  bool
	tally  tally
	rest   []byte
	failed error
	stop   func() bool
	state  *sendState

	startBody func()
}

// sendState tells the canceller whether the sending direction is free.
type sendState struct {
	bodySent  atomic.Bool
	cancelled atomic.Bool
}

// Send makes one call. It returns *outcome.NotRunError when the call certainly
// did not reach a server, and *outcome.UnknownError otherwise. A cancelled ctx
// cancels the work at the peer.
func (c *Client) Send(ctx context.Context, p Peer, call attempt.Call, body io.Reader) (*Reply, error) {
	stream, err := c.open(ctx, p)
	if err != nil {
		return nil, outcome.NewNotRun(ReasonConnect)
	}
	r := &Reply{client: c, peer: p, stream: stream, tally: newTally(), state: &sendState{}}
	r.stop = context.AfterFunc(ctx, r.cancel)
	if err := r.send(call, body); err != nil {
		r.abandon()
		return nil, outcome.NewUnknown("send to node "+p.name, errors.Join(err, ctx.Err()))
	}
	if err := r.readHead(); err != nil {
		return nil, r.headFailed(ctx, err)
	}
	return r, nil
}

func (r *Reply) headFailed(ctx context.Context, err error) error {
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	if errors.As(err, &notRun) || errors.As(err, &unknown) {
		r.finish()
		return err
	}
	r.abandon()
	return outcome.NewUnknown("answer from node "+r.peer.name, errors.Join(err, ctx.Err()))
}

// cancel runs when the caller's context ends. Where the request was sent
// whole, a frame asks the peer to stop and the stream can be used again;
// otherwise the stream is closed, which the peer takes as a cancellation.
func (r *Reply) cancel() {
	r.state.cancelled.Store(true)
	if !r.state.bodySent.Load() || r.stream.sendNow(frameCancel, nil) != nil {
		r.stream.Close()
		return
	}
	time.AfterFunc(cancelGrace, r.stream.Close)
}

func (r *Reply) send(call attempt.Call, body io.Reader) error {
	if err := r.stream.send(frameCall, EncodeCall(call)); err != nil {
		return err
	}
	if call.Length() == 0 || body == nil {
		return r.sendEnd(newTally(), nil)
	}
	if err := r.stream.writer.Flush(); err != nil {
		return err
	}
	r.startBody = func() { go func() { _ = r.sendBody(call, body) }() }
	if !call.ExpectContinue() {
		r.release()
	}
	return nil
}

// release starts sending the body, if it was held back until now.
func (r *Reply) release() {
	if r.startBody != nil {
		r.startBody()
		r.startBody = nil
	}
}

func (r *Reply) sendEnd(t tally, trailer http.Header) error {
	end := NewEnd(t.length, t.hash.Sum64(), trailer, load.Report{})
	if err := r.stream.sendNow(frameEnd, EncodeEnd(end)); err != nil {
		return err
	}
	r.state.bodySent.Store(true)
	return nil
}

// sendBody copies the request body into frames. A body that breaks off closes
// the stream, so that the peer never takes it for a whole one.
func (r *Reply) sendBody(call attempt.Call, body io.Reader) error {
	t := newTally()
	buffer := make([]byte, maxBodyFrame)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			t.add(buffer[:n])
			if err := r.stream.sendNow(frameBody, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.stream.Close()
			return outcome.NewTruncated(t.length, err)
		}
	}
	if call.Length() > 0 && t.length != uint64(call.Length()) {
		r.stream.Close()
		return outcome.NewTruncated(t.length, io.ErrUnexpectedEOF)
	}
	return r.sendEnd(t, call.Trailer())
}

func (r *Reply) readHead() error {
	for {
		t, payload, err := r.stream.next()
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
			r.release()
		case frameGoAway:
			r.stream.reusable = false
		}
	}
}

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

// Head returns the head of the answer.
func (r *Reply) Head() Head { return r.head }

// Read implements io.Reader for the body of the answer. It returns io.EOF only
// when the whole body arrived with the right length and digest, and
// *outcome.CutError otherwise.
func (r *Reply) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.whole {
			return 0, io.EOF
		}
		if r.failed != nil {
			return 0, r.failed
		}
		if err := r.nextBody(); err != nil {
			r.failed = outcome.NewTruncated(r.tally.length, err)
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *Reply) nextBody() error {
	t, payload, err := r.stream.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch t {
	case frameBody:
		r.tally.add(payload)
		r.rest = payload
	case frameEnd:
		return r.takeEnd(payload)
	case frameFailure:
		f, _ := DecodeFailure(payload)
		return fmt.Errorf("node %q reports: %s", r.peer.name, f.reason)
	case frameGoAway:
		r.stream.reusable = false
	}
	return nil
}

func (r *Reply) takeEnd(payload []byte) error {
	end, err := DecodeEnd(payload)
	if err != nil {
		return err
	}
	if !r.tally.matches(end) {
		return fmt.Errorf("body of %d bytes does not match the length %d and digest sent", r.tally.length, end.length)
	}
	if r.head.length >= 0 && uint64(r.head.length) != end.length && end.length != 0 {
		return fmt.Errorf("body has %d bytes, the head announced %d", end.length, r.head.length)
	}
	r.end = end
	r.whole = true
	return nil
}

// Trailer returns the HTTP trailer fields, once the body was read to its end.
func (r *Reply) Trailer() http.Header { return r.end.trailer }

// Report returns the newest report on the server that arrived.
func (r *Reply) Report() load.Report {
	if r.whole {
		return r.end.report
	}
	return r.head.report
}

// Close gives the stream back when the whole answer was read, and closes it
// otherwise.
func (r *Reply) Close() {
	if r.whole {
		r.finish()
		return
	}
	r.abandon()
}

// finish ends a call whose answer is complete.
func (r *Reply) finish() {
	live := r.stop()
	if !live || !r.state.bodySent.Load() || !r.stream.reusable {
		r.endSending()
		return
	}
	r.client.reuse(r.peer, r.stream)
}

// endSending ends a stream that carries no further call.
func (r *Reply) endSending() {
	if r.state.bodySent.Load() && !r.state.cancelled.Load() {
		_ = r.stream.finish()
	}
	r.stream.Close()
}

// abandon ends a call whose answer is not complete.
func (r *Reply) abandon() {
	r.stop()
	r.stream.Close()
}
