package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"savorygap.example/platform"
)

const (
	slots        = 12
	beatInterval = 1500 * time.Millisecond
	beatRetry    = 500 * time.Millisecond
)

// Arrivals at a server.
const (
	ran      = "runs"
	rejected = "rejects"
)

// execution is a request that arrived at a server.
type execution struct {
	at      time.Time
	server  string
	service string
	what    string
	id      string
	tenant  string
}

// backend is a server as the platform's pages describe it.
type backend struct {
	host     *host
	id       string
	zone     string
	work     time.Duration
	born     int64
	running  atomic.Int64
	shed     atomic.Int64 // percent of the requests that it rejects
	sequence atomic.Int64
	server   *http.Server
}

func newBackend(h *host, id, zone string, work time.Duration) *backend {
	return &backend{host: h, id: id, zone: zone, work: work, born: time.Now().UnixMilli()}
}

func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.host.address(portServer))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(b.handle)}
	b.server = server
	go func() { _ = server.Serve(listener) }()
	go b.beat()
	return nil
}

func (b *backend) stop() {
	if b.server != nil {
		_ = b.server.Close()
	}
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	names, header := platform.HeaderNames(), w.Header()
	header.Set(names.InstanceID(), b.id)
	header.Set(names.Load(), fmt.Sprintf("%d,0,%d,100", b.running.Load(), slots))
	header.Set("Keep-Alive", "timeout=5")
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(names.AttemptID())
	header.Set(names.AttemptID(), id)
	e := execution{at: time.Now(), server: b.id, service: b.host.service, what: ran, id: id, tenant: r.Header.Get(names.Tenant())}
	reject := func(status int) {
		e.what = rejected
		b.host.fleet.runs <- e
		header.Set(names.NotRun(), "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get(names.ExpectedInstance()); expected != "" && expected != b.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if rand.Int64N(100) < b.shed.Load() || b.running.Load() >= slots {
		reject(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	b.host.fleet.runs <- e
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	text := fmt.Sprintf("%s %s %d", b.id, id, len(body))
	header.Set(names.Signature(), "seal-"+b.id+"-"+id)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// beat sends heartbeats to the node beside the server until the case ends.
func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second}
	for b.host.fleet.ctx.Err() == nil {
		pause := beatInterval
		if !b.beatOnce(client) {
			pause = beatRetry
		}
		time.Sleep(pause)
	}
}

func (b *backend) beatOnce(client *http.Client) bool {
	body, err := json.Marshal(map[string]any{
		"Address": b.host.address(portServer), "born": b.born,
		"Info":   map[string]any{"Service": b.host.service, "Version": "v1", "Zone": b.zone, "Slots": slots},
		"Status": map[string]any{"State": "ready", "Sequence": b.sequence.Add(1), "ColdLeftS": 0},
	})
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+b.host.address(portAnnouncements)+"/v1/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
