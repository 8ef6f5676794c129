package callers_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygapd/internal/callers"
	"savorygap.example/savorygapd/internal/settings"
)

func startServer(t *testing.T, headerTimeout time.Duration) string {
	t.Helper()
	tree := &settings.Tree{}
	tree.SetCallerLimits(1<<10, headerTimeout, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := callers.NewServer(tree.CallerLimits(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

func TestServer_AcceptsHTTP1AndHTTP2InClearText(t *testing.T) {
	address := startServer(t, time.Minute)
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(proto == "HTTP/1.1")
		protocols.SetUnencryptedHTTP2(proto == "HTTP/2.0")
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		response, err := client.Get("http://" + address)
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, proto, string(text))
	}
}

func TestServer_RejectsOversizedHeaders(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "http://"+startServer(t, time.Minute), nil)
	must.NoError(t, err)
	request.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	_ = response.Body.Close()
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// The server must close the connection of a caller that does not send the whole
// header within the header timeout.
func TestServer_ClosesConnectionOnSlowHeader(t *testing.T) {
	conn, err := net.Dial("tcp", startServer(t, 50*time.Millisecond))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	must.NoError(t, err)
	response, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.False(t, strings.Contains(string(response), "200 OK"))
}
