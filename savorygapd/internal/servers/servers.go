// Package servers starts the registry of the servers of this host and the runner of
// attempts on them.
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

const drainPollInterval = 20 * time.Millisecond

// String returns the name of the step.
func String() string { return "servers" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run starts the registry. It passes its lists of servers to the gossip agent through
// a slot that holds the latest one, so that neither task waits for the other.
func Run(p *process.Process) error {
	serverChart, err := p.Charts().Chart("server")
	if err != nil {
		return err
	}
	latest := task.NewLatest[[]server.Status]()
	registry := server.NewRegistry(p.Clock(), serverChart, latest.Put)
	queryFence := func(ctx context.Context, name, address string, c attempt.Call) (*attempt.Response, error) {
		return p.Client().Attempt(ctx, node.NewPeer(name, address), c, nil)
	}
	p.SetServerRegistry(registry)
	p.SetRunner(server.NewRunner(registry, p.IdempotencyTracker(), p.Settings().Host(), p.Clock().Now, queryFence))
	p.Go(registry.Run)
	p.Go(func(ctx context.Context) { publishServers(ctx, p, latest) })
	return nil
}

func publishServers(ctx context.Context, p *process.Process, latest *task.Latest[[]server.Status]) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-latest.Values():
			p.GossipAgent().SetServers(acceptingServers(list))
		}
	}
}

func acceptingServers(list []server.Status) []member.Server {
	out := make([]member.Server, 0, len(list))
	for _, s := range list {
		if s.Accepting() {
			out = append(out, member.NewServer(s.Service(), s.Address(), s.Slots(), s.AnnouncedAt()))
		}
	}
	return out
}

// Drain stops admitting requests to the servers of this host, and waits until none
// is in flight or ctx ends.
func Drain(ctx context.Context, p *process.Process) {
	p.ServerRegistry().Drain()
	for ctx.Err() == nil && hasRequestsInFlight(ctx, p) {
		select {
		case <-ctx.Done():
		case <-p.Clock().After(drainPollInterval):
		}
	}
}

func hasRequestsInFlight(ctx context.Context, p *process.Process) bool {
	for _, sp := range p.ServerRegistry().Proxies(ctx) {
		if d, ok := sp.Dump(ctx); ok && d.InFlight() > 0 {
			return true
		}
	}
	return false
}
