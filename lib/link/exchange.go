package link

import (
	"context"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/upstream"
)

func (l *Link) sendAsk(number uint64, a upstream.SlotRequest, events chan<- upstream.Event) {
	if !l.inbox.Send(command{ask: &askCommand{number: number, ask: a, events: events}}) {
		events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(l.port).WithReason(reasonLinkLost)
	}
}

func (l *Link) sendWithdraw(number uint64) { l.inbox.Send(command{withdraw: &number}) }

func (l *Link) sendRequest(number uint64, r *upstream.Request) {
	l.inbox.Send(command{submit: &submitCommand{number: number, request: r}})
}

func (l *Link) sendCancel(number uint64) { l.inbox.Send(command{cancel: &number}) }

// appendParts appends the frames of a body to frames.
func appendParts(frames [][]byte, body []byte, message func([]byte) Message) [][]byte {
	for len(body) > 0 {
		n := min(len(body), partSize)
		frames = append(frames, Encode(message(body[:n])))
		body = body[n:]
	}
	return frames
}

// tryPush queues a frame if there is room.
func (l *Link) tryPush(frame []byte) bool {
	select {
	case l.out <- frame:
		return true
	default:
		return false
	}
}

// push queues a frame without blocking the caller.
func (l *Link) push(frame []byte) {
	if !l.tryPush(frame) {
		go l.pushSlowly([][]byte{frame})
	}
}

// pushAll queues frames in order without blocking the caller.
func (l *Link) pushAll(frames [][]byte) {
	for i, frame := range frames {
		if !l.tryPush(frame) {
			go l.pushSlowly(frames[i:])
			return
		}
	}
}

func (l *Link) pushSlowly(frames [][]byte) {
	for _, frame := range frames {
		select {
		case l.out <- frame:
		case <-l.inbox.Done():
			return
		}
	}
}

// read reads frames until the connection ends.
func (l *Link) read() {
	for {
		kind, payload, err := ReadFrame(l.reader)
		if err != nil {
			l.inbox.Send(command{failed: err})
			return
		}
		m, known, err := Decode(kind, payload)
		if err != nil {
			l.inbox.Send(command{failed: err})
			return
		}
		if known && !l.inbox.Send(command{received: &m}) {
			return
		}
	}
}

// write writes queued frames, several at once where several wait. A link holds no
// buffer for them while it is idle: a node has many.
func (l *Link) write(ctx context.Context) {
	for {
		var frame []byte
		select {
		case <-ctx.Done():
			return
		case frame = <-l.out:
		}
		if _, err := l.conn.Write(l.gather(frame)); err != nil {
			l.inbox.Send(command{failed: err})
			return
		}
	}
}

// gather appends the frames that wait to the first one, up to the size of a batch.
// A frame belongs to the link once it is queued.
func (l *Link) gather(batch []byte) []byte {
	for len(batch) < writeBatch {
		select {
		case frame := <-l.out:
			batch = append(batch, frame...)
		default:
			return batch
		}
	}
	return batch
}

func (l *Link) handleReceived(m *Message) {
	switch {
	case m.hello != nil:
		l.hooks.hello(l, *m.hello)
	case m.ask != nil:
		l.server.ask(l.key(m.ask.number), m.ask.ask, l.reply)
	case m.event != nil:
		l.handleEvent(*m.event, m.length)
	case m.withdraw != nil:
		l.server.withdraw(l.key(*m.withdraw))
	case m.request != nil:
		l.handleRequest(m.request)
	case m.upPart != nil:
		l.handleUpPart(m.upPart)
	case m.downPart != nil:
		l.handleDownPart(m.downPart)
	case m.cancel != nil:
		delete(l.partial, *m.cancel)
		l.server.cancel(l.key(*m.cancel))
	case m.ping:
		l.push(Encode(Message{pong: true}))
	case m.state != nil:
		l.hooks.state(l, *m.state)
	case m.notice != nil:
		l.hooks.notice(l, *m.notice)
	case m.signal != noSignal:
		l.hooks.signal(l, m.signal)
	case m.members != nil:
		l.hooks.members(m.members)
	case m.document != nil:
		l.hooks.document(l, *m.document)
	}
}

func (l *Link) key(number uint64) limiter.Key { return limiter.NewKey(l.serial, number) }

// reply sends an event to the peer. It is called from the server's task.
func (l *Link) reply(e upstream.Event) {
	frames := [][]byte{Encode(Message{event: &e})}
	if a := e.Response(); a != nil {
		frames = appendParts(frames, a.Body(), func(b []byte) Message {
			return Message{downPart: &part{number: e.Number(), bytes: b}}
		})
	}
	l.pushAll(frames)
}

// handleEvent passes an event on to the asker; an answer with a body first waits
// for all of it.
func (l *Link) handleEvent(e upstream.Event, length int) {
	a, ok := l.asks[e.Number()]
	if !ok {
		return
	}
	if e.Kind() == upstream.Answered && length > 0 {
		a.answer = &e
		a.length = min(length, maxBody)
		a.body = make([]byte, 0, a.length)
		return
	}
	if e.Kind().Final() {
		delete(l.asks, e.Number())
	}
	a.events <- e.WithEndpoint(l.port)
}

func (l *Link) handleDownPart(p *part) {
	a, ok := l.asks[p.number]
	if !ok || a.answer == nil {
		return
	}
	a.body = append(a.body, p.bytes...)
	if len(a.body) < a.length {
		return
	}
	delete(l.asks, p.number)
	head := a.answer.Response()
	a.events <- a.answer.WithEndpoint(l.port).WithResponse(upstream.NewResponse(head.Status(), head.Header(), a.body))
}

func (l *Link) handleRequest(n *numberedRequest) {
	r := n.request.WithDeadline(l.clock.Now().Add(n.timeLeft))
	if n.length == 0 {
		l.server.submit(l.key(n.number), r)
		return
	}
	if len(l.partial) >= maxUnassembled || n.length > maxBody {
		l.server.withdraw(l.key(n.number))
		l.reply(upstream.NewEvent(upstream.NotRun, n.number).WithReason("too many bodies at once"))
		return
	}
	l.partial[n.number] = &assembly{request: r, length: n.length, body: make([]byte, 0, n.length)}
}

func (l *Link) handleUpPart(p *part) {
	a, ok := l.partial[p.number]
	if !ok {
		return
	}
	a.body = append(a.body, p.bytes...)
	if len(a.body) < a.length {
		return
	}
	delete(l.partial, p.number)
	l.server.submit(l.key(p.number), a.request.WithBody(a.body))
}
