package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	inboxSize   = 16
	outSize     = 64      // frames
	readBuffer  = 2 << 10 // bytes: a request without a body and its fields
	writeBatch  = 16 << 10
	tickEvery   = 100 * time.Millisecond
	pingBusy    = 250 * time.Millisecond // without a sign of life while something is pending
	pingIdle    = 2 * time.Second        // without a sign of life otherwise
	silentAfter = 1200 * time.Millisecond
	// silentSteps bounds the silence that a tick counts, so that a process which
	// itself did not run does not take its peers for dead.
	silentSteps  = 2 * tickEvery
	helloTimeout = 2 * time.Second
	// sendTimeout is how long unacknowledged bytes keep a connection open.
	sendTimeout     = 2 * time.Second
	tcpUserTimeout  = 18 // TCP_USER_TIMEOUT of Linux
	maxBody         = 64 << 20
	maxUnassembled  = 64
	reasonLinkLost  = "link lost"
	reasonCongested = "link congested"
)

// Handler answers asks that come over a link. Its fields are seams.
type Handler struct {
	ask      func(key limiter.Key, a upstream.SlotRequest, reply func(upstream.Event))
	withdraw func(key limiter.Key)
	submit   func(key limiter.Key, r *upstream.Request)
	cancel   func(key limiter.Key)
	drop     func(link uint64)
}

// NewHandler returns a server made of five functions.
func NewHandler(ask func(limiter.Key, upstream.SlotRequest, func(upstream.Event)), withdraw func(limiter.Key), submit func(limiter.Key, *upstream.Request), cancel func(limiter.Key), drop func(uint64)) Handler {
	return Handler{ask: ask, withdraw: withdraw, submit: submit, cancel: cancel, drop: drop}
}

// Hooks tell the owner of a link what came over it. They are called from the
// link's task and must not block.
type Hooks struct {
	hello    func(l *Link, h Hello)
	state    func(l *Link, s ServerState)
	notice   func(l *Link, k Versions)
	signal   func(l *Link, s Signal)
	members  func(records []registry.Record)
	document func(l *Link, d Snapshot)
	closed   func(l *Link, err error)
}

// NewHooks returns hooks made of seven functions.
func NewHooks(hello func(*Link, Hello), state func(*Link, ServerState), notice func(*Link, Versions), signal func(*Link, Signal), members func([]registry.Record), document func(*Link, Snapshot), closed func(*Link, error)) Hooks {
	return Hooks{hello: hello, state: state, notice: notice, signal: signal, members: members, document: document, closed: closed}
}

// PeerTimeoutError reports a peer of which nothing was heard in time.
type PeerTimeoutError struct {
	node   string
	silent time.Duration
}

// Error implements error.
func (e *PeerTimeoutError) Error() string {
	return fmt.Sprintf("node %q is silent for %s", e.node, e.silent)
}

// Link is one connection to another node.
type Link struct {
	serial  uint64
	conn    net.Conn
	reader  *bufio.Reader
	peer    string
	server  Handler
	hooks   Hooks
	clock   clockwork.Clock
	inbox   *task.Inbox[command]
	out     chan []byte
	port    *upstream.Endpoint
	asks    map[uint64]*asking
	partial map[uint64]*assembly
	heardAt time.Time
	silence time.Duration
	tickAt  time.Time
	pinged  time.Time
}

// asking is an ask of this node at the peer.
type asking struct {
	events    chan<- upstream.Event
	submitted bool
	answer    *upstream.Event
	body      []byte
	length    int
}

// assembly is a request of the peer whose body has not arrived whole.
type assembly struct {
	request *upstream.Request
	body    []byte
	length  int
}

// command is a closed union; exactly one part is set.
type command struct {
	ask      *askCommand
	withdraw *uint64
	submit   *submitCommand
	cancel   *uint64
	received *Message
	failed   error
}

type askCommand struct {
	number uint64
	ask    upstream.SlotRequest
	events chan<- upstream.Event
}

type submitCommand struct {
	number  uint64
	request *upstream.Request
}

// ReadHello reads the hello with which a peer opens a connection. The reader holds
// what the peer sent behind it.
func ReadHello(conn net.Conn) (Hello, *bufio.Reader, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Hello{}, nil, err
	}
	reader := bufio.NewReaderSize(conn, readBuffer)
	kind, payload, err := ReadFrame(reader)
	if err != nil {
		return Hello{}, nil, err
	}
	m, _, err := Decode(kind, payload)
	if err != nil {
		return Hello{}, nil, err
	}
	if m.hello == nil || m.hello.node == "" {
		return Hello{}, nil, &FrameError{kind: kind, reason: "a link begins with a hello"}
	}
	return *m.hello, reader, conn.SetReadDeadline(time.Time{})
}

// New returns a link over a connection to the named peer. The reader is the one
// from Accept, or nil for a connection that this node opened. The serial tells
// the links of a node apart; it is above 0.
func New(conn net.Conn, reader *bufio.Reader, serial uint64, peer string, server Handler, hooks Hooks, clock clockwork.Clock) *Link {
	if reader == nil {
		reader = bufio.NewReaderSize(conn, readBuffer)
	}
	l := &Link{
		serial: serial, conn: conn, reader: reader, peer: peer, server: server, hooks: hooks, clock: clock,
		inbox: task.NewInbox[command](inboxSize), out: make(chan []byte, outSize),
		asks: map[uint64]*asking{}, partial: map[uint64]*assembly{},
	}
	l.port = upstream.NewEndpoint(peer, l.sendAsk, l.sendWithdraw, l.sendRequest, l.sendCancel)
	return l
}

// ID returns the number that tells the links of a node apart.
func (l *Link) ID() uint64 { return l.serial }

// Port returns the server beside the peer.
func (l *Link) Port() *upstream.Endpoint { return l.port }

// Peer returns the name of the peer as it was given to New.
func (l *Link) Peer() string { return l.peer }

// SendHello says who this node is.
func (l *Link) SendHello(h Hello) { l.push(Encode(Message{hello: &h})) }

// SendServerState tells the state of the server beside this node.
func (l *Link) SendServerState(s ServerState) { l.push(Encode(Message{state: &s})) }

// SendVersions tells which versions this node knows.
func (l *Link) SendVersions(k Versions) { l.push(Encode(Message{notice: &k})) }

// SendSignal sends a signal.
func (l *Link) SendSignal(s Signal) { l.push(Encode(Message{signal: s})) }

// SendMembers tells of changes to the entries of nodes.
func (l *Link) SendMembers(records []registry.Record) { l.push(Encode(Message{members: records})) }

// SendSnapshot hands over a configuration.
func (l *Link) SendSnapshot(d Snapshot) { l.push(Encode(Message{document: &d})) }

// Close closes the connection.
func (l *Link) Close() { _ = l.conn.Close() }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.inbox.Done() }

// SetUserTimeout sets how long unacknowledged bytes keep a connection open.
func SetUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(sendTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}

// Run serves the link until ctx or the connection ends.
func (l *Link) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.heardAt = l.clock.Now()
	l.tickAt = l.heardAt
	go l.read()
	go l.write(ctx)
	ticker := l.clock.NewTicker(tickEvery)
	defer ticker.Stop()
	err := l.serve(ctx, ticker)
	_ = l.conn.Close()
	l.inbox.Close()
	l.abandon()
	l.hooks.closed(l, err)
}

func (l *Link) serve(ctx context.Context, ticker clockwork.Ticker) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.inbox.Messages():
			if c.failed != nil {
				return c.failed
			}
			l.handle(c)
		case <-ticker.Chan():
			if err := l.tick(); err != nil {
				return err
			}
		}
	}
}

// abandon ends what was pending when the link was lost.
func (l *Link) abandon() {
	l.server.drop(l.serial)
	for number, a := range l.asks {
		kind := upstream.Refused
		if a.submitted {
			kind = upstream.Unknown
		}
		a.events <- upstream.NewEvent(kind, number).WithEndpoint(l.port).WithReason(reasonLinkLost)
	}
}

func (l *Link) handle(c command) {
	switch {
	case c.ask != nil:
		l.handleAsk(c.ask)
	case c.withdraw != nil:
		delete(l.asks, *c.withdraw)
		l.push(Encode(Message{withdraw: c.withdraw}))
	case c.submit != nil:
		l.handleSubmit(c.submit)
	case c.cancel != nil:
		delete(l.asks, *c.cancel)
		l.push(Encode(Message{cancel: c.cancel}))
	case c.received != nil:
		l.heardAt = l.clock.Now()
		l.silence = 0
		l.handleReceived(c.received)
	}
}

func (l *Link) handleAsk(c *askCommand) {
	if !l.tryPush(Encode(Message{ask: &numberedAsk{number: c.number, ask: c.ask}})) {
		c.events <- upstream.NewEvent(upstream.Refused, c.number).WithEndpoint(l.port).WithReason(reasonCongested)
		return
	}
	l.asks[c.number] = &asking{events: c.events}
}

func (l *Link) handleSubmit(c *submitCommand) {
	a, ok := l.asks[c.number]
	if !ok {
		return
	}
	a.submitted = true
	left := c.request.Deadline().Sub(l.clock.Now())
	frames := [][]byte{Encode(Message{request: &numberedRequest{number: c.number, request: c.request, timeLeft: left}})}
	frames = appendParts(frames, c.request.Body(), func(b []byte) Message {
		return Message{upPart: &part{number: c.number, bytes: b}}
	})
	l.pushAll(frames)
}

// tick sends pings and notices silence. Time in which this process did not run
// is not counted as the peer's silence.
func (l *Link) tick() error {
	now := l.clock.Now()
	l.silence += min(now.Sub(l.tickAt), silentSteps)
	l.tickAt = now
	pingAfter := pingIdle
	if len(l.asks) > 0 {
		pingAfter = pingBusy
	}
	if l.silence > pingAfter && now.Sub(l.pinged) >= pingBusy {
		l.pinged = now
		l.push(Encode(Message{ping: true}))
	}
	if l.silence > silentAfter && (len(l.asks) > 0 || l.silence > pingIdle+silentAfter) {
		return &PeerTimeoutError{node: l.peer, silent: l.silence}
	}
	return nil
}
