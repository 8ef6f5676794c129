package servertest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"savorygap.example/lib/server"
	"savorygap.example/lib/task"
)

const announceInterval = time.Second

// Announcer is the task that regularly announces a server to the node on its host.
type Announcer struct {
	node     string
	form     server.AnnouncementForm
	client   *http.Client
	draining *task.Latest[bool]
	silent   *task.Latest[bool]
	instance *task.Latest[string]
}

// NewAnnouncer returns an announcer of the server at address. node is the host:port
// of the node's local listener.
func NewAnnouncer(node, service, address string, slots, connections int) *Announcer {
	return &Announcer{
		node: node, client: &http.Client{Timeout: announceInterval},
		form:     server.AnnouncementForm{Service: service, Address: address, Slots: slots, Connections: connections, Instance: uuid.NewString()},
		draining: task.NewLatest[bool](), silent: task.NewLatest[bool](), instance: task.NewLatest[string](),
	}
}

// SetDraining sets whether the server is announced as draining.
func (a *Announcer) SetDraining(draining bool) { a.draining.Put(draining) }

// SetSilent suspends or resumes the announcements.
func (a *Announcer) SetSilent(silent bool) { a.silent.Put(silent) }

// Restart announces a new instance of the server.
func (a *Announcer) Restart() { a.instance.Put(uuid.NewString()) }

// Run announces the server until ctx ends, then withdraws the announcement.
func (a *Announcer) Run(ctx context.Context) {
	silent := false
	for {
		if !silent {
			_ = a.send(ctx, http.MethodPut)
		}
		select {
		case <-ctx.Done():
			deleteCtx, cancel := context.WithTimeout(context.Background(), announceInterval)
			defer cancel()
			_ = a.send(deleteCtx, http.MethodDelete)
			return
		case a.form.Draining = <-a.draining.Values():
		case silent = <-a.silent.Values():
		case a.form.Instance = <-a.instance.Values():
		case <-time.After(announceInterval):
		}
	}
}

func (a *Announcer) send(ctx context.Context, method string) error {
	text, err := json.Marshal(a.form)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.node+"/v1/servers", bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return fmt.Errorf("announce server %q to node %q: status %d: %s", a.form.Address, a.node, response.StatusCode, body)
	}
	return nil
}
