package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStoppingNode_AnswersWhatItPassedOn stops a node under load. Callers use fresh and
// kept connections and send requests in pairs without waiting for the first answer,
// until the process is gone. A request that a server ran must have been answered.
func TestStoppingNode_AnswersWhatItPassedOn(t *testing.T) {
	const callers = 12
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 60*time.Millisecond)
	answered := make(chan string, 1<<16)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			c := &pipeliningCaller{address: a.addresses["callers"], name: fmt.Sprint("caller-", n), keep: n%2 == 0, answered: answered}
			c.sendUntil(a.done)
		})
	}
	time.Sleep(500 * time.Millisecond)
	a.signals <- syscall.SIGTERM
	group.Wait()
	close(answered)
	got := map[string]bool{}
	for id := range answered {
		got[id] = true
	}
	ran := takeRequestIDs(b.server)
	must.Greater(t, 100, len(ran))
	for _, id := range ran {
		must.True(t, got[id], must.Sprint(id+" ran and was not answered"))
	}
}

// pipeliningCaller sends two requests at a time on a connection, which it keeps or
// opens anew each time, and passes on the ids of those that were answered.
type pipeliningCaller struct {
	address  string
	name     string
	keep     bool
	answered chan<- string
	sent     int
	conn     net.Conn
}

func (c *pipeliningCaller) sendUntil(done <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		if !c.sendPair() || !c.keep {
			c.close()
		}
	}
}

func (c *pipeliningCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendPair reports whether both requests were answered and the connection is kept.
func (c *pipeliningCaller) sendPair() bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			return false
		}
		c.conn = conn
	}
	ids := [2]string{fmt.Sprint(c.name, "-", c.sent), fmt.Sprint(c.name, "-", c.sent+1)}
	c.sent += 2
	var text strings.Builder
	for i, id := range ids {
		// Only a read may be sent behind another request.
		method, path := http.MethodGet, "/read/1"
		if i == 0 && c.sent%4 == 0 {
			method, path = http.MethodPost, "/order/1"
		}
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: farm.example\r\nSavorygap-Attempt-Id: %s\r\nSavorygap-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n", method, path, id)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return false
	}
	reader := bufio.NewReader(c.conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return false
		}
		_ = response.Body.Close()
		c.answered <- id
		if response.Close {
			return false
		}
	}
	return true
}
