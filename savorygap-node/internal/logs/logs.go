// Package logs starts the task that writes the log as JSON lines.
package logs

import (
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// String returns the name of the step.
func String() string { return "logs" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run starts the task and logs the start of the process.
func Run(p *process.Process) error {
	go p.Log().Run(p.LogContext())
	t := p.Settings()
	p.Log().Write("start", "data_centre", t.DataCentre(), "region", t.Region(), "service", t.Service(), "server", t.Server())
	return nil
}
