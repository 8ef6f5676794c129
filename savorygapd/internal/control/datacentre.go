package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/savorygapd/internal/process"
)

const (
	eventOut chart.Event = "out"
	eventIn  chart.Event = "in"

	readyPollInterval = 50 * time.Millisecond

	// peerSyncTimeout is how long a node waits to synchronise its membership with a
	// peer. After that it becomes ready without one, once it has read a configuration
	// from the store.
	peerSyncTimeout = 3 * time.Second
)

// dataCentreState suspends the servers of this host while the configuration takes
// their data centre out of service, after the chart "datacentre". It belongs to the
// gossip agent's goroutine.
type dataCentreState struct {
	process *process.Process
	machine *chart.Machine
}

func newDataCentreState(p *process.Process) *dataCentreState {
	s := &dataCentreState{process: p}
	dataCentreChart, err := p.Charts().Chart("datacentre")
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "chart", "error", err)
		return s
	}
	s.machine, err = dataCentreChart.NewMachine(chart.Actions{
		"suspendServers": func() { p.ServerRegistry().SetSuspended(true) },
		"resumeServers":  func() { p.ServerRegistry().SetSuspended(false) },
	})
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "chart", "error", err)
	}
	return s
}

func (s *dataCentreState) apply(routes *document.Routes) {
	e := eventIn
	if routes.OutOfService(s.process.Settings().DataCentre()) {
		e = eventOut
	}
	if err := s.machine.Fire(e); err != nil {
		_ = level.Error(s.process.Logger()).Log("event", "data centre", "error", err)
	}
}

// awaitConfiguration reports the process as configured once a revision is in force
// and the membership is synchronised with a linked peer. Without such a peer it does
// so after isolatedTimeout.
func awaitConfiguration(ctx context.Context, p *process.Process) {
	started := p.Clock().Now()
	for ctx.Err() == nil {
		d := p.GossipAgent().Dump(ctx)
		timedOut := p.Clock().Now().Sub(started) > peerSyncTimeout
		if d.ConfigState() == "current" && (d.Synced() && len(d.Links()) > 0 || timedOut) {
			p.Configured()
			return
		}
		select {
		case <-ctx.Done():
		case <-p.Clock().After(readyPollInterval):
		}
	}
}
