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
	rate      = 20 // requests a second and host
	patience  = 1500 * time.Millisecond
	archive   = 40 << 10 // bytes
	probeRest = 200 * time.Millisecond
)

// flow is one kind of request.
type flow struct {
	name       string
	method     string
	path       string
	service    string
	size       int
	idempotent bool
	weight     float64
}

func flows() []flow {
	return []flow{
		{name: "logs", method: http.MethodGet, path: "/logview/today", service: "logview", idempotent: true, weight: 0.6},
		{name: "findings", method: http.MethodPost, path: "/findings/new", service: "findings", size: 300, weight: 0.3},
		{name: "archive", method: http.MethodPost, path: "/sensorhub/archive", service: "sensorhub", size: archive, weight: 0.1},
	}
}

// sample is one request as its caller saw it.
type sample struct {
	id      string
	flow    flow
	host    *cluster.Host
	sent    time.Time
	ended   time.Time
	status  int
	whole   bool
	sealed  bool
	refused bool // no connection: nothing was sent
	left    bool // the caller left early
	version int64
}

// answered reports whether there was a whole answer.
func (s sample) answered() bool { return s.status != 0 && s.whole }

// notRun reports whether the answer promises that the request has not run.
func (s sample) notRun() bool {
	switch s.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return s.whole
	}
	return false
}

// callers sends requests from every host and writes down what became of them.
type callers struct {
	inbox *task.Inbox[callersMessage]
}

// callersMessage is a closed union; exactly one part is set.
type callersMessage struct {
	sample *sample
	read   task.Reply[[]sample]
}

func newCallers() *callers { return &callers{inbox: task.NewInbox[callersMessage](1024)} }

// run writes samples down until ctx ends.
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

func (c *callers) note(s sample) { c.inbox.Send(callersMessage{sample: &s}) }

func (c *callers) samples(ctx context.Context) []sample {
	reply := task.NewReply[[]sample]()
	if !c.inbox.Send(callersMessage{read: reply}) {
		return nil
	}
	list, _ := reply.Wait(ctx, c.inbox.Done())
	return list
}

// load sends requests to one host until sending ends. Connections are kept, also
// while the node stops, until the process is gone.
func (c *callers) load(sending context.Context, h *cluster.Host, rng *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	for sending.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
		f := pick(rng)
		leave := patience
		if rng.Float64() < 0.02 {
			leave = cluster.ServiceTime / 2
		}
		go func() {
			c.note(send(client, h, f, f.path, leave))
		}()
	}
}

// probe asks one host for the route of the newest version again and again.
func (c *callers) probe(sending context.Context, h *cluster.Host, version func() int64) {
	client := newClient()
	defer client.CloseIdleConnections()
	f := flow{name: "marker", method: http.MethodGet, service: "logview", idempotent: true}
	for sending.Err() == nil {
		time.Sleep(probeRest)
		v := version()
		s := send(client, h, f, platformtest.MarkerPrefix(v)+"/x", patience)
		s.version = v
		c.note(s)
	}
}

func pick(rng *rand.Rand) flow {
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

// send sends one request and reads its whole answer. A caller that leaves early
// has a shorter time to wait than it says.
func send(client *http.Client, h *cluster.Host, f flow, path string, wait time.Duration) sample {
	s := sample{id: uuid.NewString(), flow: f, host: h, sent: time.Now(), left: wait < patience}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	body := ""
	if f.size > 0 {
		body = s.id + strings.Repeat("x", f.size)
	}
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+h.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	request.Host = platformtest.VirtualHost
	names := platform.HeaderNames()
	request.Header.Set(names.AttemptID(), s.id)
	request.Header.Set(names.Timeout(), strconv.FormatInt(patience.Milliseconds(), 10))
	response, err := client.Do(request)
	s.ended = time.Now()
	if err != nil {
		s.refused = strings.Contains(err.Error(), "connection refused")
		return s
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	s.ended = time.Now()
	s.status, s.sealed = response.StatusCode, response.Header.Get(names.Signature()) != ""
	s.whole = err == nil && (response.StatusCode >= http.StatusMultipleChoices || isWhole(text, s, body))
	return s
}

// isWhole reports whether a success is the server's whole answer to this request.
func isWhole(text []byte, s sample, body string) bool {
	want := fmt.Sprintf(" %s %s %s", s.flow.method, s.host.Service(), body)
	if s.flow.method == http.MethodGet {
		want += s.id
	}
	return bytes.HasSuffix(text, []byte(want))
}
