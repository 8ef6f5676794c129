package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

// Incoming is a call that a peer makes of this node.
type Incoming struct {
	call   attempt.Call
	stream *Stream
	body   *incomingBody
	tally  tally
	headed bool
	closed bool
}

// Call returns the call.
func (i *Incoming) Call() attempt.Call { return i.call }

// PeerName returns the name in the peer's certificate.
func (i *Incoming) PeerName() string { return i.stream.peerName }

// Body returns the request body. Reading it gives *outcome.CutError when the
// peer broke off.
func (i *Incoming) Body() io.Reader { return i.body }

// Trailer returns the trailer fields of the request, once the body was read to
// its end.
func (i *Incoming) Trailer() http.Header { return i.body.trailer }

// Answer sends the head of the answer.
func (i *Incoming) Answer(h Head) error {
	i.headed = true
	i.tally = newTally()
	return i.stream.send(frameHead, EncodeHead(h))
}

// Continue tells a peer that holds the body back to send it.
func (i *Incoming) Continue() {
	if i.call.ExpectContinue() {
		_ = i.stream.sendNow(frameContinue, nil)
	}
}

// Write sends a part of the answer's body.
func (i *Incoming) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		n := min(len(p), maxBodyFrame)
		i.tally.add(p[:n])
		if err := i.stream.send(frameBody, p[:n]); err != nil {
			return total, err
		}
		total += n
		p = p[n:]
	}
	return total, nil
}

// Flush sends what is buffered.
func (i *Incoming) Flush() error { return i.stream.writer.Flush() }

// End closes the answer.
func (i *Incoming) End(trailer http.Header, report load.Report) error {
	i.closed = true
	end := NewEnd(i.tally.length, i.tally.hash.Sum64(), trailer, report)
	return i.stream.sendNow(frameEnd, EncodeEnd(end))
}

// Refuse says that the call was not run. It is only sound before the request
// was written to a server.
func (i *Incoming) Refuse(e *outcome.NotRunError) error {
	i.closed = true
	r := NewRefusal(e.Reason(), !e.Retryable())
	if report, ok := e.Report(); ok {
		r = r.WithReport(report)
	}
	return i.stream.sendNow(frameRefusal, EncodeRefusal(r))
}

// Fail says that the call may have run and that no whole answer follows.
func (i *Incoming) Fail(reason string) error {
	i.closed = true
	return i.stream.sendNow(frameFailure, EncodeFailure(NewFailure(reason)))
}

// Handler runs one call. It answers through the methods of Incoming; a call
// that it leaves open is ended with a failure.
type Handler func(ctx context.Context, i *Incoming)

// incomingBody hands body frames from the stream's reader to the handler.
type incomingBody struct {
	parts  chan bodyPart
	taken  chan struct{}
	rest   []byte
	failed error
	ctx    context.Context

	trailer http.Header
}

type bodyPart struct {
	bytes   []byte
	err     error
	trailer http.Header
}

// Read implements io.Reader.
func (b *incomingBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.failed != nil {
			return 0, b.failed
		}
		select {
		case part := <-b.parts:
			b.rest, b.failed, b.trailer = part.bytes, part.err, part.trailer
		case <-b.ctx.Done():
			b.failed = outcome.NewTruncated(0, b.ctx.Err())
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) == 0 && b.failed == nil {
		b.release()
	}
	return n, nil
}

// release lets the stream's reader use its buffer again.
func (b *incomingBody) release() {
	select {
	case b.taken <- struct{}{}:
	case <-b.ctx.Done():
	}
}

// Serve reads calls from a stream and runs them one after another until the
// stream ends. When draining is closed, it tells the peer to send no further
// call here. It returns nil at a clean end and a typed error when framing was
// lost.
func Serve(ctx context.Context, draining <-chan struct{}, s *Stream, handle Handler) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer s.Close()
	t := &serving{stream: s, handle: handle, sending: make(chan struct{}, 1)}
	t.sending <- struct{}{}
	go t.announceDrain(ctx, draining)
	for {
		kind, payload, err := s.next()
		if err == nil {
			err = t.take(ctx, kind, payload)
		}
		if err != nil {
			t.abort(err)
			return cleanEnd(err)
		}
	}
}

func cleanEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// serving is the state of the task that reads one stream. The right to send on
// the stream passes between goroutines as the token in sending.
type serving struct {
	stream   *Stream
	handle   Handler
	sending  chan struct{}
	body     *incomingBody
	received tally
	cancel   context.CancelFunc
	finished chan struct{}
}

func (t *serving) take(ctx context.Context, kind frameType, payload []byte) error {
	switch kind {
	case frameCall:
		return t.start(ctx, payload)
	case frameBody:
		t.takeBody(payload)
	case frameEnd:
		return t.takeEnd(payload)
	case frameCancel:
		if t.cancel != nil {
			t.cancel()
		}
	}
	return nil
}

// start begins a call. The peer sends one only after the answer to the one
// before, whose goroutine is therefore about to end.
func (t *serving) start(parent context.Context, payload []byte) error {
	t.wait()
	call, err := DecodeCall(payload)
	if err != nil {
		return t.refuseMalformed(err)
	}
	ctx, cancel := context.WithCancel(parent)
	if call.Timeout() > 0 {
		ctx, cancel = context.WithTimeout(parent, call.Timeout())
	}
	t.cancel = cancel
	t.received = newTally()
	t.body = &incomingBody{parts: make(chan bodyPart, 1), taken: make(chan struct{}), ctx: ctx}
	t.finished = make(chan struct{})
	incoming := &Incoming{call: call, stream: t.stream, body: t.body}
	go t.run(ctx, cancel, incoming, t.finished)
	return nil
}

func (t *serving) run(ctx context.Context, cancel context.CancelFunc, i *Incoming, finished chan struct{}) {
	defer close(finished)
	defer cancel()
	<-t.sending
	defer func() { t.sending <- struct{}{} }()
	t.handle(ctx, i)
	if !i.closed {
		_ = i.Fail("no whole answer")
	}
	if !t.stream.reusable {
		_ = t.stream.finish()
	}
}

// refuseMalformed ends the stream, since the frames that follow belong to the
// call that was not understood.
func (t *serving) refuseMalformed(cause error) error {
	<-t.sending
	err := t.stream.sendNow(frameRefusal, EncodeRefusal(NewRefusal("malformed call", true)))
	t.sending <- struct{}{}
	return errors.Join(cause, err)
}

func (t *serving) takeBody(payload []byte) {
	if t.body == nil {
		return
	}
	t.received.add(payload)
	t.body.pass(payload)
}

func (t *serving) takeEnd(payload []byte) error {
	if t.body == nil {
		return nil
	}
	end, err := DecodeEnd(payload)
	if err == nil && !t.received.matches(end) {
		err = fmt.Errorf("request body of %d bytes does not match the length %d and digest sent", t.received.length, end.length)
	}
	if err != nil {
		return err
	}
	t.body.offer(bodyPart{err: io.EOF, trailer: end.trailer})
	return nil
}

// abort ends the call in flight when the stream broke.
func (t *serving) abort(cause error) {
	if t.body == nil {
		return
	}
	t.body.offer(bodyPart{err: outcome.NewTruncated(t.received.length, cause)})
	t.cancel()
	t.wait()
}

func (t *serving) wait() {
	if t.finished != nil {
		<-t.finished
	}
}

// announceDrain tells the peer, between two calls, to send no further one.
func (t *serving) announceDrain(ctx context.Context, draining <-chan struct{}) {
	select {
	case <-draining:
	case <-ctx.Done():
		return
	}
	select {
	case <-t.sending:
		_ = t.stream.sendNow(frameGoAway, nil)
		t.sending <- struct{}{}
	case <-ctx.Done():
	}
}

// pass hands over one frame and waits until it was copied.
func (b *incomingBody) pass(payload []byte) {
	if !b.offer(bodyPart{bytes: payload}) {
		return
	}
	select {
	case <-b.taken:
	case <-b.ctx.Done():
	}
}

// offer hands over one part, unless the call has ended.
func (b *incomingBody) offer(part bodyPart) bool {
	select {
	case b.parts <- part:
		return true
	case <-b.ctx.Done():
		return false
	}
}
