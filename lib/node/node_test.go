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

// endpoints are a client and the peer that it calls over one transport.
type endpoints struct {
	client   *node.Client
	peer     node.Peer
	draining chan struct{}
	idle     func() int
}

// forEachTransport runs a test over TCP and over QUIC.
func forEachTransport(t *testing.T, handle node.Handler, run func(t *testing.T, p endpoints)) {
	t.Run("tcp", func(t *testing.T) { run(t, startTCP(t, handle)) })
	t.Run("quic", func(t *testing.T) { run(t, startQUIC(t, handle)) })
}

// tlsConfigs returns the TLS configurations of the client and of the peer.
func tlsConfigs(t *testing.T) (func(string) *tls.Config, *tls.Config) {
	authority := certstest.Authority(t)
	a := certstest.Credentials(t, authority, "host-a", certs.RoleNode)
	b := certstest.Credentials(t, authority, peerName, certs.RoleNode)
	client := func(name string) *tls.Config { return a.ClientConfig(name, node.ProtocolCalls) }
	return client, b.ServerConfig([]certs.Role{certs.RoleNode}, node.ProtocolCalls)
}

func startTCP(t *testing.T, handle node.Handler) endpoints {
	client, server := tlsConfigs(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	draining := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.ListenTCP(ctx, listener, server, draining, handle)
	}()
	transport := node.NewTCPTransport(clockwork.NewRealClock(), client)
	go transport.Run(ctx)
	t.Cleanup(func() { cancel(); <-done })
	return endpoints{
		client: node.NewClient(transport.Open, transport.Release), peer: node.NewPeer(peerName, listener.Addr().String()),
		draining: draining, idle: func() int { return transport.Idle(ctx) },
	}
}

func startQUIC(t *testing.T, handle node.Handler) endpoints {
	client, server := tlsConfigs(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	draining := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.ListenQUIC(ctx, socket, server, draining, handle)
	}()
	transport := node.NewQUICTransport(client)
	go transport.Run(ctx)
	t.Cleanup(func() { cancel(); <-done; _ = socket.Close() })
	return endpoints{client: node.NewClient(transport.Open, transport.Release), peer: node.NewPeer(peerName, socket.LocalAddr().String()), draining: draining}
}

func call(length int64) attempt.Call {
	return attempt.NewCall("id-1", "logview", "127.0.0.1:8000", 5*time.Second).
		WithRequest("POST", "/logview/x?y=1", "board.example", http.Header{"X-A": {"1", "2"}}, length)
}

func newResponse(body io.Reader, length int64) *attempt.Response {
	report := func() load.Report { return load.NewReport(12, 3, 1, time.Millisecond) }
	return attempt.NewResponse(200, http.Header{"X-B": {"3"}}, length, body,
		func() http.Header { return http.Header{"X-T": {"4"}} }, report, func(error) load.Report { return report() })
}

func TestCall_CarriesBodiesHeadersTrailersAndReports(t *testing.T) {
	echo := node.NewHandler(func(_ context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		must.Eq(t, []string{"1", "2"}, c.Header()["X-A"])
		must.Eq(t, "/logview/x?y=1", c.URI())
		c.NotifyAdmitted()
		if body == nil {
			return newResponse(strings.NewReader(""), -1), nil
		}
		text, err := io.ReadAll(body)
		must.NoError(t, err)
		must.Eq(t, "7", c.Trailer().Get("X-Sum"))
		return newResponse(bytes.NewReader(text), -1), nil
	})
	forEachTransport(t, echo, func(t *testing.T, p endpoints) {
		for _, size := range []int{0, 1, 40_000, 3 << 20} {
			for _, expectContinue := range []bool{false, true} {
				sent := bytes.Repeat([]byte("x"), size)
				c := call(int64(size)).WithTrailers([]string{"X-Sum"}, func() http.Header { return http.Header{"X-Sum": {"7"}} })
				if expectContinue {
					c = c.WithExpectContinue()
				}
				response, err := p.client.Send(context.Background(), p.peer, c, bytes.NewReader(sent))
				must.NoError(t, err)
				got, err := io.ReadAll(response)
				must.NoError(t, err)
				must.Eq(t, size, len(got))
				must.Eq(t, "4", response.Trailer().Get("X-T"))
				must.Eq(t, 12, response.Report().Limit())
				response.Close()
			}
		}
	})
}

func TestCall_DistinguishesRefusalFromFailure(t *testing.T) {
	refuse := node.NewHandler(func(_ context.Context, c attempt.Call, _ io.Reader) (*attempt.Response, error) {
		if c.Depth() == 1 {
			return nil, outcome.NewNotRun("busy").WithReport(load.NewReport(3, 3, 7, 0))
		}
		return nil, outcome.NewUnknown("server broke", outcome.NewNotRun("inner"))
	})
	forEachTransport(t, refuse, func(t *testing.T, p endpoints) {
		_, err := p.client.Send(context.Background(), p.peer, call(0).WithPriority(document.ClassUrgent, 1, false, false), nil)
		notRun, ok := outcome.AsNotRun(err)
		must.True(t, ok)
		must.Eq(t, "busy", notRun.Reason())
		report, _ := notRun.Report()
		must.Eq(t, 7, report.Queued())
		_, err = p.client.Send(context.Background(), p.peer, call(0), nil)
		var unknown *outcome.UnknownError
		must.True(t, errors.As(err, &unknown), must.Sprintf("got error %v, want an unknown outcome", err))
	})
}

// failingReader returns the remaining bytes and then an error, after a value from until if
// that is set.
type failingReader struct {
	remaining int
	until     <-chan struct{}
}

func (b *failingReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		if b.until != nil {
			<-b.until
		}
		return 0, errors.New("server reset the connection")
	}
	n := min(b.remaining, len(p))
	b.remaining -= n
	return n, nil
}

func TestCall_TruncatedResponseIsAnError(t *testing.T) {
	truncate := node.NewHandler(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return newResponse(&failingReader{remaining: 50_000}, -1), nil
	})
	forEachTransport(t, truncate, func(t *testing.T, p endpoints) {
		response, err := p.client.Send(context.Background(), p.peer, call(0), nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response)
		var truncated *outcome.TruncatedError
		must.True(t, errors.As(err, &truncated), must.Sprintf("got error %v, want a truncated body", err))
		response.Close()
	})
}

func TestCall_TruncatedRequestBodyIsAnError(t *testing.T) {
	begun, bodyErr := make(chan struct{}, 1), make(chan error, 1)
	upload := node.NewHandler(func(_ context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		begun <- struct{}{}
		c.NotifyAdmitted()
		_, err := io.Copy(io.Discard, body)
		bodyErr <- err
		return nil, outcome.NewUnknown("upload broke", err)
	})
	forEachTransport(t, upload, func(t *testing.T, p endpoints) {
		// A reset may overtake the head of the request, which is then not handled at all.
		_, err := p.client.Send(context.Background(), p.peer, call(100_000), &failingReader{remaining: 50_000, until: begun})
		var unknown *outcome.UnknownError
		must.True(t, errors.As(err, &unknown), must.Sprintf("got error %v, want an unknown outcome", err))
		var truncated *outcome.TruncatedError
		must.True(t, errors.As(<-bodyErr, &truncated), must.Sprint("the handler must see a truncated body"))
	})
}

func TestCall_RefusalLeavesExpectContinueBodyUnread(t *testing.T) {
	refuse := node.NewHandler(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return nil, outcome.NewNotRun("busy")
	})
	forEachTransport(t, refuse, func(t *testing.T, p endpoints) {
		body := bytes.NewReader(make([]byte, 1<<20))
		_, err := p.client.Send(context.Background(), p.peer, call(1<<20).WithExpectContinue(), body)
		_, ok := outcome.AsNotRun(err)
		must.True(t, ok)
		must.Eq(t, 1<<20, body.Len())
	})
}

func TestCall_CancellationReachesHandler(t *testing.T) {
	started, done := make(chan struct{}, 1), make(chan struct{}, 1)
	wait := node.NewHandler(func(ctx context.Context, _ attempt.Call, _ io.Reader) (*attempt.Response, error) {
		started <- struct{}{}
		<-ctx.Done()
		done <- struct{}{}
		return nil, outcome.NewUnknown("cancelled", ctx.Err())
	})
	forEachTransport(t, wait, func(t *testing.T, p endpoints) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-started; cancel() }()
		_, err := p.client.Send(ctx, p.peer, call(0), nil)
		must.Error(t, err)
		<-done
	})
}

func TestCall_UnreachablePeerIsNotRun(t *testing.T) {
	p := startTCP(t, nil)
	_, err := p.client.Send(context.Background(), node.NewPeer(peerName, "127.0.0.1:1"), call(0), nil)
	_, ok := outcome.AsNotRun(err)
	must.True(t, ok)
	_, err = p.client.Send(context.Background(), node.NewPeer("host-c", p.peer.Address()), call(0), nil)
	_, ok = outcome.AsNotRun(err)
	must.True(t, ok, must.Sprintf("got error %v for a peer with another name, want not run", err))
}

// A draining peer asks the client to send no further calls on a connection. No
// call may fail because it was still sent on a pooled connection.
func TestListenTCP_CallsSucceedWhileDraining(t *testing.T) {
	echo := node.NewHandler(func(context.Context, attempt.Call, io.Reader) (*attempt.Response, error) {
		return newResponse(strings.NewReader("x"), 1), nil
	})
	p := startTCP(t, echo)
	exchange := func() {
		response, err := p.client.Send(context.Background(), p.peer, call(0), nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response)
		must.NoError(t, err)
		response.Close()
	}
	exchange()
	must.Eq(t, 1, p.idle())
	close(p.draining)
	for range 1000 {
		exchange()
	}
}

func TestReadFrames_RejectsOversizedAndTruncatedFrames(t *testing.T) {
	frame := []byte{1, 0xff, 0xff, 0xff, 0xff}
	err := node.ReadFrames(bytes.NewReader(frame), func(uint8, []byte) {})
	var tooLong *node.FrameTooLongError
	must.True(t, errors.As(err, &tooLong), must.Sprintf("got error %v, want a frame that is too long", err))
	err = node.ReadFrames(bytes.NewReader([]byte{1, 0, 0, 0, 9, 1}), func(uint8, []byte) {})
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
