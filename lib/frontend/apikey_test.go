package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/frontend"
	"savorygap.example/lib/headernames"
	"savorygap.example/lib/upstream"
)

// TestAPIKey_IsPassedOnBesideTheHeader guards against a key that is lost because the caller
// names its field as one of this connection only, and against one that remains in what is
// written about a malformed request.
func TestAPIKey_IsPassedOnBesideTheHeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := make(chan dispatch.Call, 4)
	serve := func(_ context.Context, c dispatch.Call) *upstream.Response {
		calls <- c
		return okResponse("x")
	}
	config := frontend.NewConfig(headernames.Default(), "shop", func(string) bool { return false }).
		WithAPIKey(func(h http.Header) string { return h.Get("Authorization") })
	clock := clockwork.NewRealClock()
	front := frontend.New(config, serve, upstream.NewBodyMemory(1<<20), clock, eventlog.New(io.Discard, clock, "host-1"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go front.Run(ctx, listener)
	for extra, want := range map[string]string{
		"Authorization: kn2f\r\n": "kn2f", "Authorization: kn2f\r\nConnection: Authorization\r\n": "kn2f", "": "",
	} {
		status, _ := exchange(t, listener.Addr().String(), getRequest("1", extra))
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, want, (<-calls).APIKey())
	}
	status, body := exchange(t, listener.Addr().String(), getRequest("1", "Authorization: kn2f\x01\r\n"))
	must.Eq(t, http.StatusBadRequest, status)
	must.StrNotContains(t, body, "kn2f")
	must.Eq(t, 0, len(calls))
}

// exchange sends a request on a connection of its own and returns the response.
func exchange(t *testing.T, address, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	send(t, conn, text)
	return readResponse(t, bufio.NewReader(conn))
}
