package frontend_test

import (
	"bufio"
	"bytes"
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

// testFrontend is a frontend whose handler is controlled by the test.
type testFrontend struct {
	frontend  *frontend.Frontend
	dial      func() net.Conn
	calls     chan dispatch.Call
	cancelled chan string
	responses map[string]chan *upstream.Response
}

func newTestFrontend(t *testing.T, ids ...string) *testFrontend {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	log := eventlog.New(io.Discard, clock, "host-1")
	s := &testFrontend{calls: make(chan dispatch.Call, 64), cancelled: make(chan string, 64), responses: map[string]chan *upstream.Response{}}
	for _, id := range ids {
		s.responses[id] = make(chan *upstream.Response, 1)
	}
	serve := func(ctx context.Context, c dispatch.Call) *upstream.Response {
		s.calls <- c
		select {
		case a := <-s.responses[c.Request().ID()]:
			return a
		case <-ctx.Done():
			s.cancelled <- c.Request().ID()
			return nil
		}
	}
	s.frontend = frontend.New(frontend.NewConfig(headernames.Default(), "shop", func(id string) bool { return strings.Contains(id, "/") }), serve, upstream.NewBodyMemory(1<<20), clock, log)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go s.frontend.Run(ctx, listener)
	s.dial = func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		return conn
	}
	return s
}

func getRequest(id, extra string) string {
	return "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Timeout-Ms: 900\r\n" + extra + "\r\n"
}

func okResponse(text string) *upstream.Response {
	return upstream.NewResponse(http.StatusOK, http.Header{}, []byte(text))
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	must.NoError(t, err)
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestDrain_InFlightRequestCompletes(t *testing.T) {
	s := newTestFrontend(t, "1")
	conn := s.dial()
	send(t, conn, getRequest("1", "Connection: close\r\n"))
	<-s.calls
	s.frontend.Drain()
	time.Sleep(1300 * time.Millisecond)
	s.responses["1"] <- okResponse("late")
	status, body := readResponse(t, bufio.NewReader(conn))
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "late", body)
}

func TestDrain_ClosesIdleConnectionsAndDeliversResponses(t *testing.T) {
	s := newTestFrontend(t, "1")
	idle, busy := s.dial(), s.dial()
	send(t, busy, getRequest("1", ""))
	<-s.calls
	s.frontend.Drain()
	n, err := idle.Read(make([]byte, 1))
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, io.EOF)
	s.responses["1"] <- okResponse("x")
	_, body := readResponse(t, bufio.NewReader(busy))
	must.Eq(t, "x", body)
}

func TestPipelining_RunsConcurrentlyAndAnswersInOrder(t *testing.T) {
	s := newTestFrontend(t, "1", "2", "3")
	conn := s.dial()
	send(t, conn, getRequest("1", "")+getRequest("2", "")+getRequest("3", ""))
	for range 3 {
		<-s.calls
	}
	s.responses["3"] <- okResponse("three")
	s.responses["2"] <- okResponse("two")
	s.responses["1"] <- okResponse("one")
	r := bufio.NewReader(conn)
	for _, want := range []string{"one", "two", "three"} {
		_, body := readResponse(t, r)
		must.Eq(t, want, body)
	}
}

func TestCallerDisconnect_CancelsAllRequests(t *testing.T) {
	s := newTestFrontend(t, "1", "2")
	conn := s.dial()
	send(t, conn, getRequest("1", "")+getRequest("2", ""))
	<-s.calls
	<-s.calls
	must.NoError(t, conn.Close())
	got := map[string]bool{<-s.cancelled: true, <-s.cancelled: true}
	must.MapEq(t, map[string]bool{"1": true, "2": true}, got)
}

func TestCallerDisconnect_DetectedAfterLastRequest(t *testing.T) {
	s := newTestFrontend(t, "1")
	conn := s.dial()
	send(t, conn, getRequest("1", "Connection: close\r\n"))
	<-s.calls
	must.NoError(t, conn.Close())
	must.Eq(t, "1", <-s.cancelled)
}

func TestBody_LengthAndChunkedArriveComplete(t *testing.T) {
	s := newTestFrontend(t, "1", "2")
	conn := s.dial()
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\nhello")
	must.Eq(t, "hello", string((<-s.calls).Request().Body()))
	s.responses["1"] <- okResponse("")
	r := bufio.NewReader(conn)
	readResponse(t, r)
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")
	must.Eq(t, "abcde", string((<-s.calls).Request().Body()))
	s.responses["2"] <- okResponse("")
	readResponse(t, r)
}

func TestRequest_AmbiguousFramingIsRejected(t *testing.T) {
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
			s := newTestFrontend(t)
			conn := s.dial()
			send(t, conn, c.text)
			r := bufio.NewReader(conn)
			status, _ := readResponse(t, r)
			must.Eq(t, c.status, status)
			_, err := r.ReadByte()
			must.ErrorIs(t, err, io.EOF)
			must.Eq(t, 0, len(s.calls))
		})
	}
}

func TestBody_OverLimitIsRejected(t *testing.T) {
	s := newTestFrontend(t)
	s.frontend.SetLimits(routeconfig.NewLimits(0, 8, 0, 0))
	conn := s.dial()
	send(t, conn, "POST /a/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789")
	status, _ := readResponse(t, bufio.NewReader(conn))
	must.Eq(t, http.StatusRequestEntityTooLarge, status)
	must.Eq(t, 0, len(s.calls))
}

func TestTimeouts_CloseSlowAndIdleConnections(t *testing.T) {
	s := newTestFrontend(t)
	s.frontend.SetLimits(routeconfig.NewLimits(0, 0, 100*time.Millisecond, 200*time.Millisecond))
	slow, idle := s.dial(), s.dial()
	send(t, slow, "GET /a")
	status, _ := readResponse(t, bufio.NewReader(slow))
	must.Eq(t, http.StatusRequestTimeout, status)
	_, err := idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func FuzzValidateHeader(f *testing.F) {
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

// TestBody_WithoutMemoryIsRefusedWithRetryAfter has more bodies arrive than the node
// may hold. They count while they are being read; a request with a short body is served.
func TestBody_WithoutMemoryIsRefusedWithRetryAfter(t *testing.T) {
	s := newTestFrontend(t, "1", "2")
	s.frontend.SetLimits(routeconfig.NewLimits(16<<10, 4<<20, time.Second, time.Second))
	held := s.dial()
	send(t, held, "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 1\r\nContent-Length: 700000\r\n\r\n"+strings.Repeat("a", 600000))
	time.Sleep(100 * time.Millisecond)
	short := s.dial()
	send(t, short, "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 2\r\nContent-Length: 1\r\n\r\na")
	<-s.calls
	refused := s.dial()
	send(t, refused, "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 3\r\nContent-Length: 700000\r\n\r\n"+strings.Repeat("a", 700000))
	response, err := http.ReadResponse(bufio.NewReader(refused), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "0.2", response.Header.Get("Retry-After"))
}

// TestBody_LongChunkLineIsRejected guards against one malformed body that cancels the
// other requests of its connection.
func TestBody_LongChunkLineIsRejected(t *testing.T) {
	s := newTestFrontend(t, "1")
	conn := s.dial()
	send(t, conn, getRequest("1", "")+"POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("x", 8<<10))
	<-s.calls
	time.Sleep(50 * time.Millisecond)
	s.responses["1"] <- okResponse("first")
	reader := bufio.NewReader(conn)
	status, body := readResponse(t, reader)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "first", body)
	status, _ = readResponse(t, reader)
	must.Eq(t, http.StatusBadRequest, status)
}

// TestDrain_LastResponseClosesConnection guards against a caller that sends another
// request on a connection that the node is about to close.
func TestDrain_LastResponseClosesConnection(t *testing.T) {
	s := newTestFrontend(t, "1")
	conn := s.dial()
	send(t, conn, getRequest("1", ""))
	<-s.calls
	s.frontend.Drain()
	time.Sleep(1200 * time.Millisecond)
	s.responses["1"] <- okResponse("x")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.True(t, response.Close)
}

func FuzzConnection(f *testing.F) {
	f.Add(getRequest("1", "") + getRequest("2", "Connection: close\r\n"))
	f.Add("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nab")
	f.Add("\r\n\r\nGET / HTTP/1.0\r\nHost: a\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		clock := clockwork.NewRealClock()
		var log bytes.Buffer
		events := eventlog.New(&log, clock, "host-1")
		go events.Run(ctx)
		serve := func(context.Context, dispatch.Call) *upstream.Response { return okResponse("x") }
		front := frontend.New(frontend.NewConfig(headernames.Default(), "shop", func(string) bool { return false }), serve, upstream.NewBodyMemory(1<<20), clock, events)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go front.Run(ctx, listener)
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, _ = io.WriteString(conn, text)
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, conn)
		must.NoError(t, conn.Close())
		must.NoError(t, listener.Close())
		cancel()
		<-events.Done()
		must.StrNotContains(t, log.String(), `"event":"panic"`)
	})
}

// TestHeadResponse_StatesNoLengthThatIsNotKnown guards against a Content-Length of 0 in the
// response to a HEAD request: the server's response has no body, but its resource may have one,
// which the caller would take to be empty.
func TestHeadResponse_StatesNoLengthThatIsNotKnown(t *testing.T) {
	s := newTestFrontend(t, "a", "b", "c")
	conn := s.dial()
	r := bufio.NewReader(conn)
	for _, c := range []struct {
		id       string
		response *upstream.Response
		length   string
	}{
		{"a", upstream.NewResponse(http.StatusOK, http.Header{}, nil), ""},
		{"b", upstream.NewResponse(http.StatusNotFound, http.Header{}, []byte("no such thing")), "13"},
	} {
		send(t, conn, strings.Replace(getRequest(c.id, ""), "GET", "HEAD", 1))
		<-s.calls
		s.responses[c.id] <- c.response
		response, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
		must.NoError(t, err)
		must.Eq(t, c.length, response.Header.Get("Content-Length"))
	}
	send(t, conn, getRequest("c", ""))
	s.responses["c"] <- okResponse("next")
	status, body := readResponse(t, r)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "next", body)
}
