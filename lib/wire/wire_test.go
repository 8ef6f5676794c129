package wire_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/document"
	"savorygap.example/lib/wire"
)

func TestDecodeYAMLReportsPositionOfUnknownField(t *testing.T) {
	_, err := wire.DecodeYAML([]byte("kind: branch\nname: b\ncolour: red\n"))
	must.ErrorContains(t, err, "[3:1]")
	must.ErrorContains(t, err, "colour")
}

func TestDecodeYAMLRejectsInvalidResources(t *testing.T) {
	cases := map[string]struct{ text, field string }{
		"unknown kind":        {"{kind: host, name: x}", "kind"},
		"field of other kind": {"{kind: branch, name: x, region: r}", "region"},
		"unknown class":       {"{kind: branch, name: x, rules: [{name: r, class: fast}]}", "rules.r.class"},
		"invalid timeout":     {"{kind: branch, name: x, rules: [{name: r, timeout: 5}]}", "rules.r.timeout"},
		"unknown rule field":  {"{kind: branch, name: x, rules: [{name: r, colour: 5}]}", "rules.r.colour"},
		"missing rule name":   {"{kind: branch, name: x, rules: [{class: urgent}]}", "rules..name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := wire.DecodeYAML([]byte(c.text))
			var invalid *document.InvalidError
			must.True(t, errors.As(err, &invalid), must.Sprintf("got error %v, want %T", err, invalid))
			must.Eq(t, c.field, invalid.Field())
		})
	}
}

func sampleDocument(t *testing.T, services int) *document.Document {
	t.Helper()
	text := "{kind: branch, name: b, hosts: [h.example], rules: [{name: r, methods: [GET, HEAD], timeout: 2s, hedge: true}]}\n"
	for i := range services {
		text += fmt.Sprintf("---\n{kind: service, name: s%d, branch: b, prefix: /s%d/}\n", i, i)
	}
	resources, err := wire.DecodeYAML([]byte(text))
	must.NoError(t, err)
	d, err := document.Empty().Apply(document.NewChange("op", "alice", time.Unix(5, 0).UTC(), resources, nil))
	must.NoError(t, err)
	return d
}

func TestDocumentRoundTrip(t *testing.T) {
	for _, services := range []int{1, 500} {
		d := sampleDocument(t, services)
		value, err := wire.EncodeDocument(d)
		must.NoError(t, err)
		decoded, err := wire.DecodeDocument(value)
		must.NoError(t, err)
		must.Eq(t, d.Revision(), decoded.Revision())
		must.Len(t, len(d.Resources()), decoded.Resources())
		delta := decoded.DeltaFrom(d)
		must.Len(t, 0, delta.Puts())
		must.Eq(t, d.Operations()[0].Changed(), decoded.Operations()[0].Changed())
	}
}

func TestEncodeDocumentRejectsOversizedValue(t *testing.T) {
	var rules []string
	for i := range 200_000 {
		rules = append(rules, fmt.Sprintf("{name: r%d%d, path: /p%x}", i, i*7919, uint64(i)*0x9E3779B97F4A7C15))
	}
	resources, err := wire.DecodeYAML([]byte("{kind: rulebook, name: x, rules: [" + strings.Join(rules[:30_000], ",") + "]}"))
	must.NoError(t, err)
	var rulebooks []document.Resource
	for i := range 6 {
		book, _ := resources[0].Rulebook()
		rulebooks = append(rulebooks, document.RulebookResource(document.NewRulebook(fmt.Sprintf("x%d", i), book.Rules())))
	}
	d, err := document.Empty().Apply(document.NewChange("op", "a", time.Unix(5, 0), rulebooks, nil))
	must.NoError(t, err)
	_, err = wire.EncodeDocument(d)
	var tooLarge *wire.TooLargeError
	must.True(t, errors.As(err, &tooLarge), must.Sprintf("got error %v, want %T", err, tooLarge))
}

func FuzzDecodeYAML(f *testing.F) {
	f.Add([]byte("{kind: branch, name: x, rules: [{name: r, timeout: 5s}]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		resources, err := wire.DecodeYAML(text)
		if err != nil {
			return
		}
		for _, r := range resources {
			raw, err := wire.EncodeResource(r)
			must.NoError(t, err)
			_, err = wire.DecodeResource(raw)
			must.NoError(t, err)
		}
	})
}

func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(`{"revision":3,"resources":[{"kind":"datacentre","name":"x","region":"r"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		d, err := wire.DecodeDocument(value)
		if err != nil {
			return
		}
		if _, err := wire.EncodeDocument(d); err != nil {
			var tooLarge *wire.TooLargeError
			must.True(t, errors.As(err, &tooLarge), must.Sprintf("got error %v, want %T", err, tooLarge))
		}
	})
}
