package chart

import (
	"bytes"
	"embed"
	"fmt"
	"io/fs"
	"path"

	"github.com/goccy/go-yaml"
)

//go:embed charts/*.yaml
var embedded embed.FS

// Set is a set of charts with distinct names.
type Set struct {
	charts map[string]*Chart
}

// Embedded returns the charts that are embedded in the binary.
func Embedded() (*Set, error) {
	sub, err := fs.Sub(embedded, "charts")
	if err != nil {
		return nil, err
	}
	return Load(sub)
}

// Load reads and validates every .yaml file in the root directory of files. It
// returns *InvalidError for an invalid chart.
func Load(files fs.FS) (*Set, error) {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return nil, err
	}
	set := &Set{charts: map[string]*Chart{}}
	for _, name := range names {
		text, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, err
		}
		c, err := Parse(name, text)
		if err != nil {
			return nil, err
		}
		set.charts[c.name] = c
	}
	return set, nil
}

// Chart returns the chart with the given name.
func (s *Set) Chart(name string) (*Chart, error) {
	c, ok := s.charts[name]
	if !ok {
		return nil, fmt.Errorf("chart %q does not exist", name)
	}
	return c, nil
}

// Names returns the names of all charts in unspecified order.
func (s *Set) Names() []string {
	names := make([]string, 0, len(s.charts))
	for name := range s.charts {
		names = append(names, name)
	}
	return names
}

// chartForm is the YAML form of a chart.
type chartForm struct {
	Chart   string      `yaml:"chart"`
	Doc     string      `yaml:"doc"`
	Initial string      `yaml:"initial"`
	States  []stateForm `yaml:"states"`
}

type stateForm struct {
	Name string           `yaml:"name"`
	Doc  string           `yaml:"doc"`
	Tags []string         `yaml:"tags"`
	On   []transitionForm `yaml:"on"`
}

type transitionForm struct {
	Event string   `yaml:"event"`
	To    string   `yaml:"to"`
	Do    []string `yaml:"do"`
}

// Parse decodes and validates one chart file. The file must be named after the
// chart, the initial state and the targets of all transitions must exist, state
// names and the events of each state must be unique, and every state must be
// reachable from the initial one.
func Parse(file string, text []byte) (*Chart, error) {
	var parsed chartForm
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(&parsed); err != nil {
		return nil, &InvalidError{file: file, reason: err.Error()}
	}
	if want := parsed.Chart + ".yaml"; path.Base(file) != want {
		return nil, &InvalidError{file: file, reason: fmt.Sprintf("chart %q belongs in file %q", parsed.Chart, want)}
	}
	index, err := stateIndex(file, parsed.States)
	if err != nil {
		return nil, err
	}
	initial, ok := index[parsed.Initial]
	if !ok {
		return nil, &InvalidError{file: file, reason: fmt.Sprintf("initial state %q does not exist", parsed.Initial)}
	}
	c := &Chart{name: parsed.Chart, doc: parsed.Doc, initial: initial}
	for _, s := range parsed.States {
		n, err := newStateNode(file, s, index)
		if err != nil {
			return nil, err
		}
		c.states = append(c.states, n)
	}
	return c, checkReachable(file, c)
}

// stateIndex returns the position of each state in the file.
func stateIndex(file string, states []stateForm) (map[string]int, error) {
	index := map[string]int{}
	for i, s := range states {
		if _, duplicate := index[s.Name]; duplicate {
			return nil, &InvalidError{file: file, reason: fmt.Sprintf("state %q is declared twice", s.Name)}
		}
		index[s.Name] = i
	}
	return index, nil
}

// newStateNode converts a state and resolves the targets of its transitions.
func newStateNode(file string, s stateForm, index map[string]int) (stateNode, error) {
	n := stateNode{name: State(s.Name), doc: s.Doc, transitions: map[Event]transition{}}
	for _, t := range s.Tags {
		n.tags = append(n.tags, Tag(t))
	}
	for _, t := range s.On {
		target, ok := index[t.To]
		if !ok {
			return stateNode{}, &InvalidError{file: file, reason: fmt.Sprintf("state %q: target %q of event %q does not exist", s.Name, t.To, t.Event)}
		}
		if _, duplicate := n.transitions[Event(t.Event)]; duplicate {
			return stateNode{}, &InvalidError{file: file, reason: fmt.Sprintf("state %q: event %q is declared twice", s.Name, t.Event)}
		}
		n.transitions[Event(t.Event)] = transition{target: target, actions: t.Do}
	}
	return n, nil
}

// checkReachable returns an error for a state that no path of transitions from
// the initial state leads to.
func checkReachable(file string, c *Chart) error {
	reached := map[int]bool{c.initial: true}
	queue := []int{c.initial}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, t := range c.states[current].transitions {
			if !reached[t.target] {
				reached[t.target] = true
				queue = append(queue, t.target)
			}
		}
	}
	for i, s := range c.states {
		if !reached[i] {
			return &InvalidError{file: file, reason: fmt.Sprintf("state %q cannot be reached from %q", s.name, c.states[c.initial].name)}
		}
	}
	return nil
}

// InvalidError reports a file that does not contain a valid chart.
type InvalidError struct {
	file   string
	reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("chart file %q: %s", e.file, e.reason)
}

// File returns the name of the file.
func (e *InvalidError) File() string { return e.file }
