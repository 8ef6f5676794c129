// Package wire maps the domain types of the configuration by hand to the
// written form that operators, the store and nodes share.
//
// The written form is one YAML or JSON object per resource, with the fields
// kind and name and those of the kind. The value in the store is JSON,
// compressed with gzip above a size.
//
// # Usage
//
//	resources, err := wire.DecodeYAML(text)
//	text, err := wire.EncodeYAML(resources)
//	value, err := wire.EncodeDocument(doc)
//	doc, err := wire.DecodeDocument(value)
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"savorygap.example/lib/document"
)

// resource is the written form of every kind.
type resource struct {
	Kind   string           `yaml:"kind" json:"kind"`
	Name   string           `yaml:"name" json:"name"`
	Branch string           `yaml:"branch,omitempty" json:"branch,omitempty"`
	Prefix string           `yaml:"prefix,omitempty" json:"prefix,omitempty"`
	Region string           `yaml:"region,omitempty" json:"region,omitempty"`
	Out    bool             `yaml:"out,omitempty" json:"out,omitempty"`
	Hosts  []string         `yaml:"hosts,omitempty" json:"hosts,omitempty"`
	Rules  []map[string]any `yaml:"rules,omitempty" json:"rules,omitempty"`
}

// allowed lists, for each kind, the fields besides kind and name.
var allowed = map[document.Kind][]string{
	document.KindService:    {"branch", "prefix"},
	document.KindDataCentre: {"region", "out"},
	document.KindBranch:     {"hosts", "rules"},
	document.KindRulebook:   {"rules"},
}

// DecodeYAML reads one or more YAML documents, each one resource. It refuses
// unknown fields, naming line and column, and returns *document.InvalidError
// for a value that a field does not take.
func DecodeYAML(text []byte) ([]document.Resource, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	var out []document.Resource
	for {
		var w resource
		err := dec.Decode(&w)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if w.Kind == "" && w.Name == "" {
			continue
		}
		r, err := fromWire(w)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
}

// EncodeYAML writes the resources as YAML documents.
func EncodeYAML(resources []document.Resource) ([]byte, error) {
	var b bytes.Buffer
	for i, r := range resources {
		if i > 0 {
			b.WriteString("---\n")
		}
		text, err := yaml.Marshal(toWire(r))
		if err != nil {
			return nil, err
		}
		b.Write(text)
	}
	return b.Bytes(), nil
}

// DecodeResource reads one JSON resource and refuses unknown fields.
func DecodeResource(text []byte) (document.Resource, error) {
	var w resource
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return document.Resource{}, err
	}
	return fromWire(w)
}

// EncodeResource writes one resource as JSON.
func EncodeResource(r document.Resource) (json.RawMessage, error) {
	return json.Marshal(toWire(r))
}

func fromWire(w resource) (document.Resource, error) {
	kind := document.Kind(w.Kind)
	key := document.NewKey(kind, w.Name)
	if _, known := allowed[kind]; !known {
		return document.Resource{}, document.NewInvalidError(key, "kind",
			fmt.Sprintf("is %q; kinds: service, datacentre, branch, rulebook", w.Kind))
	}
	if err := refuseForeign(key, w); err != nil {
		return document.Resource{}, err
	}
	rules, err := rulesFromWire(key, w.Rules)
	if err != nil {
		return document.Resource{}, err
	}
	switch kind {
	case document.KindService:
		return document.ServiceResource(document.NewService(w.Name, w.Branch, w.Prefix)), nil
	case document.KindDataCentre:
		return document.DataCentreResource(document.NewDataCentre(w.Name, w.Region, w.Out)), nil
	case document.KindBranch:
		return document.BranchResource(document.NewBranch(w.Name, w.Hosts, rules)), nil
	default:
		return document.RulebookResource(document.NewRulebook(w.Name, rules)), nil
	}
}

// refuseForeign reports a field that belongs to another kind.
func refuseForeign(key document.Key, w resource) error {
	set := map[string]bool{
		"branch": w.Branch != "", "prefix": w.Prefix != "", "region": w.Region != "",
		"out": w.Out, "hosts": len(w.Hosts) > 0, "rules": len(w.Rules) > 0,
	}
	for _, f := range allowed[key.Kind()] {
		delete(set, f)
	}
	names := make([]string, 0, len(set))
	for f, present := range set {
		if present {
			names = append(names, f)
		}
	}
	if len(names) == 0 {
		return nil
	}
	sort.Strings(names)
	return document.NewInvalidError(key, names[0], fmt.Sprintf("does not belong to a %s", key.Kind()))
}

func rulesFromWire(key document.Key, rules []map[string]any) ([]document.Rule, error) {
	out := make([]document.Rule, 0, len(rules))
	for _, raw := range rules {
		name, values := "", map[document.Field]string{}
		for f, v := range raw {
			text, err := scalar(v)
			if err != nil {
				return nil, document.NewInvalidError(key, "rules."+f, err.Error())
			}
			if f == "name" {
				name = text
				continue
			}
			values[document.Field(f)] = text
		}
		r, err := document.NewRule(name, values)
		if err != nil {
			return nil, withKey(key, name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

func withKey(key document.Key, rule string, err error) error {
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		return document.NewInvalidError(key, "rules."+rule+"."+invalid.Field(), invalid.Reason())
	}
	return err
}

func scalar(v any) (string, error) {
	switch t := v.(type) {
	case string:
		return t, nil
	case bool:
		return strconv.FormatBool(t), nil
	case uint64:
		return strconv.FormatUint(t, 10), nil
	case int64:
		return strconv.FormatInt(t, 10), nil
	case float64:
		return strconv.FormatFloat(t, 'f', -1, 64), nil
	case []any:
		parts := make([]string, 0, len(t))
		for _, p := range t {
			text, err := scalar(p)
			if err != nil {
				return "", err
			}
			parts = append(parts, text)
		}
		return strings.Join(parts, ","), nil
	}
	return "", fmt.Errorf("has a value of type %T; text, number, true, false or a list is wanted", v)
}

func toWire(r document.Resource) resource {
	w := resource{Kind: string(r.Key().Kind()), Name: r.Key().Name()}
	if s, ok := r.Service(); ok {
		w.Branch, w.Prefix = s.Branch(), s.Prefix()
	}
	if d, ok := r.DataCentre(); ok {
		w.Region, w.Out = d.Region(), d.OutOfService()
	}
	if b, ok := r.Branch(); ok {
		w.Hosts, w.Rules = b.Hosts(), rulesToWire(b.Rules())
	}
	if k, ok := r.Rulebook(); ok {
		w.Rules = rulesToWire(k.Rules())
	}
	return w
}

func rulesToWire(rules []document.Rule) []map[string]any {
	out := make([]map[string]any, 0, len(rules))
	for _, r := range rules {
		raw := map[string]any{"name": r.Name()}
		for _, f := range document.Fields() {
			if v, ok := r.Value(f); ok {
				raw[string(f)] = v
			}
		}
		out = append(out, raw)
	}
	return out
}
