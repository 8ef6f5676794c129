// Package servers starts the tasks beside the servers of this host.
package servers

import (
	"context"
	"time"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/member"
	"savorygap.example/lib/node"
	"savorygap.example/lib/server"
	"savorygap.example/lib/task"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const pollInterval = 20 * time.Millisecond

// String names the step.
func String() string { return "servers" }

// Default fills the settings; there are none.
func Default(*settings.Tree) {}

// Run starts the registry. What it publishes reaches the control task through
// a slot that holds the newest list, so that neither waits for the other.
func Run(p *process.Process) error {
	serverChart, err := p.Charts().Chart("server")
	if err != nil {
		return err
	}
	newest := task.NewLatest[[]server.Status]()
	registry := server.NewRegistry(p.Clock(), serverChart, newest.Put)
	ask := func(ctx context.Context, name, peer string, c attempt.Call) (*attempt.Response, error) {
		return p.Client().Attempt(ctx, node.NewPeer(name, peer), c, nil)
	}
	p.SetRegistry(registry)
	p.SetRunner(server.NewRunner(registry, p.Ledger(), p.Settings().Host(), p.Clock().Now, ask))
	p.Go(registry.Run)
	p.Go(func(ctx context.Context) { forward(ctx, p, newest) })
	return nil
}

func forward(ctx context.Context, p *process.Process, newest *task.Latest[[]server.Status]) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-newest.Values():
			p.Control().SetServers(open(list))
		}
	}
}

func open(list []server.Status) []member.Server {
	out := make([]member.Server, 0, len(list))
	for _, l := range list {
		if l.Accepting() {
			out = append(out, member.NewServer(l.Service(), l.Address(), l.Slots(), l.AnnouncedAt()))
		}
	}
	return out
}

// Drain closes admission and waits until no server of this host holds a
// request of this node.
func Drain(ctx context.Context, p *process.Process) {
	p.Registry().Drain()
	for ctx.Err() == nil && busy(ctx, p) {
		select {
		case <-ctx.Done():
		case <-p.Clock().After(pollInterval):
		}
	}
}

func busy(ctx context.Context, p *process.Process) bool {
	for _, k := range p.Registry().Proxies(ctx) {
		if d, ok := k.Dump(ctx); ok && d.InFlight() > 0 {
			return true
		}
	}
	return false
}
