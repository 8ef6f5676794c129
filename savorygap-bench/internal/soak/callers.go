package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"savorygap.example/lib/task"
	"savorygap.example/platform"
	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	requestsPerSecond = 20 // per host
	callerTimeout     = 1500 * time.Millisecond
	archiveBytes      = 40 << 10
	probeInterval     = 200 * time.Millisecond
)

// flow is a kind of request and its share of the load.
type flow struct {
	name       string
	method     string
	path       string
	service    string
	bodySize   int
	idempotent bool
	anonymous  bool // needs no key
	weight     float64
}

func flows() []flow {
	return []flow{
		{name: "logs", method: http.MethodGet, path: "/logview/today", service: "logview", idempotent: true, weight: 0.55},
		{name: "open", method: http.MethodGet, path: "/open/today", service: "logview", idempotent: true, anonymous: true, weight: 0.05},
		{name: "findings", method: http.MethodPost, path: "/findings/new", service: "findings", bodySize: 300, weight: 0.3},
		{name: "archive", method: http.MethodPost, path: "/sensorhub/archive", service: "sensorhub", bodySize: archiveBytes, weight: 0.1},
	}
}

// sample is one request as observed by its caller.
type sample struct {
	id                string
	flow              flow
	credential        credential
	host              *cluster.Host
	sent              time.Time
	ended             time.Time
	status            int
	complete          bool
	signed            bool
	overQuota         bool // refused because its tenant is above its limit
	connectionRefused bool // the request was not sent
	cancelled         bool // the caller was set to cancel before its stated timeout
	version           int64
}

// answered reports whether a complete response arrived.
func (s sample) answered() bool { return s.status != 0 && s.complete }

// notRun reports whether the response guarantees that the request was not executed.
func (s sample) notRun() bool {
	switch s.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return s.complete
	}
	return false
}

// callers is the task that records the requests sent to the hosts and their outcomes.
type callers struct {
	inbox *task.Inbox[callersMessage]
}

// callersMessage is a closed union; exactly one part is set.
type callersMessage struct {
	sample *sample
	read   task.Reply[[]sample]
}

func newCallers() *callers { return &callers{inbox: task.NewInbox[callersMessage](1024)} }

// run records samples until ctx ends.
func (c *callers) run(ctx context.Context) {
	var samples []sample
	c.inbox.Run(ctx, func(m callersMessage) {
		if m.sample != nil {
			samples = append(samples, *m.sample)
			return
		}
		m.read <- append([]sample(nil), samples...)
	})
}

func (c *callers) record(s sample) { c.inbox.Send(callersMessage{sample: &s}) }

func (c *callers) samples(ctx context.Context) []sample {
	reply := task.NewReply[[]sample]()
	if !c.inbox.Send(callersMessage{read: reply}) {
		return nil
	}
	list, _ := reply.Wait(ctx, c.inbox.Done())
	return list
}

// load sends perSecond requests a second to a host until sending ends, with keys that pick
// draws. Its connections stay open while
// the node shuts down, until the process exits.
func (c *callers) load(sending context.Context, h *cluster.Host, rng *rand.Rand, perSecond float64, pick func(*rand.Rand, flow) credential) {
	client := newClient()
	defer client.CloseIdleConnections()
	for sending.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		f := pickFlow(rng)
		credential := pick(rng, f)
		wait := callerTimeout
		if rng.Float64() < 0.02 {
			wait = cluster.ServiceTime / 2
		}
		go func() {
			c.record(send(client, h, f, credential, f.path, wait))
		}()
	}
}

// probe requests the route of the latest configuration version with its key from a host at
// regular intervals, and another route with the key that the version removed.
func (c *callers) probe(sending context.Context, h *cluster.Host, version func() int64) {
	client := newClient()
	defer client.CloseIdleConnections()
	f := flow{name: "marker", method: http.MethodGet, service: "logview", idempotent: true}
	removed := flow{name: "removed key", method: http.MethodGet, service: "logview", idempotent: true}
	for sending.Err() == nil {
		time.Sleep(probeInterval)
		v := version()
		for _, s := range []sample{
			send(client, h, f, markerCredential(v), platformtest.MarkerPrefix(v)+"/x", callerTimeout),
			send(client, h, removed, markerCredential(v-2), "/logview/today", callerTimeout),
		} {
			s.version = v
			c.record(s)
		}
	}
}

func pickFlow(rng *rand.Rand) flow {
	x := rng.Float64()
	for _, f := range flows() {
		if x -= f.weight; x < 0 {
			return f
		}
	}
	return flows()[0]
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// send sends one request and reads the complete response. The request states the
// timeout callerTimeout; a shorter wait simulates a caller that cancels early. It also
// carries the name of a tenant, which no server may get.
func send(client *http.Client, h *cluster.Host, f flow, c credential, path string, wait time.Duration) sample {
	s := sample{id: uuid.NewString(), flow: f, credential: c, host: h, sent: time.Now(), cancelled: wait < callerTimeout}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	body := ""
	if f.bodySize > 0 {
		body = s.id + strings.Repeat("x", f.bodySize)
	}
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+h.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	request.Host = platformtest.VirtualHost
	names := platform.HeaderNames()
	request.Header.Set(names.AttemptID(), s.id)
	request.Header.Set(names.Tenant(), forgedTenant)
	if c.key != "" {
		request.Header.Set("Authorization", platform.AuthenticationScheme+" "+c.key)
	}
	request.Header.Set(names.Timeout(), strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	response, err := client.Do(request)
	s.ended = time.Now()
	if err != nil {
		s.connectionRefused = strings.Contains(err.Error(), "connection refused")
		return s
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	s.ended = time.Now()
	s.status, s.signed = response.StatusCode, response.Header.Get(names.Signature()) != ""
	s.overQuota = response.StatusCode == http.StatusTooManyRequests && bytes.Contains(text, []byte(`"over-quota"`))
	s.complete = err == nil && (response.StatusCode >= http.StatusMultipleChoices || isComplete(text, s, body))
	return s
}

// isComplete reports whether the body of a successful response is the complete
// response of the server to this request.
func isComplete(text []byte, s sample, body string) bool {
	want := fmt.Sprintf(" %s %s %s", s.flow.method, s.host.Service(), body)
	if s.flow.method == http.MethodGet {
		want += s.id
	}
	return bytes.HasSuffix(text, []byte(want))
}
