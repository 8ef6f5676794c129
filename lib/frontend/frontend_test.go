package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/frontend"
	"savorygap.example/lib/headernames"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// stage is a front with a handler that a test controls.
type stage struct {
	front *frontend.Frontend
	dial  func() net.Conn
	calls chan dispatch.Call
	left  chan string
	reply map[string]chan *upstream.Response
}

func newStage(t *testing.T, ids ...string) *stage {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	log := eventlog.New(io.Discard, clock, "host-1")
	s := &stage{calls: make(chan dispatch.Call, 64), left: make(chan string, 64), reply: map[string]chan *upstream.Response{}}
	for _, id := range ids {
		s.reply[id] = make(chan *upstream.Response, 1)
	}
	serve := func(ctx context.Context, c dispatch.Call) *upstream.Response {
		s.calls <- c
		select {
		case a := <-s.reply[c.Request().ID()]:
			return a
		case <-ctx.Done():
			s.left <- c.Request().ID()
			return nil
		}
	}
	s.front = frontend.New(frontend.NewConfig(headernames.Default(), "shop", func(id string) bool { return strings.Contains(id, "/") }), serve, 1<<20, clock, log)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go s.front.Run(ctx, listener)
	s.dial = func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		return conn
	}
	return s
}

func request(id, extra string) string {
	return "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Timeout-Ms: 900\r\n" + extra + "\r\n"
}

func answer(text string) *upstream.Response {
	return upstream.NewResponse(http.StatusOK, http.Header{}, []byte(text))
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	must.NoError(t, err)
}

func read(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestRequestUnderWayOutlivesADrain(t *testing.T) {
	s := newStage(t, "1")
	conn := s.dial()
	send(t, conn, request("1", "Connection: close\r\n"))
	<-s.calls
	s.front.Drain()
	time.Sleep(1300 * time.Millisecond)
	s.reply["1"] <- answer("late")
	status, body := read(t, bufio.NewReader(conn))
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "late", body)
}

func TestDrainEndsIdleConnectionsAndMarksTheLastAnswer(t *testing.T) {
	s := newStage(t, "1")
	idle, busy := s.dial(), s.dial()
	send(t, busy, request("1", ""))
	<-s.calls
	s.front.Drain()
	n, err := idle.Read(make([]byte, 1))
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, io.EOF)
	s.reply["1"] <- answer("x")
	_, body := read(t, bufio.NewReader(busy))
	must.Eq(t, "x", body)
}

func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	s := newStage(t, "1", "2", "3")
	conn := s.dial()
	send(t, conn, request("1", "")+request("2", "")+request("3", ""))
	for range 3 {
		<-s.calls
	}
	s.reply["3"] <- answer("three")
	s.reply["2"] <- answer("two")
	s.reply["1"] <- answer("one")
	r := bufio.NewReader(conn)
	for _, want := range []string{"one", "two", "three"} {
		_, body := read(t, r)
		must.Eq(t, want, body)
	}
}

func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	s := newStage(t, "1", "2")
	conn := s.dial()
	send(t, conn, request("1", "")+request("2", ""))
	<-s.calls
	<-s.calls
	must.NoError(t, conn.Close())
	got := map[string]bool{<-s.left: true, <-s.left: true}
	must.MapEq(t, map[string]bool{"1": true, "2": true}, got)
}

func TestCallerThatLeavesBehindItsLastRequestIsNoticed(t *testing.T) {
	s := newStage(t, "1")
	conn := s.dial()
	send(t, conn, request("1", "Connection: close\r\n"))
	<-s.calls
	must.NoError(t, conn.Close())
	must.Eq(t, "1", <-s.left)
}

func TestBodiesArriveWhole(t *testing.T) {
	s := newStage(t, "1", "2")
	conn := s.dial()
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\nhello")
	must.Eq(t, "hello", string((<-s.calls).Request().Body()))
	s.reply["1"] <- answer("")
	r := bufio.NewReader(conn)
	read(t, r)
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")
	must.Eq(t, "abcde", string((<-s.calls).Request().Body()))
	s.reply["2"] <- answer("")
	read(t, r)
}

func TestRequestsThatParsersReadDifferentlyAreRefused(t *testing.T) {
	post := "POST /a/1 HTTP/1.1\r\nHost: x\r\n"
	cases := map[string]struct {
		text   string
		status int
	}{
		"two lengths":        {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", http.StatusBadRequest},
		"same length twice":  {post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", http.StatusBadRequest},
		"length and chunks":  {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"signed length":      {post + "Content-Length: +5\r\n\r\nhello", http.StatusBadRequest},
		"other encoding":     {post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"folded line":        {post + "X-A: b\r\n c\r\n\r\n", http.StatusBadRequest},
		"space before colon": {post + "Content-Length : 5\r\n\r\nhello", http.StatusBadRequest},
		"bare line feed":     {"GET /a/1 HTTP/1.1\nHost: x\n\n", http.StatusBadRequest},
		"no host":            {"GET /a/1 HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"two hosts":          {"GET /a/1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", http.StatusBadRequest},
		"bad chunk size":     {post + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest},
		"chunk too long":     {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest},
		"head too long":      {"GET /a/1 HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 17<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStage(t)
			conn := s.dial()
			send(t, conn, c.text)
			r := bufio.NewReader(conn)
			status, _ := read(t, r)
			must.Eq(t, c.status, status)
			_, err := r.ReadByte()
			must.ErrorIs(t, err, io.EOF)
			must.Eq(t, 0, len(s.calls))
		})
	}
}

func TestBodyBeyondTheLimitIsRefused(t *testing.T) {
	s := newStage(t)
	s.front.SetLimits(routeconfig.NewLimits(0, 8, 0, 0))
	conn := s.dial()
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789")
	status, _ := read(t, bufio.NewReader(conn))
	must.Eq(t, http.StatusRequestEntityTooLarge, status)
	must.Eq(t, 0, len(s.calls))
}

func TestSlowHeadAndIdleConnectionEnd(t *testing.T) {
	s := newStage(t)
	s.front.SetLimits(routeconfig.NewLimits(0, 0, 100*time.Millisecond, 200*time.Millisecond))
	slow, idle := s.dial(), s.dial()
	send(t, slow, "GET /a")
	status, _ := read(t, bufio.NewReader(slow))
	must.Eq(t, http.StatusRequestTimeout, status)
	_, err := idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func FuzzCheckHead(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		if frontend.ValidateHeader([]byte(text)) != nil {
			return
		}
		lower := strings.ToLower(text)
		must.False(t, strings.Contains(lower, "\r\ncontent-length:") && strings.Contains(lower, "\r\ntransfer-encoding:"))
		must.False(t, strings.Contains(text, "\r\n "))
	})
}
