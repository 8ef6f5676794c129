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

	"savorygap.example/savorygap-node/internal/callers"
	"savorygap.example/savorygap-node/internal/links"
	"savorygap.example/savorygap-node/internal/local"
	"savorygap.example/savorygap-node/internal/logs"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/quotas"
	"savorygap.example/savorygap-node/internal/rollouts"
	"savorygap.example/savorygap-node/internal/routing"
	"savorygap.example/savorygap-node/internal/servers"
	"savorygap.example/savorygap-node/internal/settings"
	"savorygap.example/savorygap-node/internal/storage"
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
		{storage.String, storage.Default, storage.Run},
		{routing.String, routing.Default, routing.Run},
		{quotas.String, quotas.Default, quotas.Run},
		{rollouts.String, rollouts.Default, rollouts.Run},
		{servers.String, servers.Default, servers.Run},
		{callers.String, callers.Default, callers.Run},
		{links.String, links.Default, links.Run},
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
		if err := s.run(p); err != nil {
			return merry.Wrap(fmt.Errorf("start %s: %w", s.name(), err))
		}
	}
	return nil
}
