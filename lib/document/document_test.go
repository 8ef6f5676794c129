package document_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/document"
	"savorygap.example/lib/wire"
)

var changedAt = time.Unix(1_700_000_000, 0).UTC()

func decodeResources(t *testing.T, text string) []document.Resource {
	t.Helper()
	out, err := wire.DecodeYAML([]byte(text))
	must.NoError(t, err)
	return out
}

const baseConfiguration = `
kind: rulebook
name: shared
rules:
  - {name: reads, methods: GET, class: interactive, timeout: 3s, retries: 1}
---
{kind: branch, name: board, hosts: [board.example], rules: [{name: reads, timeout: 1s}, {name: own, service: findings, methods: POST, priority: 5, class: urgent}]}
---
{kind: branch, name: hoevemarkt, hosts: [shop.example]}
---
{kind: service, name: logview, branch: board, prefix: /logview/}
---
{kind: service, name: findings, branch: board, prefix: /findings/}
---
{kind: datacentre, name: port-louis, region: mu-north}
`

func apply(t *testing.T, d *document.Document, id string, puts []document.Resource) *document.Document {
	t.Helper()
	next, err := d.Apply(document.NewChange(id, "alice", changedAt, puts, nil))
	must.NoError(t, err)
	return next
}

func TestApplyIsIdempotentByOperationID(t *testing.T) {
	d := apply(t, document.Empty(), "op-1", decodeResources(t, baseConfiguration))
	must.Eq(t, document.Revision(1), d.Revision())
	again := apply(t, d, "op-1", decodeResources(t, baseConfiguration))
	must.Eq(t, document.Revision(1), again.Revision())
	must.Eq(t, "alice", d.Operations()[0].Author())
}

func TestApplyReportsRevisionAndFieldsOfAConflict(t *testing.T) {
	d := apply(t, document.Empty(), "op-1", decodeResources(t, baseConfiguration))
	d = apply(t, d, "op-2", decodeResources(t, "{kind: datacentre, name: port-louis, region: mu-north, out: true}"))
	stale := document.NewChange("op-3", "bob", changedAt, decodeResources(t, "{kind: datacentre, name: port-louis, region: mu-south}"), nil).WithExpectedRevision(1)
	_, err := d.Apply(stale)
	var conflict *document.ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprintf("got error %v, want %T", err, conflict))
	must.Eq(t, document.Revision(2), conflict.Actual())
	must.Len(t, 2, conflict.Differences())
	must.Eq(t, "out", conflict.Differences()[0].Field())
}

func TestApplyRejectsInvalidDocuments(t *testing.T) {
	cases := map[string]struct{ text, field string }{
		"unknown branch":   {"{kind: service, name: a, branch: none, prefix: /a/}", "branch"},
		"invalid prefix":   {"{kind: service, name: a, branch: board, prefix: a}", "prefix"},
		"duplicate prefix": {"{kind: service, name: a, branch: board, prefix: /logview/}", "prefix"},
		"duplicate host":   {"{kind: branch, name: other, hosts: [Board.example]}", "hosts"},
		"invalid name":     {"{kind: branch, name: Other_1}", "name"},
		"missing region":   {"{kind: datacentre, name: x}", "region"},
		"duplicate rule":   {"{kind: rulebook, name: b, rules: [{name: r}, {name: r}]}", "rules"},
		"64-letter name":   {"{kind: branch, name: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}", "name"},
	}
	d := apply(t, document.Empty(), "op-1", decodeResources(t, baseConfiguration))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := d.Apply(document.NewChange("op-2", "bob", changedAt, decodeResources(t, c.text), nil))
			var invalid *document.InvalidError
			must.True(t, errors.As(err, &invalid), must.Sprintf("got error %v, want %T", err, invalid))
			must.Eq(t, c.field, invalid.Field())
		})
	}
}

func TestDeleteOfAbsentResourceIsRejected(t *testing.T) {
	_, err := document.Empty().Apply(document.NewChange("op", "a", changedAt, nil, []document.Key{document.NewKey(document.KindBranch, "x")}))
	var invalid *document.InvalidError
	must.True(t, errors.As(err, &invalid), must.Sprintf("got error %v, want %T", err, invalid))
}

func TestBranchRulesOverrideRulebookFieldByField(t *testing.T) {
	d := apply(t, document.Empty(), "op-1", decodeResources(t, baseConfiguration))
	rules := d.EffectiveRules("board")
	must.Len(t, 2, rules)
	must.Eq(t, "own", rules[0].Name())
	reads := rules[1]
	must.Eq(t, time.Second, reads.Policy().Timeout())
	must.Eq(t, document.Origin("branch/board"), reads.Setting(document.FieldTimeout).Origin())
	must.Eq(t, document.Origin("rulebook/shared"), reads.Setting(document.FieldRetries).Origin())
	must.Eq(t, document.OriginDefault, reads.Setting(document.FieldHedge).Origin())
	must.Eq(t, 3*time.Second, d.EffectiveRules("hoevemarkt")[0].Policy().Timeout())
}

func TestRoutesMatch(t *testing.T) {
	routes := document.Compile(apply(t, document.Empty(), "op-1", decodeResources(t, baseConfiguration)))
	cases := map[string]struct {
		host, method, path, service string
		class                       document.Class
		idempotent                  bool
	}{
		"host with port":        {"board.example:80", "GET", "/logview/today", "logview", document.ClassInteractive, true},
		"upper-case host":       {"BOARD.example", "GET", "/logview/x", "logview", document.ClassInteractive, true},
		"matching rule":         {"board.example", "POST", "/findings/new", "findings", document.ClassUrgent, false},
		"rule for all services": {"board.example", "GET", "/findings/x", "findings", document.ClassInteractive, true},
		"default policy":        {"board.example", "POST", "/logview/x", "logview", document.ClassInteractive, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, err := routes.Match(c.host, c.method, c.path)
			must.NoError(t, err)
			must.Eq(t, c.service, m.Service())
			must.Eq(t, c.class, m.Policy().Class())
			must.Eq(t, c.idempotent, m.Policy().Idempotent(c.method))
		})
	}
	for _, path := range []string{"/none/", "/logview"} {
		_, err := routes.Match("board.example", "GET", path)
		var noRoute *document.NoRouteError
		must.True(t, errors.As(err, &noRoute), must.Sprintf("got error %v, want %T", err, noRoute))
	}
	_, err := routes.Match("elsewhere.example", "GET", "/logview/")
	must.Error(t, err)
}

// For random changes, the delta between any two revisions turns the older into
// the newer document, and ApplyDelta rejects a delta that starts at another
// revision.
func TestDeltaTransformsOneRevisionIntoAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []*document.Document{document.Empty()}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			d := history[len(history)-1]
			name := fmt.Sprintf("dc-%d", rapid.IntRange(0, 3).Draw(t, "dc"))
			key := document.NewKey(document.KindDataCentre, name)
			change := document.NewChange(fmt.Sprint(i), "a", changedAt, []document.Resource{
				document.DataCentreResource(document.NewDataCentre(name, "r", rapid.Bool().Draw(t, "out"))),
			}, nil)
			if _, exists := d.Get(key); exists && rapid.Bool().Draw(t, "delete") {
				change = document.NewChange(fmt.Sprint(i), "a", changedAt, nil, []document.Key{key})
			}
			next, err := d.Apply(change)
			if err != nil {
				t.Fatal(err)
			}
			history = append(history, next)
		}
		from := rapid.IntRange(0, len(history)-1).Draw(t, "from")
		to := rapid.IntRange(from, len(history)-1).Draw(t, "to")
		delta := history[to].DeltaFrom(history[from])
		patched, err := history[from].ApplyDelta(delta)
		if to == from {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		if patched.Revision() != history[to].Revision() || len(patched.Resources()) != len(history[to].Resources()) {
			t.Fatalf("got revision %d with %d resources, want revision %d with %d resources",
				patched.Revision(), len(patched.Resources()), history[to].Revision(), len(history[to].Resources()))
		}
		if remaining := history[to].DeltaFrom(patched); len(remaining.Puts())+len(remaining.Deletes()) > 0 {
			t.Fatalf("delta left differences: got puts %v and deletes %v, want none", remaining.Puts(), remaining.Deletes())
		}
		if from > 1 {
			if _, err := history[from-1].ApplyDelta(delta); err == nil {
				t.Fatalf("delta from revision %d applied to revision %d: got no error", history[from].Revision(), history[from-1].Revision())
			}
		}
	})
}
