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

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	inboxSize      = 16       // messages
	sendQueueSize  = 64       // frames
	readBufferSize = 2 << 10  // bytes; holds a request with its header fields, without its body
	maxWriteBatch  = 16 << 10 // bytes
	// busyTickInterval is the time between two ticks while the peer owes a reply or is
	// at work on a request.
	busyTickInterval = 100 * time.Millisecond
	// idleTickInterval is the time between two ticks of an idle link. It is long, since
	// a node has a link to each of hundreds of hosts.
	idleTickInterval = time.Second
	// busyPingInterval is the silence of the peer after which it is sent a ping while
	// requests are pending, and the shortest time between two pings.
	busyPingInterval = 250 * time.Millisecond
	// idlePingInterval is the silence of the peer after which it is sent a ping while
	// no request is pending.
	idlePingInterval = 4 * time.Second
	// peerTimeout is how long the peer may owe a reply before the link takes no new
	// requests. The link ends once nothing is at work at either end: a peer that was
	// only paused or cut off still delivers its responses.
	peerTimeout = time.Second
	// silentPingInterval is the time between two pings to a silent peer. They fill the
	// send queue if the connection takes no data.
	silentPingInterval = time.Second
	// maxTickLag bounds how late a tick may be for that time to count as silence of the
	// peer, so that a process that was suspended does not end its links when it
	// resumes.
	maxTickLag = 100 * time.Millisecond
	// pauseThreshold is how late a tick must be for this process to be taken to have
	// been paused.
	pauseThreshold = 500 * time.Millisecond
	// resumePeriod is how long after a pause the messages are still read that arrived
	// during it.
	resumePeriod = 250 * time.Millisecond
	helloTimeout = 2 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection. It is longer than the pauses that requests outlive.
	unackedTimeout       = 15 * time.Second
	tcpUserTimeoutOption = 18       // TCP_USER_TIMEOUT of Linux
	maxBodySize          = 64 << 20 // bytes
	maxPartialRequests   = 64       // requests whose body is being received

	reasonLinkLost  = "link lost"
	reasonCongested = "link congested"
	reasonSilent    = "node silent"
)

// PeerTimeoutError reports that nothing was received from a peer for too long.
type PeerTimeoutError struct {
	node   string
	silent time.Duration
}

// Error implements error.
func (e *PeerTimeoutError) Error() string {
	return fmt.Sprintf("node %q has been silent for %s", e.node, e.silent)
}

// Link is the task that owns one connection to another node.
type Link struct {
	id              uint64
	conn            net.Conn
	reader          *bufio.Reader
	peer            string
	handler         Handler
	hooks           Hooks
	clock           clockwork.Clock
	inbox           *task.Inbox[command]
	sendQueue       chan []byte
	writing         chan struct{} // holds an element while a goroutine writes
	endpoint        *upstream.Endpoint
	pending         map[uint64]*pendingRequest
	partialRequests map[uint64]*partialRequest
	silence         time.Duration // time without received messages
	awaitingReply   bool          // whether the peer owes a reply
	overdue         time.Duration // how long it has owed that reply
	silent          bool          // whether the link takes no new requests; see peerTimeout
	servingUntil    time.Time     // when the time of all requests of the peer is over
	tickTimer       clockwork.Timer
	tickDelay       time.Duration // time from the last tick to the next
	lastTickAt      time.Time
	pause           time.Duration // the last pause of this process
	resumedAt       time.Time     // the end of that pause
	lastPingAt      time.Time
	pingsSent       uint64
	pongsReceived   uint64
	tells           []tell // the oldest first
}

// pendingRequest is a slot request of this node to the peer, and the request that
// follows it. response holds the event with the response while its body arrives.
type pendingRequest struct {
	events     chan<- upstream.Event
	submitted  bool
	silent     bool // whether its caller was told that the peer is silent
	response   *upstream.Event
	body       *upstream.BodyBuffer
	bodyLength int
}

// partialRequest is a request of the peer whose body is still arriving.
type partialRequest struct {
	request    *upstream.Request
	body       *upstream.BodyBuffer
	bodyLength int
}

// command is a closed union; exactly one field is set.
type command struct {
	reserve  *reserveCommand
	withdraw *uint64
	submit   *submitCommand
	cancel   *uint64
	received *Message
	failed   error
	quota    *quota.Question
	tell     *tellCommand
}

type reserveCommand struct {
	number      uint64
	slotRequest upstream.SlotRequest
	events      chan<- upstream.Event
}

type submitCommand struct {
	number  uint64
	request *upstream.Request
}

// ReadHello reads the hello that a peer sends first. The returned reader may have
// buffered data that follows it.
func ReadHello(conn net.Conn) (Hello, *bufio.Reader, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Hello{}, nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	frameType, payload, err := ReadFrame(reader)
	if err != nil {
		return Hello{}, nil, err
	}
	m, _, err := Decode(frameType, payload)
	if err != nil {
		return Hello{}, nil, err
	}
	if m.hello == nil || m.hello.node == "" {
		return Hello{}, nil, &FrameError{frameType: frameType, reason: "a link begins with a hello"}
	}
	return *m.hello, reader, conn.SetReadDeadline(time.Time{})
}

// New returns a link over a connection to the named peer. The reader is the one
// from ReadHello, or nil for a connection that this node opened. The id must be
// above 0 and unique among the links of a node.
func New(conn net.Conn, reader *bufio.Reader, id uint64, peer string, handler Handler, hooks Hooks, clock clockwork.Clock) *Link {
	if reader == nil {
		reader = bufio.NewReaderSize(conn, readBufferSize)
	}
	l := &Link{
		id: id, conn: conn, reader: reader, peer: peer, handler: handler, hooks: hooks, clock: clock,
		inbox: task.NewInbox[command](inboxSize), sendQueue: make(chan []byte, sendQueueSize), writing: make(chan struct{}, 1),
		pending: map[uint64]*pendingRequest{}, partialRequests: map[uint64]*partialRequest{},
	}
	l.endpoint = upstream.NewEndpoint(peer, l.sendReserve, l.sendWithdraw, l.sendRequest, l.sendCancel)
	return l
}

// ID returns the id of the link.
func (l *Link) ID() uint64 { return l.id }

// Endpoint returns the endpoint of the server on the peer's host.
func (l *Link) Endpoint() *upstream.Endpoint { return l.endpoint }

// Peer returns the name of the peer as it was given to New.
func (l *Link) Peer() string { return l.peer }

// SendHello sends the hello of this node.
func (l *Link) SendHello(h Hello) { l.enqueue(Encode(Message{hello: &h})) }

// SendServerState sends the state of the server on this host.
func (l *Link) SendServerState(s ServerState) { l.enqueue(Encode(Message{serverState: &s})) }

// SendVersions sends the versions that this node has.
func (l *Link) SendVersions(v Versions) { l.enqueue(Encode(Message{versions: &v})) }

// SendSignal sends a signal.
func (l *Link) SendSignal(s Signal) { l.enqueue(Encode(Message{signal: s})) }

// SendMembers sends changes to member entries.
func (l *Link) SendMembers(records []registry.Record) { l.enqueue(Encode(Message{members: records})) }

// SendRoster sends the entries of all members that this node knows.
func (l *Link) SendRoster(records []registry.Record) { l.enqueue(Encode(Message{roster: records})) }

// SendDepartures sends departures of servers.
func (l *Link) SendDepartures(records []registry.Record) {
	l.enqueue(Encode(Message{departures: records}))
}

// SendSuspicions sends what this node has seen of requests under which servers ended.
func (l *Link) SendSuspicions(records []quarantine.Record) {
	l.enqueue(Encode(Message{suspicions: records}))
}

// SendSnapshot sends the configuration in force.
func (l *Link) SendSnapshot(s Snapshot) { l.enqueue(Encode(Message{snapshot: &s})) }

// Close closes the connection.
func (l *Link) Close() { _ = l.conn.Close() }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.inbox.Done() }

// SetUserTimeout sets TCP_USER_TIMEOUT on a TCP connection, so that it fails when
// the peer leaves sent data unacknowledged for unackedTimeout.
func SetUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// Run serves the link until ctx ends or the connection fails.
func (l *Link) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.read()
	err := l.serve(ctx)
	_ = l.conn.Close()
	l.inbox.Close()
	l.dropTellsIfEnded()
	l.endPending()
	l.hooks.closed(l, err)
}

// serve handles commands until the link ends, and returns why. A panic ends the
// link, since the state that it shares with the peer is then in doubt.
func (l *Link) serve(ctx context.Context) (err error) {
	defer task.Catch(func(e *task.PanicError) { err = e })
	l.lastTickAt, l.tickDelay = l.clock.Now(), idleTickInterval
	l.tickTimer = l.clock.NewTimer(l.tickDelay)
	defer l.tickTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.inbox.Messages():
			if c.failed != nil {
				return c.failed
			}
			l.handle(c)
		case <-l.tickTimer.Chan():
			if err := l.tick(); err != nil {
				return err
			}
		}
	}
}

// endPending ends all pending requests of both ends after the link was lost. Slot
// requests to the peer are refused; requests that were submitted to it have an
// unknown outcome.
func (l *Link) endPending() {
	l.handler.releaseLink(l.id)
	for _, t := range l.tells {
		t.handled <- struct{}{}
	}
	for number, r := range l.pending {
		kind := upstream.Refused
		if r.submitted {
			kind = upstream.Unknown
		}
		r.events <- upstream.NewEvent(kind, number).WithEndpoint(l.endpoint).WithReason(reasonLinkLost)
	}
}

func (l *Link) handle(c command) {
	switch {
	case c.reserve != nil:
		l.handleReserve(c.reserve)
	case c.withdraw != nil:
		delete(l.pending, *c.withdraw)
		l.enqueue(Encode(Message{withdraw: c.withdraw}))
	case c.submit != nil:
		l.handleSubmit(c.submit)
	case c.cancel != nil:
		delete(l.pending, *c.cancel)
		l.enqueue(Encode(Message{cancel: c.cancel}))
	case c.tell != nil:
		l.handleTell(c.tell)
	case c.quota != nil:
		l.handleQuota(c.quota)
	case c.received != nil:
		l.endSilence()
		l.handleReceived(c.received)
	}
}

func (l *Link) handleReserve(c *reserveCommand) {
	if l.silent {
		c.events <- upstream.NewEvent(upstream.Refused, c.number).WithEndpoint(l.endpoint).WithReason(reasonSilent)
		return
	}
	if !l.tryEnqueue(Encode(Message{slotRequest: &numberedSlotRequest{number: c.number, slotRequest: c.slotRequest}})) {
		c.events <- upstream.NewEvent(upstream.Refused, c.number).WithEndpoint(l.endpoint).WithReason(reasonCongested)
		return
	}
	l.pending[c.number] = &pendingRequest{events: c.events}
	l.expectReply()
}

func (l *Link) handleSubmit(c *submitCommand) {
	r, ok := l.pending[c.number]
	if !ok {
		return
	}
	r.submitted = true
	timeLeft := c.request.Deadline().Sub(l.clock.Now())
	head := Encode(Message{request: &numberedRequest{number: c.number, request: c.request, timeLeft: timeLeft}})
	l.enqueueWithBody(head, c.request.Body(), func(b []byte) Message {
		return Message{requestPart: &bodyPart{number: c.number, bytes: b}}
	})
}
