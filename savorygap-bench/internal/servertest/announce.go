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

// Announcer is the task that announces a server to the node on its host.
type Announcer struct {
	node     string
	form     server.AnnouncementForm
	client   *http.Client
	draining *task.Latest[bool]
	silent   *task.Latest[bool]
	renewed  *task.Latest[string]
}

// NewAnnouncer returns an announcer of a server at address to the node whose
// local listener is at node.
func NewAnnouncer(node, service, address string, slots, connections int) *Announcer {
	return &Announcer{
		node: node, client: &http.Client{Timeout: announceInterval},
		form:     server.AnnouncementForm{Service: service, Address: address, Slots: slots, Connections: connections, Instance: uuid.NewString()},
		draining: task.NewLatest[bool](), silent: task.NewLatest[bool](), renewed: task.NewLatest[string](),
	}
}

// SetDraining announces that the server leaves, or that it is back.
func (a *Announcer) SetDraining(draining bool) { a.draining.Put(draining) }

// SetSilent stops or resumes the announcements.
func (a *Announcer) SetSilent(silent bool) { a.silent.Put(silent) }

// Restart announces a new run of the server.
func (a *Announcer) Restart() { a.renewed.Put(uuid.NewString()) }

// Run announces until ctx ends, then leaves.
func (a *Announcer) Run(ctx context.Context) {
	silent := false
	for {
		if !silent {
			_ = a.send(ctx, http.MethodPut)
		}
		select {
		case <-ctx.Done():
			leaveCtx, cancel := context.WithTimeout(context.Background(), announceInterval)
			defer cancel()
			_ = a.send(leaveCtx, http.MethodDelete)
			return
		case a.form.Draining = <-a.draining.Values():
		case silent = <-a.silent.Values():
		case a.form.Instance = <-a.renewed.Values():
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
		answer, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return fmt.Errorf("node %q answers %d: %s", a.node, response.StatusCode, answer)
	}
	return nil
}
