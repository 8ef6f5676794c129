// Package chart loads state charts from YAML files and interprets them.
//
// A chart declares the states of a life cycle, the transitions between them on
// events, the actions that a transition runs, and tags. Code tests for tags
// instead of states. The charts of savorygap are the files in charts/. They are
// embedded in the binary and validated when they are loaded.
//
// # Usage
//
//	set, err := chart.Embedded()
//	requestChart, err := set.Chart("request")
//	m, err := requestChart.NewMachine(chart.Actions{"countAttempt": func() { ... }, ...})
//	err = m.Fire("match")
//	if m.HasTag("inFlight") { ... }
//
// A Machine must only be used by one goroutine. A Chart is immutable and safe
// for concurrent use.
package chart

import (
	"fmt"
	"slices"
	"sort"
)

// State is the name of a state.
type State string

// Event is the name of an event that triggers transitions.
type Event string

// Tag is the name of a property that several states may share.
type Tag string

// Actions maps the action names of a chart to functions.
type Actions map[string]func()

// Chart is a validated state chart.
type Chart struct {
	name    string
	doc     string
	initial int
	states  []stateNode
}

type stateNode struct {
	name        State
	doc         string
	tags        []Tag
	transitions map[Event]transition
}

type transition struct {
	target  int
	actions []string
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Doc returns the description of the chart.
func (c *Chart) Doc() string { return c.doc }

// States returns the names of all states in file order.
func (c *Chart) States() []State {
	names := make([]State, 0, len(c.states))
	for _, n := range c.states {
		names = append(names, n.name)
	}
	return names
}

// NewMachine returns a machine in the initial state that runs the given
// actions. It returns *UnboundActionError when an action of the chart is missing.
func (c *Chart) NewMachine(actions Actions) (*Machine, error) {
	for _, name := range c.actionNames() {
		if _, ok := actions[name]; !ok {
			return nil, &UnboundActionError{chart: c.name, action: name}
		}
	}
	return &Machine{chart: c, current: c.initial, actions: actions}, nil
}

// Accepts reports whether the state from has a transition for e.
func (c *Chart) Accepts(from State, e Event) bool {
	for _, n := range c.states {
		if n.name == from {
			_, ok := n.transitions[e]
			return ok
		}
	}
	return false
}

// actionNames returns the sorted names of all actions of the chart.
func (c *Chart) actionNames() []string {
	seen := map[string]bool{}
	for _, n := range c.states {
		for _, t := range n.transitions {
			for _, a := range t.actions {
				seen[a] = true
			}
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Machine is an instance of a chart with a current state. It is not safe for
// concurrent use.
type Machine struct {
	chart   *Chart
	current int
	actions Actions
}

// State returns the current state.
func (m *Machine) State() State { return m.chart.states[m.current].name }

// HasTag reports whether the current state has the tag.
func (m *Machine) HasTag(t Tag) bool {
	return slices.Contains(m.chart.states[m.current].tags, t)
}

// Accepts reports whether the current state has a transition for e.
func (m *Machine) Accepts(e Event) bool {
	_, ok := m.chart.states[m.current].transitions[e]
	return ok
}

// Fire makes the transition for e, then runs the actions of the transition in
// file order. When the current state has no transition for e, it returns
// *UnexpectedEventError and the state does not change.
func (m *Machine) Fire(e Event) error {
	from := m.chart.states[m.current]
	t, ok := from.transitions[e]
	if !ok {
		return &UnexpectedEventError{chart: m.chart.name, state: from.name, event: e}
	}
	m.current = t.target
	for _, name := range t.actions {
		m.actions[name]()
	}
	return nil
}

// UnexpectedEventError reports an event for which the current state has no
// transition.
type UnexpectedEventError struct {
	chart string
	state State
	event Event
}

// Error implements error.
func (e *UnexpectedEventError) Error() string {
	return fmt.Sprintf("chart %q: state %q has no transition for event %q", e.chart, e.state, e.event)
}

// State returns the state in which the event occurred.
func (e *UnexpectedEventError) State() State { return e.state }

// Event returns the unexpected event.
func (e *UnexpectedEventError) Event() Event { return e.event }

// UnboundActionError reports an action of a chart that has no function.
type UnboundActionError struct {
	chart  string
	action string
}

// Error implements error.
func (e *UnboundActionError) Error() string {
	return fmt.Sprintf("chart %q: action %q is not bound to code", e.chart, e.action)
}
