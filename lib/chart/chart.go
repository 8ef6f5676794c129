// Package chart reads state charts from YAML files and interprets them.
//
// A chart names the states of one life cycle, the events that move between
// them, the actions that a transition runs and the tags that code asks about.
// The life cycles of savorygap are the files in charts/, which are embedded in
// the binary and checked when they are loaded.
//
// # Usage
//
//	set, err := chart.Embedded()
//	requestChart, err := set.Chart("request")
//	m, err := requestChart.Start(chart.Actions{"send": func() { ... }})
//	err = m.Fire("grant")
//	if m.Has("accepting") { ... }
//
// A Machine belongs to one goroutine. A Chart is immutable and may be shared.
package chart

import (
	"fmt"
	"slices"
	"sort"
)

// State names one state of a chart.
type State string

// Event names something that happened to a machine.
type Event string

// Tag names a property that several states share.
type Tag string

// Actions binds the action names of a chart to code.
type Actions map[string]func()

// Chart is one checked life cycle.
type Chart struct {
	name    string
	doc     string
	initial int
	states  []node
}

type node struct {
	name        State
	doc         string
	tags        []Tag
	transitions map[Event]transition
}

type transition struct {
	target  int
	actions []string
}

// Name returns the name of the life cycle.
func (c *Chart) Name() string { return c.name }

// Doc returns the description of the life cycle.
func (c *Chart) Doc() string { return c.doc }

// States returns the names of all states in file order.
func (c *Chart) States() []State {
	names := make([]State, 0, len(c.states))
	for _, n := range c.states {
		names = append(names, n.name)
	}
	return names
}

// NewMachine returns a machine in the initial state whose actions are bound. It
// returns *UnboundActionError when the chart names an action without code.
func (c *Chart) NewMachine(actions Actions) (*Machine, error) {
	for _, name := range c.actionNames() {
		if _, ok := actions[name]; !ok {
			return nil, &UnboundActionError{chart: c.name, action: name}
		}
	}
	return &Machine{chart: c, current: c.initial, actions: actions}, nil
}

// Accepts reports whether the state named from has a transition for e.
func (c *Chart) Accepts(from State, e Event) bool {
	for _, n := range c.states {
		if n.name == from {
			_, ok := n.transitions[e]
			return ok
		}
	}
	return false
}

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

// Machine is one running instance of a chart. It is not safe for use by more
// than one goroutine.
type Machine struct {
	chart   *Chart
	current int
	actions Actions
}

// State returns the state that the machine is in.
func (m *Machine) State() State { return m.chart.states[m.current].name }

// HasTag reports whether the current state carries the tag.
func (m *Machine) HasTag(t Tag) bool {
	return slices.Contains(m.chart.states[m.current].tags, t)
}

// Accepts reports whether the current state has a transition for e.
func (m *Machine) Accepts(e Event) bool {
	_, ok := m.chart.states[m.current].transitions[e]
	return ok
}

// Fire moves the machine along the transition for e, then runs the actions of
// that transition in file order. It returns *UnexpectedEventError, and stays
// where it is, when the current state has no transition for e.
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

// UnexpectedEventError reports an event that the current state does not take.
type UnexpectedEventError struct {
	chart string
	state State
	event Event
}

// Error implements error.
func (e *UnexpectedEventError) Error() string {
	return fmt.Sprintf("chart %q: state %q has no transition for event %q", e.chart, e.state, e.event)
}

// State returns the state the machine was in.
func (e *UnexpectedEventError) State() State { return e.state }

// Event returns the event that was refused.
func (e *UnexpectedEventError) Event() Event { return e.event }

// UnboundActionError reports an action that no code was bound to.
type UnboundActionError struct {
	chart  string
	action string
}

// Error implements error.
func (e *UnboundActionError) Error() string {
	return fmt.Sprintf("chart %q: action %q is not bound to code", e.chart, e.action)
}
