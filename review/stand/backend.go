package stand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"savorygap.example/platform"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	heartbeatRetry    = 300 * time.Millisecond
)

var names = platform.HeaderNames()

// Backend is one incarnation of a sound backend.
type Backend struct {
	id       string
	service  string
	zone     string
	slots    int
	work     time.Duration
	bornMs   int64
	record   *Record
	address  string
	server   *http.Server
	running  atomic.Int64
	sequence atomic.Uint64
	state    atomic.Value // string
	coldEnd  atomic.Int64 // Unix milliseconds
	stopped  chan struct{}
	// AnswerBytes is the least size of a body.
	AnswerBytes int
	OnRun       func(id, uri string, at time.Time)
	// OnBrokenOff is called when the connection of a request closes during its run.
	OnBrokenOff func(id string, at time.Time)
}

// NewBackend returns a backend that works for the given time on each request.
func NewBackend(record *Record, id, service, zone string, slots int, work time.Duration) *Backend {
	b := &Backend{id: id, service: service, zone: zone, slots: slots, work: work, bornMs: time.Now().UnixMilli(), record: record, stopped: make(chan struct{}), OnRun: func(string, string, time.Time) {}, OnBrokenOff: func(string, time.Time) {}}
	b.state.Store("ready")
	return b
}

// ID returns the id.
func (b *Backend) ID() string { return b.id }

// SetCold makes the backend cold for a time from now on.
func (b *Backend) SetCold(d time.Duration) { b.coldEnd.Store(time.Now().Add(d).UnixMilli()) }

func (b *Backend) coldLeft() time.Duration {
	return max(0, time.Until(time.UnixMilli(b.coldEnd.Load())))
}

// Serve listens on the address.
func (b *Backend) Serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address = address
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle)}
	go func() { _ = b.server.Serve(l) }()
	b.record.Add("backend %s of service %s listens at %s", b.id, b.service, address)
	return nil
}

// Crash ends the backend without a word.
func (b *Backend) Crash() {
	close(b.stopped)
	_ = b.server.Close()
	b.record.Add("backend %s of service %s has crashed", b.id, b.service)
}

func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(names.InstanceID(), b.id)
	h.Set(names.Load(), fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
	h.Set("Keep-Alive", "timeout=5")
	if r.URL.Path == "/healthz" {
		if left := b.coldLeft(); left > 0 {
			h.Set(names.ColdRemaining(), strconv.FormatInt(left.Milliseconds(), 10))
		}
		if b.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names.AttemptID())
	h.Set(names.AttemptID(), id)
	if expected := r.Header.Get(names.ExpectedInstance()); expected != "" && expected != b.id {
		b.record.Add("backend %s of service %s answers 421 to request %s, which expects %s", b.id, b.service, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	b.record.Add("backend %s of service %s runs request %s (%s %s, %d bytes, expects instance %q)", b.id, b.service, id, r.Method, r.RequestURI, len(body), r.Header.Get(names.ExpectedInstance()))
	b.OnRun(id, r.RequestURI, time.Now())
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.record.Add("backend %s is still at work on request %s when its connection closes", b.id, id)
		b.OnBrokenOff(id, time.Now())
		return
	}
	sum := sha256.Sum256(body)
	text := fmt.Sprintf("%s %s %s %s", b.id, r.Method, id, hex.EncodeToString(sum[:8]))
	text += strings.Repeat(".", max(0, b.AnswerBytes-len(text)))
	h.Set(names.Signature(), "seal-"+b.id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// Heartbeat sends one heartbeat to a node and reports whether it was acknowledged.
func (b *Backend) Heartbeat(ctx context.Context, to string) bool {
	state := b.state.Load().(string)
	body, err := json.Marshal(map[string]any{
		"Address": b.address, "born": b.bornMs,
		"Info":   map[string]any{"Service": b.service, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status": map[string]any{"State": state, "Sequence": b.sequence.Add(1), "ColdLeftS": b.coldLeft().Seconds()},
	})
	if err != nil {
		return false
	}
	return b.call(ctx, http.MethodPut, to, body)
}

func (b *Backend) call(ctx context.Context, method, to string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to+"/v1/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}

// KeepHeartbeats sends heartbeats until the backend ends, the first one after a delay.
func (b *Backend) KeepHeartbeats(to string, delay time.Duration) {
	select {
	case <-b.stopped:
		return
	case <-time.After(delay):
	}
	first := true
	for {
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
		ok := b.Heartbeat(ctx, to)
		cancel()
		if first && ok {
			b.record.Add("first heartbeat of backend %s of service %s is acknowledged", b.id, b.service)
			first = false
		}
		pause := heartbeatInterval
		if !ok {
			pause = heartbeatRetry
		}
		select {
		case <-b.stopped:
			return
		case <-time.After(pause):
		}
	}
}
