package link_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

// testBodyMemory is the memory for bodies of requests and responses each, in bytes.
const testBodyMemory = 64 << 20

// end is one end of a link whose handler and hooks pass what they receive to
// channels.
type end struct {
	link         *link.Link
	slotRequests chan slotRequest
	withdrawn    chan limiter.Key
	submitted    chan *upstream.Request
	cancelled    chan limiter.Key
	released     chan uint64
	silences     chan bool
	closed       chan error
	snapshots    chan link.Snapshot
	signals      chan link.Signal
	members      chan []registry.Record
	rosters      chan []registry.Record
	departures   chan []registry.Record
	suspicions   chan []quarantine.Record
}

type slotRequest struct {
	key     limiter.Key
	request upstream.SlotRequest
	reply   func(upstream.Event)
}

func newEnd(ctx context.Context, t *testing.T, conn net.Conn, peer string) *end {
	t.Helper()
	return newEndWithClock(ctx, t, conn, peer, clockwork.NewRealClock())
}

func newEndWithClock(ctx context.Context, t *testing.T, conn net.Conn, peer string, clock clockwork.Clock) *end {
	t.Helper()
	e := &end{
		slotRequests: make(chan slotRequest, 8), withdrawn: make(chan limiter.Key, 8), submitted: make(chan *upstream.Request, 8),
		cancelled: make(chan limiter.Key, 8), released: make(chan uint64, 8), silences: make(chan bool, 8), closed: make(chan error, 8), snapshots: make(chan link.Snapshot, 8),
		signals: make(chan link.Signal, 8), members: make(chan []registry.Record, 8), rosters: make(chan []registry.Record, 8), departures: make(chan []registry.Record, 8), suspicions: make(chan []quarantine.Record, 8),
	}
	handler := link.NewHandler(
		func(k limiter.Key, a upstream.SlotRequest, reply func(upstream.Event)) {
			e.slotRequests <- slotRequest{k, a, reply}
		},
		func(k limiter.Key) { e.withdrawn <- k },
		func(_ limiter.Key, r *upstream.Request) { e.submitted <- r },
		func(k limiter.Key) { e.cancelled <- k },
		func(id uint64) { e.released <- id },
		upstream.NewBodyMemory(testBodyMemory), upstream.NewBodyMemory(testBodyMemory),
	)
	hooks := link.NewHooks(func(*link.Link, link.Hello) {}, func(*link.Link, link.ServerState) {}, func(*link.Link, link.Versions) {},
		func(_ *link.Link, s link.Signal) { e.signals <- s }, func(r []registry.Record) { e.members <- r }, func(r []registry.Record) { e.departures <- r },
		func(r []quarantine.Record) { e.suspicions <- r }, func(_ *link.Link, s link.Snapshot) { e.snapshots <- s },
		func(_ *link.Link, silent bool) { e.silences <- silent }, func(_ *link.Link, err error) { e.closed <- err }).WithRoster(func(r []registry.Record) { e.rosters <- r })
	e.link = link.New(conn, nil, 1, peer, handler, hooks, clock)
	go e.link.Run(ctx)
	return e
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (dialled, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	dialled, err = net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	accepted, err = listener.Accept()
	must.NoError(t, err)
	return dialled, accepted
}

// pair returns the two ends of a link and their connections.
func pair(t *testing.T) (a, b *end, conns [2]net.Conn) {
	t.Helper()
	dialled, accepted := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return newEnd(ctx, t, dialled, "b"), newEnd(ctx, t, accepted, "a"), [2]net.Conn{dialled, accepted}
}

func TestRequestAndResponseAreTransferredInParts(t *testing.T) {
	a, b, _ := pair(t)
	events := make(chan upstream.Event, upstream.MaxEvents)
	a.link.Endpoint().Reserve(7, upstream.NewSlotRequest("shop", 2).WithNested(true).WithMaxWait(90*time.Millisecond).WithRequestID("id-1").WithSlowdownNotice(true).WithMaxSlowness(1.5).WithTimes(3*time.Second, 80*time.Millisecond), events)
	incoming := <-b.slotRequests
	must.Eq(t, uint64(7), incoming.key.Number())
	must.Eq(t, upstream.NewSlotRequest("shop", 2).WithNested(true).WithMaxWait(90*time.Millisecond).WithRequestID("id-1").WithSlowdownNotice(true).WithMaxSlowness(1.5).WithTimes(3*time.Second, 80*time.Millisecond), incoming.request)
	incoming.reply(upstream.NewEvent(upstream.Offered, 7).WithCost(1.25))
	offered := <-events
	must.Eq(t, 1.25, offered.Cost())
	must.Eq(t, "b", offered.Endpoint().Node())
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	header := http.Header{"X-A": {"1", "2"}}
	r := upstream.NewRequest("id-1", "POST", "/a?b=c", "farm.example", header, body).WithOriginService("till").WithDeadline(time.Now().Add(time.Second))
	a.link.Endpoint().Submit(7, r)
	got := <-b.submitted
	left := time.Until(got.Deadline())
	must.True(t, bytes.Equal(body, got.Body()))
	must.Eq(t, header, got.Header())
	must.Eq(t, "till", got.OriginService())
	must.Between(t, 500*time.Millisecond, left, time.Second)
	incoming.reply(upstream.NewEvent(upstream.Answered, 7).WithResponse(upstream.NewResponse(201, header, body)))
	answered := <-events
	must.Eq(t, upstream.Answered, answered.Kind())
	must.Eq(t, 201, answered.Response().Status())
	must.True(t, bytes.Equal(body, answered.Response().Body()))
}

func TestLostLinkRefusesSlotRequestsAndLeavesSubmittedRequestsUnknown(t *testing.T) {
	a, b, conns := pair(t)
	first, second := make(chan upstream.Event, upstream.MaxEvents), make(chan upstream.Event, upstream.MaxEvents)
	a.link.Endpoint().Reserve(1, upstream.NewSlotRequest("shop", 1), first)
	a.link.Endpoint().Reserve(2, upstream.NewSlotRequest("shop", 1), second)
	<-b.slotRequests
	<-b.slotRequests
	a.link.Endpoint().Submit(2, upstream.NewRequest("id", "GET", "/", "h", http.Header{}, nil).WithDeadline(time.Now().Add(time.Second)))
	<-b.submitted
	must.NoError(t, conns[1].Close())
	must.Eq(t, upstream.Refused, (<-first).Kind())
	must.Eq(t, upstream.Unknown, (<-second).Kind())
	must.Eq(t, uint64(1), <-b.released)
	late := make(chan upstream.Event, upstream.MaxEvents)
	must.Error(t, <-a.closed)
	a.link.Endpoint().Reserve(3, upstream.NewSlotRequest("shop", 1), late)
	must.Eq(t, upstream.Refused, (<-late).Kind())
}

func TestSilentPeerTimesOutWhileARequestIsPending(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newEnd(ctx, t, conn, "b")
	events := make(chan upstream.Event, upstream.MaxEvents)
	startedAt := time.Now()
	a.link.Endpoint().Reserve(1, upstream.NewSlotRequest("shop", 1), events)
	must.Eq(t, upstream.Refused, (<-events).Kind())
	must.Between(t, time.Second, time.Since(startedAt), 3*time.Second)
	must.ErrorContains(t, <-a.closed, "silent")
}

func TestWithdrawCancelSignalsMembersAndSnapshotAreReceived(t *testing.T) {
	a, b, _ := pair(t)
	a.link.Endpoint().Withdraw(4)
	must.Eq(t, uint64(4), (<-b.withdrawn).Number())
	a.link.Endpoint().Cancel(5)
	must.Eq(t, uint64(5), (<-b.cancelled).Number())
	text := []byte(strings.Repeat("route ", 50_000))
	snapshot := link.NewSnapshot(9, text, []link.Evacuation{link.NewEvacuation("north", 8, true), link.NewEvacuation("south", 7, false)})
	a.link.SendSnapshot(snapshot)
	must.Eq(t, snapshot, <-b.snapshots)
	for _, s := range []link.Signal{link.WatchStarted, link.WatchEnded, link.FetchSnapshot, link.Busy, link.EntryLost, link.Stopping, link.WatchFailed} {
		a.link.SendSignal(s)
		must.Eq(t, s, <-b.signals)
	}
	records := []registry.Record{registry.NewRecord(registry.KindMember, "host-1", []byte("{}")).WithVersion(7), registry.NewRecord(registry.KindMember, "host-2", []byte{}).WithVersion(8).AsRemoved()}
	a.link.SendMembers(records)
	must.Eq(t, records, <-b.members)
	a.link.SendRoster(records)
	must.Eq(t, records, <-b.rosters)
}

func TestCompressedConfigurationIsSmallAndDecompressesToTheOriginal(t *testing.T) {
	var text strings.Builder
	for n := range 1400 {
		fmt.Fprintf(&text, `{"Name":"route-%d","PathPrefix":"/a%x/b%x/","Kind":"safe","TimeoutS":1.5,"Service":"shop"},`, n, n*7919, n*104729)
	}
	compressed, err := link.Compress([]byte(text.String()))
	must.NoError(t, err)
	must.Less(t, text.Len()/4, len(compressed))
	decompressed, err := link.Decompress(compressed)
	must.NoError(t, err)
	must.Eq(t, text.String(), string(decompressed))
	_, err = link.Decompress(compressed[:len(compressed)/2])
	must.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	for kind := byte(0); kind < 20; kind++ {
		f.Add(kind, []byte{0x08, 0x01, 0x12, 0x01, 'a'})
	}
	f.Fuzz(func(_ *testing.T, kind byte, payload []byte) {
		m, known, err := link.Decode(kind, payload)
		if err == nil && known {
			r := bufio.NewReader(bytes.NewReader(link.Encode(m)))
			_, _, _ = link.ReadFrame(r)
		}
	})
}

// TestSilentPeerStillDeliversItsResponse has a peer fall silent while it is at work on
// a request, as a paused or overloaded host does. The request must not be given up,
// at either end.
func TestSilentPeerStillDeliversItsResponse(t *testing.T) {
	dialled, accepted := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gate := &gatedConn{Conn: accepted, open: make(chan chan struct{}, 1)}
	gate.open <- closedChannel()
	a, b := newEnd(ctx, t, dialled, "b"), newEnd(ctx, t, gate, "a")
	submitted, waiting := make(chan upstream.Event, upstream.MaxEvents), make(chan upstream.Event, upstream.MaxEvents)
	a.link.Endpoint().Reserve(1, upstream.NewSlotRequest("shop", 1), submitted)
	a.link.Endpoint().Reserve(2, upstream.NewSlotRequest("shop", 1), waiting)
	request := <-b.slotRequests
	<-b.slotRequests
	a.link.Endpoint().Submit(1, upstream.NewRequest("id", "GET", "/", "h", http.Header{}, nil).WithDeadline(time.Now().Add(20*time.Second)))
	<-b.submitted

	resume := gate.pause()
	silentSince := time.Now()
	must.Eq(t, upstream.Silent, (<-submitted).Kind())
	must.Between(t, time.Second, time.Since(silentSince), 2*time.Second)
	must.Eq(t, upstream.Refused, (<-waiting).Kind())
	must.True(t, <-a.silences)
	late := make(chan upstream.Event, upstream.MaxEvents)
	a.link.Endpoint().Reserve(3, upstream.NewSlotRequest("shop", 1), late)
	must.Eq(t, upstream.Refused, (<-late).Kind())
	time.Sleep(4*time.Second - time.Since(silentSince))
	request.reply(upstream.NewEvent(upstream.Answered, 1).WithResponse(upstream.NewResponse(200, http.Header{}, []byte("late"))))
	resume()

	must.Eq(t, "late", string((<-submitted).Response().Body()))
	must.False(t, <-a.silences)
	must.Eq(t, uint64(2), (<-b.withdrawn).Number())
	must.Eq(t, 0, len(b.cancelled))
	must.Eq(t, 0, len(b.released))
	must.Eq(t, 0, len(a.closed))
	a.link.Endpoint().Reserve(4, upstream.NewSlotRequest("shop", 1), late)
	must.Eq(t, uint64(4), (<-b.slotRequests).key.Number())
}

// gatedConn is a connection that carries nothing while it is paused.
type gatedConn struct {
	net.Conn
	open chan chan struct{}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// pause stops reads and writes until resume is called.
func (c *gatedConn) pause() (resume func()) {
	<-c.open
	gate := make(chan struct{})
	c.open <- gate
	return func() { close(gate) }
}

func (c *gatedConn) await() {
	gate := <-c.open
	c.open <- gate
	<-gate
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.await()
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.await()
	return c.Conn.Write(b)
}

// TestPausedProcessCountsThePauseAgainstARequest has a request wait at the receiving
// node while that process is paused for longer than the caller waits.
func TestPausedProcessCountsThePauseAgainstARequest(t *testing.T) {
	dialled, accepted := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClock()
	a, b := newEnd(ctx, t, dialled, "b"), newEndWithClock(ctx, t, accepted, "a", clock)
	events := make(chan upstream.Event, 2*upstream.MaxEvents)
	timeLeftAt := func(number uint64) time.Duration {
		a.link.Endpoint().Reserve(number, upstream.NewSlotRequest("shop", 1), events)
		<-b.slotRequests
		a.link.Endpoint().Submit(number, upstream.NewRequest("id", "GET", "/", "h", http.Header{}, nil).WithDeadline(time.Now().Add(time.Second)))
		return (<-b.submitted).Deadline().Sub(clock.Now())
	}
	must.NoError(t, clock.BlockUntilContext(ctx, 1))
	must.Between(t, 0, timeLeftAt(1), time.Second)
	clock.Advance(3 * time.Second)
	must.LessEq(t, -2*time.Second, timeLeftAt(2))
	for range 10 {
		clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	must.Between(t, 0, timeLeftAt(3), time.Second)
}

// TestStatedBodyLengthTakesNoMemory has a peer state bodies of 64 MB and send none.
func TestStatedBodyLengthTakesNoMemory(t *testing.T) {
	const requests, maxHeap = 64, 64 << 20
	_, b, conns := pair(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range uint64(requests) {
		payload := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), n+1)
		payload = protowire.AppendVarint(protowire.AppendTag(payload, 8, protowire.VarintType), 64<<20)
		frame := append(binary.BigEndian.AppendUint32([]byte{5}, uint32(len(payload))), payload...)
		_, err := conns[0].Write(frame)
		must.NoError(t, err)
	}
	withdrawal := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 1000)
	_, err := conns[0].Write(append(binary.BigEndian.AppendUint32([]byte{4}, uint32(len(withdrawal))), withdrawal...))
	must.NoError(t, err)
	<-b.withdrawn
	runtime.ReadMemStats(&after)
	must.LessEq(t, before.TotalAlloc+maxHeap, after.TotalAlloc)
}

func TestSuspicions_ReachThePeer(t *testing.T) {
	a, b, _ := pair(t)
	sent := append(quarantine.Struck([]quarantine.Fingerprint{1, 1 << 63}), quarantine.NewRecord(7, quarantine.Cleared, 0), quarantine.NewRecord(8, quarantine.Held, 90*time.Second))
	a.link.SendSuspicions(sent)
	must.Eq(t, sent, <-b.suspicions, must.Cmp(cmp.AllowUnexported(quarantine.Record{})))
}
