package chart_test

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	set, err := chart.Embedded()
	must.NoError(t, err)
	must.SliceContainsAll(t, set.Names(), []string{"request", "server", "member", "place", "configuration", "datacentre", "process", "quarantine", "rollout", "store", "watch"})
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"unknown field":   {"chart: x\ninitial: a\ncolour: red\nstates: [{name: a}]\n", "colour"},
		"unknown initial": {"chart: x\ninitial: b\nstates: [{name: a}]\n", `initial state "b" does not exist`},
		"unknown target":  {"chart: x\ninitial: a\nstates: [{name: a, on: [{event: e, to: b}]}]\n", `target "b"`},
		"duplicate state": {"chart: x\ninitial: a\nstates: [{name: a}, {name: a}]\n", `state "a" is declared twice`},
		"duplicate event": {"chart: x\ninitial: a\nstates: [{name: a, on: [{event: e, to: a}, {event: e, to: a}]}]\n", `event "e" is declared twice`},
		"unreachable":     {"chart: x\ninitial: a\nstates: [{name: a}, {name: b}]\n", `state "b" cannot be reached`},
		"wrong file name": {"chart: y\ninitial: a\nstates: [{name: a}]\n", "belongs in file"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Parse("x.yaml", []byte(c.text))
			var invalid *chart.InvalidError
			must.True(t, errors.As(err, &invalid), must.Sprintf("got error %v, want %T", err, invalid))
			must.StrContains(t, err.Error(), c.want)
		})
	}
}

func TestMachineRunsActionsAndRejectsUnexpectedEvents(t *testing.T) {
	c, err := chart.Parse("x.yaml", []byte("chart: x\ninitial: a\nstates:\n  - {name: a, on: [{event: go, to: b, do: [first, second]}]}\n  - {name: b, tags: [end]}\n"))
	must.NoError(t, err)
	var ran []string
	m, err := c.NewMachine(chart.Actions{
		"first":  func() { ran = append(ran, "first") },
		"second": func() { ran = append(ran, "second") },
	})
	must.NoError(t, err)
	must.NoError(t, m.Fire("go"))
	must.Eq(t, []string{"first", "second"}, ran)
	must.True(t, m.HasTag("end"))
	var unexpected *chart.UnexpectedEventError
	must.True(t, errors.As(m.Fire("go"), &unexpected))
	must.Eq(t, chart.State("b"), unexpected.State())
}

func TestNewMachineRejectsUnboundActions(t *testing.T) {
	c, err := chart.Parse("x.yaml", []byte("chart: x\ninitial: a\nstates: [{name: a, on: [{event: go, to: a, do: [act]}]}]\n"))
	must.NoError(t, err)
	_, err = c.NewMachine(nil)
	var unbound *chart.UnboundActionError
	must.True(t, errors.As(err, &unbound), must.Sprintf("got error %v, want %T", err, unbound))
}

// The chart file determines the behaviour of the code: without the tag
// "admitting" on its state, a cold server gets no requests.
func TestChangedFileChangesBehaviour(t *testing.T) {
	submit := func(text string) admission.Status {
		set, err := chart.Load(fstest.MapFS{"server.yaml": {Data: []byte(text)}})
		must.NoError(t, err)
		c, err := set.Chart("server")
		must.NoError(t, err)
		now := time.Unix(1000, 0)
		controller, err := admission.New(c, 12, now)
		must.NoError(t, err)
		return controller.Submit(now, admission.NewRequest(1, document.ClassInteractive, 0, now.Add(time.Second))).Status()
	}
	serverChart := "chart: server\ninitial: cold\nstates: [{name: cold, tags: [admitting, floor], on: [{event: collapse, to: cold, do: [toFloor]}]}]\n"
	must.Eq(t, admission.Granted, submit(serverChart))
	must.Eq(t, admission.Refused, submit(strings.Replace(serverChart, "admitting, ", "", 1)))
}

func TestMarkdownPageContainsTransitionsWithActions(t *testing.T) {
	set, err := chart.Embedded()
	must.NoError(t, err)
	page := chart.MarkdownPage(set)
	must.StrContains(t, page, "cold --> cold: collapse / toFloor")
	must.StrContains(t, page, "stateDiagram-v2")
}
