package cluster_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-bench/internal/cluster"
)

// memoryLimit is the size above which the platform kills a node, in bytes.
const memoryLimit = 284 << 20

// TestFaultyServer_BytesWithoutEndEndNoNode guards against a server that sends bytes that
// are no answer, in a head or a body, until its connection is closed: the node that called
// it must not keep them all, nor end, since the requests of all its callers end with it.
func TestFaultyServer_BytesWithoutEndEndNoNode(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSavorygap-Attempt-Id: {id}\r\nSavorygap-Server-Seal: s\r\n"
	c, err := cluster.Start(context.Background(), cluster.NewPlan(71, []cluster.HostPlan{
		cluster.NewHostPlan("pamplemousses", "logview"), cluster.NewHostPlan("pamplemousses", "findings"), cluster.NewHostPlan("port-louis", "findings"),
	}))
	must.NoError(t, err)
	defer c.Stop()
	c.Store().Put("op/config", []byte(patientConfiguration))
	must.NoError(t, c.AwaitReady(20*time.Second))
	entry, faulty, sound := c.Hosts()[0], c.Hosts()[1], c.Hosts()[2]
	awaitStatus(t, entry, "/read/1", http.StatusOK)
	time.Sleep(cluster.ColdDuration)
	for name, answer := range map[string]struct{ start, text string }{
		"status line":       {"", "no answer"},
		"header field":      {head + "X-Long: ", "a"},
		"header lines":      {head, "X-More: a\r\n"},
		"body":              {head + "\r\n", "a"},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n"},
		"bodies, then more": {head + "Content-Length: 16000000\r\n\r\n", "a"},
		"interim responses": {"", "HTTP/1.1 103 Early\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			faulty.Server().SetEndless(answer.start, answer.text)
			var group sync.WaitGroup
			for n := range 64 {
				group.Go(func() {
					for i := range 4 {
						status, err := send(entry, http.MethodGet, "/read/1", fmt.Sprint(strings.ReplaceAll(name, " ", "-"), n, "-", i))
						must.NoError(t, err)
						must.Positive(t, status)
					}
				})
			}
			group.Wait()
			for _, h := range []*cluster.Host{entry, faulty, sound} {
				peak, err := h.PeakMemory()
				must.NoError(t, err, must.Sprint("the node ended"))
				must.Less(t, memoryLimit, peak)
				t.Log(h.Name(), peak>>20, "MB")
			}
		})
	}
}
