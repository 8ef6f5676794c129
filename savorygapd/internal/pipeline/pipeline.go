// Package pipeline lists the steps that start a node, in order.
//
// Each step is a package with the same three functions: String returns its name,
// Default fills in its default settings and Run starts its tasks.
//
// # Usage
//
//	pipeline.Default(tree)
//	err := pipeline.Run(p)
package pipeline

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"

	"savorygap.example/savorygapd/internal/callers"
	"savorygap.example/savorygapd/internal/calls"
	"savorygap.example/savorygapd/internal/certificates"
	"savorygap.example/savorygapd/internal/control"
	"savorygap.example/savorygapd/internal/local"
	"savorygap.example/savorygapd/internal/logs"
	"savorygap.example/savorygapd/internal/operators"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/routing"
	"savorygap.example/savorygapd/internal/servers"
	"savorygap.example/savorygapd/internal/settings"
	"savorygap.example/savorygapd/internal/storage"
)

// Step is one step of the start of a node.
type Step struct {
	name     func() string
	defaults func(*settings.Tree)
	run      func(*process.Process) error
}

// Steps returns all steps in the order in which they run.
func Steps() []Step {
	return []Step{
		{logs.String, logs.Default, logs.Run},
		{certificates.String, certificates.Default, certificates.Run},
		{storage.String, storage.Default, storage.Run},
		{routing.String, routing.Default, routing.Run},
		{servers.String, servers.Default, servers.Run},
		{control.String, control.Default, control.Run},
		{calls.String, calls.Default, calls.Run},
		{callers.String, callers.Default, callers.Run},
		{operators.String, operators.Default, operators.Run},
		{local.String, local.Default, local.Run},
	}
}

// Default fills in the defaults of all settings that are not set.
func Default(tree *settings.Tree) {
	for _, s := range Steps() {
		s.defaults(tree)
	}
}

// Run runs all steps in order, until one fails.
func Run(p *process.Process) error {
	for _, s := range Steps() {
		if err := runStep(p, s); err != nil {
			return err
		}
	}
	return nil
}

// runStep runs a step and logs it. Its error names the step.
func runStep(p *process.Process, s Step) error {
	if err := s.run(p); err != nil {
		return merry.Wrap(fmt.Errorf("start %s: %w", s.name(), err))
	}
	return level.Debug(p.Logger()).Log("event", "step", "step", s.name())
}
