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

	readyPoll = 50 * time.Millisecond

	// aloneAfter is how long a node that no peer has answered waits before it
	// serves with what the store gave it.
	aloneAfter = 3 * time.Second
)

// suspension follows what the configuration says of this node's data centre;
// its life cycle is the chart "datacentre". It belongs to the control task.
type suspension struct {
	process *process.Process
	machine *chart.Machine
}

func newSuspension(p *process.Process) *suspension {
	s := &suspension{process: p}
	dataCentreChart, err := p.Charts().Chart("datacentre")
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "chart", "error", err)
		return s
	}
	s.machine, err = dataCentreChart.NewMachine(chart.Actions{
		"suspendServers": func() { p.Registry().SetSuspended(true) },
		"resumeServers":  func() { p.Registry().SetSuspended(false) },
	})
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "chart", "error", err)
	}
	return s
}

func (s *suspension) apply(routes *document.Routes) {
	e := eventIn
	if routes.OutOfService(s.process.Settings().DataCentre()) {
		e = eventOut
	}
	if err := s.machine.Fire(e); err != nil {
		_ = level.Error(s.process.Logger()).Log("event", "data centre", "error", err)
	}
}

// awaitConfiguration declares the process ready once a revision is in force
// and a peer has shared its view, or no peer answers.
func awaitConfiguration(ctx context.Context, p *process.Process) {
	started := p.Clock().Now()
	for ctx.Err() == nil {
		d := p.Control().Dump(ctx)
		waited := p.Clock().Now().Sub(started) > aloneAfter
		if d.ConfigState() == "current" && (d.Synced() && len(d.Links()) > 0 || waited) {
			p.Configured()
			return
		}
		select {
		case <-ctx.Done():
		case <-p.Clock().After(readyPoll):
		}
	}
}
