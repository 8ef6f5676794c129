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

// IncomingCall is a call from a peer to this node.
type IncomingCall struct {
	call     attempt.Call
	stream   *Stream
	body     *requestBody
	sent     bodyDigest
	headSent bool
	ended    bool
}

// Call returns the call.
func (i *IncomingCall) Call() attempt.Call { return i.call }

// PeerName returns the name in the peer's certificate.
func (i *IncomingCall) PeerName() string { return i.stream.peerName }

// Body returns the request body. Reading it returns *outcome.TruncatedError if
// the peer did not send the whole body.
func (i *IncomingCall) Body() io.Reader { return i.body }

// Trailer returns the trailer fields of the request, once the body has been read
// to its end.
func (i *IncomingCall) Trailer() http.Header { return i.body.trailer }

// SendHead writes the head of the response, which is sent with the next flush.
func (i *IncomingCall) SendHead(h Head) error {
	i.headSent = true
	i.sent = newBodyDigest()
	return i.stream.send(frameHead, EncodeHead(h))
}

// SendContinue asks the peer to send the request body, if it waits for that.
func (i *IncomingCall) SendContinue() {
	if i.call.ExpectContinue() {
		_ = i.stream.sendAndFlush(frameContinue, nil)
	}
}

// Write writes a part of the response body in frames of bounded size.
func (i *IncomingCall) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		n := min(len(p), maxBodyFrame)
		i.sent.add(p[:n])
		if err := i.stream.send(frameBody, p[:n]); err != nil {
			return total, err
		}
		total += n
		p = p[n:]
	}
	return total, nil
}

// Flush sends buffered frames.
func (i *IncomingCall) Flush() error { return i.stream.writer.Flush() }

// SendEnd ends the response.
func (i *IncomingCall) SendEnd(trailer http.Header, report load.Report) error {
	i.ended = true
	end := NewEnd(i.sent.length, i.sent.hash.Sum64(), trailer, report)
	return i.stream.sendAndFlush(frameEnd, EncodeEnd(end))
}

// SendRefusal reports that the call was not run. It must not be used once any
// part of the request was written to a server.
func (i *IncomingCall) SendRefusal(e *outcome.NotRunError) error {
	i.ended = true
	r := NewRefusal(e.Reason(), !e.Retryable())
	if report, ok := e.Report(); ok {
		r = r.WithReport(report)
	}
	return i.stream.sendAndFlush(frameRefusal, EncodeRefusal(r))
}

// SendFailure reports that the call may have run and has no complete response.
func (i *IncomingCall) SendFailure(reason string) error {
	i.ended = true
	return i.stream.sendAndFlush(frameFailure, EncodeFailure(NewFailure(reason)))
}

// Handler runs one call and responds through the methods of IncomingCall. A call
// that it does not end is ended with a failure.
type Handler func(ctx context.Context, i *IncomingCall)

// requestBody passes body frames from the goroutine that reads the stream to
// the handler. The reader waits until a frame was consumed, since it reuses its
// buffer.
type requestBody struct {
	parts    chan bodyPart
	consumed chan struct{}
	unread   []byte
	bodyErr  error
	ctx      context.Context

	trailer http.Header
}

// bodyPart is the payload of a body frame, or the end of the body: io.EOF with
// the trailer fields, or the error that truncated it.
type bodyPart struct {
	bytes   []byte
	err     error
	trailer http.Header
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.bodyErr != nil {
			return 0, b.bodyErr
		}
		select {
		case part := <-b.parts:
			b.unread, b.bodyErr, b.trailer = part.bytes, part.err, part.trailer
		case <-b.ctx.Done():
			b.bodyErr = outcome.NewTruncated(0, b.ctx.Err())
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if len(b.unread) == 0 && b.bodyErr == nil {
		b.acknowledge()
	}
	return n, nil
}

// acknowledge tells the reader that its buffer can be reused.
func (b *requestBody) acknowledge() {
	select {
	case b.consumed <- struct{}{}:
	case <-b.ctx.Done():
	}
}

// Serve reads calls from a stream and runs them one after another until the
// stream ends. When draining is closed, it asks the peer to send no further
// calls on the stream. It returns nil at a clean end and an error if the stream
// failed or a message was malformed.
func Serve(ctx context.Context, draining <-chan struct{}, s *Stream, handle Handler) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer s.Close()
	server := &streamServer{stream: s, handle: handle, sendToken: make(chan struct{}, 1)}
	server.sendToken <- struct{}{}
	go server.announceDrain(ctx, draining)
	for {
		kind, payload, err := s.nextFrame()
		if err == nil {
			err = server.handleFrame(ctx, kind, payload)
		}
		if err != nil {
			server.abort(err)
			return cleanEnd(err)
		}
	}
}

// cleanEnd returns nil for io.EOF, which is a clean end of a stream.
func cleanEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// streamServer is the state of the task that reads one stream. Only the
// goroutine that holds the token from sendToken may write to the stream.
type streamServer struct {
	stream    *Stream
	handle    Handler
	sendToken chan struct{}
	body      *requestBody
	received  bodyDigest
	cancel    context.CancelFunc
	callDone  chan struct{}
}

func (s *streamServer) handleFrame(ctx context.Context, kind frameType, payload []byte) error {
	switch kind {
	case frameCall:
		return s.startCall(ctx, payload)
	case frameBody:
		s.handleBody(payload)
	case frameEnd:
		return s.handleEnd(payload)
	case frameCancel:
		if s.cancel != nil {
			s.cancel()
		}
	}
	return nil
}

// startCall starts a call in a goroutine of its own, once the goroutine of the
// previous call has ended. That wait is short, since the peer sends a call only
// after the response to the previous one.
func (s *streamServer) startCall(parent context.Context, payload []byte) error {
	s.waitForCall()
	call, err := DecodeCall(payload)
	if err != nil {
		return s.refuseMalformed(err)
	}
	ctx, cancel := context.WithCancel(parent)
	if call.Timeout() > 0 {
		ctx, cancel = context.WithTimeout(parent, call.Timeout())
	}
	s.cancel = cancel
	s.received = newBodyDigest()
	s.body = &requestBody{parts: make(chan bodyPart, 1), consumed: make(chan struct{}), ctx: ctx}
	s.callDone = make(chan struct{})
	incoming := &IncomingCall{call: call, stream: s.stream, body: s.body}
	go s.runCall(ctx, cancel, incoming, s.callDone)
	return nil
}

func (s *streamServer) runCall(ctx context.Context, cancel context.CancelFunc, i *IncomingCall, done chan struct{}) {
	defer close(done)
	defer cancel()
	<-s.sendToken
	defer func() { s.sendToken <- struct{}{} }()
	s.handle(ctx, i)
	if !i.ended {
		_ = i.SendFailure("no whole answer")
	}
	if !s.stream.reusable {
		_ = s.stream.closeWrite()
	}
}

// refuseMalformed refuses a call that could not be decoded and returns an error
// that ends the stream, since the frames that follow belong to that call.
func (s *streamServer) refuseMalformed(cause error) error {
	<-s.sendToken
	err := s.stream.sendAndFlush(frameRefusal, EncodeRefusal(NewRefusal("malformed call", true)))
	s.sendToken <- struct{}{}
	return errors.Join(cause, err)
}

func (s *streamServer) handleBody(payload []byte) {
	if s.body == nil {
		return
	}
	s.received.add(payload)
	s.body.deliver(payload)
}

func (s *streamServer) handleEnd(payload []byte) error {
	if s.body == nil {
		return nil
	}
	end, err := DecodeEnd(payload)
	if err == nil && !s.received.matches(end) {
		err = fmt.Errorf("request body of %d bytes does not match the length %d and digest sent", s.received.length, end.length)
	}
	if err != nil {
		return err
	}
	s.body.enqueue(bodyPart{err: io.EOF, trailer: end.trailer})
	return nil
}

// abort cancels the running call after the stream has ended or failed, and waits
// for its goroutine.
func (s *streamServer) abort(cause error) {
	if s.body == nil {
		return
	}
	s.body.enqueue(bodyPart{err: outcome.NewTruncated(s.received.length, cause)})
	s.cancel()
	s.waitForCall()
}

func (s *streamServer) waitForCall() {
	if s.callDone != nil {
		<-s.callDone
	}
}

// announceDrain asks the peer, between two calls, to send no further one.
func (s *streamServer) announceDrain(ctx context.Context, draining <-chan struct{}) {
	select {
	case <-draining:
	case <-ctx.Done():
		return
	}
	select {
	case <-s.sendToken:
		_ = s.stream.sendAndFlush(frameGoAway, nil)
		s.sendToken <- struct{}{}
	case <-ctx.Done():
	}
}

// deliver passes one frame to the handler and waits until it was consumed.
func (b *requestBody) deliver(payload []byte) {
	if !b.enqueue(bodyPart{bytes: payload}) {
		return
	}
	select {
	case <-b.consumed:
	case <-b.ctx.Done():
	}
}

// enqueue passes one part to the handler, and reports false if the call has
// ended.
func (b *requestBody) enqueue(part bodyPart) bool {
	select {
	case b.parts <- part:
		return true
	case <-b.ctx.Done():
		return false
	}
}
