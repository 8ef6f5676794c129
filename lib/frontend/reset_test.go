package frontend_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCallerReset_DuringUploadRunsNothing guards against a request whose body broke off
// and that is passed on: the node writes to the connection meanwhile, and may consume the
// reset there.
func TestCallerReset_DuringUploadRunsNothing(t *testing.T) {
	for n, framing := range []string{"Content-Length: 40\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", "Content-Length: 40\r\nExpect: 100-continue\r\n\r\n"} {
		for range 5 {
			s := newTestFrontend(t, "1", "2")
			conn := s.dial()
			send(t, conn, getRequest("1", "")+fmt.Sprintf("POST /a/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\n%s", framing))
			must.Eq(t, "1", (<-s.calls).Request().ID())
			must.NoError(t, conn.(*net.TCPConn).SetLinger(0))
			must.NoError(t, conn.Close())
			s.responses["1"] <- okResponse("x")
			select {
			case c := <-s.calls:
				t.Fatalf("framing %d: request %q was passed on", n, c.Request().ID())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}
