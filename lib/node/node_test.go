package node_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/certs"
	"savorygap.example/lib/certs/certstest"
	"savorygap.example/lib/document"
	"savorygap.example/lib/load"
	"savorygap.example/lib/node"
	"savorygap.example/lib/outcome"
)

const peerName = "host-b"

// pair is a client and a listener over one transport.
type pair struct {
	client   *node.Client
	peer     node.Peer
	draining chan struct{}
	idle     func() int
}

// transports runs a test over both transports.
func transports(t *testing.T, handle node.Handler, run func(t *testing.T, p pair)) {
	t.Run("tcp", func(t *testing.T) { run(t, startTCP(t, handle)) })
	t.Run("quic", func(t *testing.T) { run(t, startQUIC(t, handle)) })
}

func rings(t *testing.T) (func(string) *tls.Config, *tls.Config) {
	authority := certstest.Authority(t)
	a := certstest.Credentials(t, authority, "host-a", certs.RoleNode)
	b := certstest.Credentials(t, authority, peerName, certs.RoleNode)
	client := func(name string) *tls.Config { return a.ClientConfig(name, node.ProtocolCalls) }
	return client, b.ServerConfig([]certs.Role{certs.RoleNode}, node.ProtocolCalls)
}

func startTCP(t *testing.T, handle node.Handler) pair {
	client, server := rings(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	draining := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.ListenTCP(ctx, listener, server, draining, handle)
	}()
	pool := node.NewTCP(clockwork.NewRealClock(), client)
	go pool.Run(ctx)
	t.Cleanup(func() { cancel(); <-ended })
	return pair{
		client: node.NewClient(pool.Open, pool.Reuse), peer: node.NewPeer(peerName, listener.Addr().String()),
		draining: draining, idle: func() int { return pool.Idle(ctx) },
	}
}

func startQUIC(t *testing.T, handle node.Handler) pair {
	client, server := rings(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	draining := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.ListenQUIC(ctx, socket, server, draining, handle)
	}()
	pool := node.NewQUIC(client)
	go pool.Run(ctx)
	t.Cleanup(func() { cancel(); <-ended; _ = socket.Close() })
	return pair{client: node.NewClient(pool.Open, pool.Reuse), peer: node.NewPeer(peerName, socket.LocalAddr().String()), draining: draining}
}

func call(length int64) attempt.Call {
	return attempt.NewCall("id-1", "logview", "127.0.0.1:8000", 5*time.Second).
		WithRequest("POST", "/logview/x?y=1", "board.example", http.Header{"X-A": {"1", "2"}}, length)
}

func answerOf(body io.Reader, length int64) *attempt.Response {
	none := func() load.Report { return load.NewReport(12, 3, 1, time.Millisecond) }
	return attempt.NewResponse(200, http.Header{"X-B": {"3"}}, length, body,
		func() http.Header { return http.Header{"X-T": {"4"}} }, none, func(error) load.Report { return none() })
}

func TestCallCarriesBodiesHeadersTrailersAndReports(t *testing.T) {
	echo := node.Relay(func(_ context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		must.Eq(t, []string{"1", "2"}, c.Header()["X-A"])
		must.Eq(t, "/logview/x?y=1", c.URI())
		c.NotifyAdmitted()
		if body == nil {
			return answerOf(strings.NewReader(""), -1), nil
		}
		text, err := io.ReadAll(body)
		must.NoError(t, err)
		must.Eq(t, "7", c.Trailer().Get("X-Sum"))
		return answerOf(bytes.NewReader(text), -1), nil
	})
	transports(t, echo, func(t *testing.T, p pair) {
		for _, size := range []int{0, 1, 40_000, 3 << 20} {
			for _, hold := range []bool{false, true} {
				sent := bytes.Repeat([]byte("x"), size)
				c := call(int64(size)).WithTrailers([]string{"X-Sum"}, func() http.Header { return http.Header{"X-Sum": {"7"}} })
				if hold {
					c = c.WithExpectContinue()
				}
				reply, err := p.client.Send(context.Background(), p.peer, c, bytes.NewReader(sent))
				must.NoError(t, err)
				got, err := io.ReadAll(reply)
				must.NoError(t, err)
				must.Eq(t, size, len(got))
				must.Eq(t, "4", reply.Trailer().Get("X-T"))
				must.Eq(t, 12, reply.Report().Limit())
				reply.Close()
			}
		}
	})
}

func TestRefusalsAndFailuresKeepTheirMeaning(t *testing.T) {
	refuse := node.Relay(func(_ context.Context, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		if c.Depth() == 1 {
			return nil, outcome.NewNotRun("busy").WithReport(load.NewReport(3, 3, 7, 0))
		}
		return nil, outcome.NewUnknown("server broke", outcome.NewNotRun("inner"))
	})
	transports(t, refuse, func(t *testing.T, p pair) {
		_, err := p.client.Send(context.Background(), p.peer, call(0).WithPriority(document.ClassUrgent, 1, false, false), nil)
		notRun, ok := outcome.AsNotRun(err)
		must.True(t, ok)
		must.Eq(t, "busy", notRun.Reason())
		report, _ := notRun.Report()
		must.Eq(t, 7, report.Queued())
		_, err = p.client.Send(context.Background(), p.peer, call(0), nil)
		var unknown *outcome.UnknownError
		must.True(t, errors.As(err, &unknown))
	})
}

// brokenReader gives some bytes and then fails.
type brokenReader struct{ left int }

func (b *brokenReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errors.New("server reset the connection")
	}
	n := min(b.left, len(p))
	b.left -= n
	return n, nil
}

func TestCutAnswerIsAnError(t *testing.T) {
	cut := node.Relay(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return answerOf(&brokenReader{left: 50_000}, -1), nil
	})
	transports(t, cut, func(t *testing.T, p pair) {
		reply, err := p.client.Send(context.Background(), p.peer, call(0), nil)
		must.NoError(t, err)
		_, err = io.ReadAll(reply)
		var cutErr *outcome.TruncatedError
		must.True(t, errors.As(err, &cutErr))
		reply.Close()
	})
}

func TestCutUploadNeverLooksWhole(t *testing.T) {
	seen := make(chan error, 1)
	upload := node.Relay(func(_ context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		c.NotifyAdmitted()
		_, err := io.Copy(io.Discard, body)
		seen <- err
		return nil, outcome.NewUnknown("upload broke", err)
	})
	transports(t, upload, func(t *testing.T, p pair) {
		_, err := p.client.Send(context.Background(), p.peer, call(100_000), &brokenReader{left: 50_000})
		var unknown *outcome.UnknownError
		must.True(t, errors.As(err, &unknown))
		var cut *outcome.TruncatedError
		must.True(t, errors.As(<-seen, &cut))
	})
}

func TestRefusedCallLeavesAHeldBodyUnread(t *testing.T) {
	refuse := node.Relay(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return nil, outcome.NewNotRun("busy")
	})
	transports(t, refuse, func(t *testing.T, p pair) {
		body := bytes.NewReader(make([]byte, 1<<20))
		_, err := p.client.Send(context.Background(), p.peer, call(1<<20).WithExpectContinue(), body)
		_, ok := outcome.AsNotRun(err)
		must.True(t, ok)
		must.Eq(t, 1<<20, body.Len())
	})
}

func TestCancellationReachesTheHandler(t *testing.T) {
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	wait := node.Relay(func(ctx context.Context, _ attempt.Call, _ io.Reader) (*attempt.Response, error) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, outcome.NewUnknown("cancelled", ctx.Err())
	})
	transports(t, wait, func(t *testing.T, p pair) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-started; cancel() }()
		_, err := p.client.Send(ctx, p.peer, call(0), nil)
		must.Error(t, err)
		<-ended
	})
}

func TestUnreachablePeerMeansNotRun(t *testing.T) {
	p := startTCP(t, nil)
	_, err := p.client.Send(context.Background(), node.NewPeer(peerName, "127.0.0.1:1"), call(0), nil)
	_, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	_, err = p.client.Send(context.Background(), node.NewPeer("host-c", p.peer.Address()), call(0), nil)
	_, ok = outcome.AsNotRun(err)
	must.True(t, ok, must.Sprint("a peer under another name is refused"))
}

func TestDrainingPeerIsNotUsedAgain(t *testing.T) {
	echo := node.Relay(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return answerOf(strings.NewReader("x"), 1), nil
	})
	p := startTCP(t, echo)
	exchange := func() {
		reply, err := p.client.Send(context.Background(), p.peer, call(0), nil)
		must.NoError(t, err)
		_, err = io.ReadAll(reply)
		must.NoError(t, err)
		reply.Close()
	}
	exchange()
	must.Eq(t, 1, p.idle())
	close(p.draining)
	for range 1000 {
		exchange()
	}
}

func TestOverlongFramesAreRefused(t *testing.T) {
	frame := []byte{1, 0xff, 0xff, 0xff, 0xff}
	err := node.ReadFrames(bytes.NewReader(frame), func(uint8, []byte) {})
	var tooLong *node.FrameTooLongError
	must.True(t, errors.As(err, &tooLong))
	err = node.ReadFrames(bytes.NewReader([]byte{1, 0, 0, 0, 9, 1}), func(uint8, []byte) {})
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
