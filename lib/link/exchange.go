package link

import (
	"context"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

func (l *Link) sendReserve(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
	if !l.inbox.Send(command{reserve: &reserveCommand{number: number, slotRequest: r, events: events}}) {
		events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(l.endpoint).WithReason(reasonLinkLost)
	}
}

func (l *Link) sendWithdraw(number uint64) { l.inbox.Send(command{withdraw: &number}) }

func (l *Link) sendRequest(number uint64, r *upstream.Request) {
	l.inbox.Send(command{submit: &submitCommand{number: number, request: r}})
}

func (l *Link) sendCancel(number uint64) { l.inbox.Send(command{cancel: &number}) }

// tryEnqueue adds a frame to the send queue unless the queue is full.
func (l *Link) tryEnqueue(frame []byte) bool {
	select {
	case l.sendQueue <- frame:
		l.startWriter()
		return true
	default:
		return false
	}
}

// enqueue adds a frame to the send queue without blocking the caller.
func (l *Link) enqueue(frame []byte) {
	if !l.tryEnqueue(frame) {
		go l.enqueueBlocking(frame)
	}
}

// enqueueWithBody adds a frame and then those of a body in parts to the send queue without
// blocking the caller. A part is encoded when the queue has room for it, so that no second
// copy of the whole body is held.
func (l *Link) enqueueWithBody(head, body []byte, message func([]byte) Message) {
	frame := head
	for l.tryEnqueue(frame) {
		if len(body) == 0 {
			return
		}
		frame, body = encodePart(body, message)
	}
	go func() {
		for l.enqueueBlocking(frame) && len(body) > 0 {
			frame, body = encodePart(body, message)
		}
	}()
}

// encodePart returns the frame of the first part of a body, and the rest of the body.
func encodePart(body []byte, message func([]byte) Message) (frame, rest []byte) {
	n := min(len(body), maxPartSize)
	return Encode(message(body[:n])), body[n:]
}

// enqueueBlocking adds a frame to the send queue and waits while it is full. It returns
// false when the link ends.
func (l *Link) enqueueBlocking(frame []byte) bool {
	select {
	case l.sendQueue <- frame:
		l.startWriter()
		return true
	case <-l.inbox.Done():
		return false
	}
}

// read passes the received messages to the inbox until the connection fails or
// the link ends.
func (l *Link) read() {
	defer task.Catch(func(e *task.PanicError) { l.inbox.Send(command{failed: e}) })
	for {
		frameType, payload, err := ReadFrame(l.reader)
		if err != nil {
			l.inbox.Send(command{failed: err})
			return
		}
		m, known, err := Decode(frameType, payload)
		if err != nil {
			l.inbox.Send(command{failed: err})
			return
		}
		if known && !l.inbox.Send(command{received: &m}) {
			return
		}
	}
}

// startWriter starts the goroutine that writes, unless it runs. An idle link has
// none, since a node has many links.
func (l *Link) startWriter() {
	select {
	case l.writing <- struct{}{}:
		go l.write()
	default:
	}
}

// AwaitSent waits until everything that was queued before is written to the
// connection. It returns false if the link or ctx ends first.
func (l *Link) AwaitSent(ctx context.Context) bool {
	for {
		select {
		case l.writing <- struct{}{}:
		case <-l.inbox.Done():
			return false
		case <-ctx.Done():
			return false
		}
		// No goroutine writes now.
		<-l.writing
		if len(l.sendQueue) == 0 {
			return true
		}
		l.startWriter()
	}
}

// write writes the queued frames to the connection in batches until there are none.
func (l *Link) write() {
	defer task.Catch(func(e *task.PanicError) { l.inbox.Send(command{failed: e}) })
	for {
		select {
		case frame := <-l.sendQueue:
			if _, err := l.conn.Write(l.batch(frame)); err != nil {
				l.inbox.Send(command{failed: err})
				return
			}
			continue
		default:
		}
		<-l.writing
		if len(l.sendQueue) > 0 {
			// A frame was queued before the line above let another goroutine start.
			l.startWriter()
		}
		return
	}
}

// batch appends queued frames to the first one until the batch has maxWriteBatch
// bytes or more. It may reuse the memory of the first frame, which belongs to the
// link once queued.
func (l *Link) batch(frames []byte) []byte {
	for len(frames) < maxWriteBatch {
		select {
		case frame := <-l.sendQueue:
			frames = append(frames, frame...)
		default:
			return frames
		}
	}
	return frames
}

func (l *Link) handleReceived(m *Message) {
	switch {
	case m.hello != nil:
		l.hooks.hello(l, *m.hello)
	case m.slotRequest != nil:
		l.handler.reserve(l.key(m.slotRequest.number), m.slotRequest.slotRequest, l.sendEvent)
	case m.event != nil:
		l.handleEvent(*m.event, m.bodyLength)
	case m.withdraw != nil:
		l.handler.withdraw(l.key(*m.withdraw))
	case m.request != nil:
		l.handleRequest(m.request)
	case m.requestPart != nil:
		l.handleRequestPart(m.requestPart)
	case m.responsePart != nil:
		l.handleResponsePart(m.responsePart)
	case m.cancel != nil:
		delete(l.partialRequests, *m.cancel)
		l.handler.cancel(l.key(*m.cancel))
	case m.ping:
		l.enqueue(Encode(Message{pong: true}))
	case m.pong:
		l.handlePong()
	case m.serverState != nil:
		l.hooks.serverState(l, *m.serverState)
	case m.versions != nil:
		l.hooks.versions(l, *m.versions)
	case m.signal != noSignal:
		l.hooks.signal(l, m.signal)
	case m.members != nil:
		l.hooks.members(m.members)
	case m.roster != nil:
		l.hooks.roster(m.roster)
	case m.departures != nil:
		l.hooks.departures(m.departures)
	case m.suspicions != nil:
		l.hooks.suspicions(m.suspicions)
	case m.rollout != nil:
		l.hooks.rollout(*m.rollout)
	case m.snapshot != nil:
		l.hooks.snapshot(l, *m.snapshot)
	case m.quotaQuestion != nil:
		l.hooks.quotaQuestion(l, *m.quotaQuestion)
	case m.quotaAnswer != nil:
		l.hooks.quotaAnswer(l, *m.quotaAnswer)
	}
}

func (l *Link) key(number uint64) limiter.Key { return limiter.NewKey(l.id, number) }

// sendEvent sends an event to the peer. It is called from the task of the handler.
func (l *Link) sendEvent(e upstream.Event) {
	var body []byte
	if r := e.Response(); r != nil {
		body = r.Body()
	}
	l.enqueueWithBody(Encode(Message{event: &e}), body, func(b []byte) Message {
		return Message{responsePart: &bodyPart{number: e.Number(), bytes: b}}
	})
}

// handleEvent passes an event to the requester. A response with a body is held
// back until the whole body has arrived.
func (l *Link) handleEvent(e upstream.Event, bodyLength int) {
	r, ok := l.pending[e.Number()]
	if !ok {
		return
	}
	if e.Kind() == upstream.Answered && bodyLength > 0 {
		r.response, r.bodyLength = &e, min(bodyLength, maxBodySize)
		r.body = l.handler.responses.NewBuffer(r.bodyLength, 0)
		return
	}
	if e.Kind().Final() {
		delete(l.pending, e.Number())
	}
	r.events <- e.WithEndpoint(l.endpoint)
}

func (l *Link) handleResponsePart(p *bodyPart) {
	r, ok := l.pending[p.number]
	if !ok || r.response == nil {
		return
	}
	if _, err := r.body.Write(p.bytes); err != nil {
		delete(l.pending, p.number)
		r.events <- upstream.NewEvent(upstream.Unknown, p.number).WithEndpoint(l.endpoint).WithReason(err.Error())
		return
	}
	if r.body.Len() < r.bodyLength {
		return
	}
	delete(l.pending, p.number)
	response := r.response.Response()
	r.events <- r.response.WithEndpoint(l.endpoint).WithResponse(upstream.NewResponse(response.Status(), response.Header(), r.body.Bytes()))
}

func (l *Link) handleRequest(n *numberedRequest) {
	now := l.clock.Now()
	// A request that waited here while this process was paused has less time left than
	// its sender stated.
	deadline := now.Add(n.timeLeft - l.maxAge(now))
	if deadline.After(l.servingUntil) {
		l.servingUntil = deadline
	}
	r := n.request.WithDeadline(deadline)
	if n.bodyLength == 0 {
		l.handler.submit(l.key(n.number), r)
		return
	}
	if len(l.partialRequests) >= maxPartialRequests || n.bodyLength > maxBodySize {
		l.refuseBody(n.number, "too many bodies at once")
		return
	}
	l.partialRequests[n.number] = &partialRequest{request: r, bodyLength: n.bodyLength, body: l.handler.requests.NewBuffer(n.bodyLength, 0)}
}

func (l *Link) handleRequestPart(p *bodyPart) {
	r, ok := l.partialRequests[p.number]
	if !ok {
		return
	}
	if _, err := r.body.Write(p.bytes); err != nil {
		delete(l.partialRequests, p.number)
		l.refuseBody(p.number, err.Error())
		return
	}
	if r.body.Len() < r.bodyLength {
		return
	}
	delete(l.partialRequests, p.number)
	l.handler.submit(l.key(p.number), r.request.WithBody(r.body.Bytes()))
}

// refuseBody tells the peer that its request was not run, because its body is not read.
func (l *Link) refuseBody(number uint64, reason string) {
	l.handler.withdraw(l.key(number))
	l.sendEvent(upstream.NewEvent(upstream.NotRun, number).WithReason(reason))
}
