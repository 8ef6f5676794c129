// Package wire encodes the configuration as YAML and JSON for operators, the
// store and other nodes.
//
// A resource is encoded as one YAML or JSON object with the fields kind and
// name and the fields of its kind. The value in the store is a JSON object,
// compressed with gzip from a certain size.
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

// resourceForm is the YAML and JSON form of a resource of any kind.
type resourceForm struct {
	Kind         string           `yaml:"kind" json:"kind"`
	Name         string           `yaml:"name" json:"name"`
	Branch       string           `yaml:"branch,omitempty" json:"branch,omitempty"`
	Prefix       string           `yaml:"prefix,omitempty" json:"prefix,omitempty"`
	Region       string           `yaml:"region,omitempty" json:"region,omitempty"`
	OutOfService bool             `yaml:"out,omitempty" json:"out,omitempty"`
	Hosts        []string         `yaml:"hosts,omitempty" json:"hosts,omitempty"`
	Rules        []map[string]any `yaml:"rules,omitempty" json:"rules,omitempty"`
}

// allowedFields lists the fields of each kind besides kind and name.
var allowedFields = map[document.Kind][]string{
	document.KindService:    {"branch", "prefix"},
	document.KindDataCentre: {"region", "out"},
	document.KindBranch:     {"hosts", "rules"},
	document.KindRulebook:   {"rules"},
}

// DecodeYAML decodes a stream of YAML documents with one resource each. An
// unknown field is an error with its line and column. An invalid value is a
// *document.InvalidError. Documents without kind and name are skipped.
func DecodeYAML(text []byte) ([]document.Resource, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	var out []document.Resource
	for {
		var form resourceForm
		err := dec.Decode(&form)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if form.Kind == "" && form.Name == "" {
			continue
		}
		r, err := fromForm(form)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
}

// EncodeYAML encodes resources as a stream of YAML documents.
func EncodeYAML(resources []document.Resource) ([]byte, error) {
	var b bytes.Buffer
	for i, r := range resources {
		if i > 0 {
			b.WriteString("---\n")
		}
		text, err := yaml.Marshal(toForm(r))
		if err != nil {
			return nil, err
		}
		b.Write(text)
	}
	return b.Bytes(), nil
}

// DecodeResource decodes one resource from JSON and rejects unknown fields.
func DecodeResource(text []byte) (document.Resource, error) {
	var form resourceForm
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&form); err != nil {
		return document.Resource{}, err
	}
	return fromForm(form)
}

// EncodeResource encodes one resource as JSON.
func EncodeResource(r document.Resource) (json.RawMessage, error) {
	return json.Marshal(toForm(r))
}

// fromForm validates and converts the encoded form of a resource.
func fromForm(form resourceForm) (document.Resource, error) {
	kind := document.Kind(form.Kind)
	key := document.NewKey(kind, form.Name)
	if _, known := allowedFields[kind]; !known {
		return document.Resource{}, document.NewInvalidError(key, "kind",
			fmt.Sprintf("is %q; kinds: service, datacentre, branch, rulebook", form.Kind))
	}
	if err := rejectForeignFields(key, form); err != nil {
		return document.Resource{}, err
	}
	rules, err := rulesFromForm(key, form.Rules)
	if err != nil {
		return document.Resource{}, err
	}
	switch kind {
	case document.KindService:
		return document.ServiceResource(document.NewService(form.Name, form.Branch, form.Prefix)), nil
	case document.KindDataCentre:
		return document.DataCentreResource(document.NewDataCentre(form.Name, form.Region, form.OutOfService)), nil
	case document.KindBranch:
		return document.BranchResource(document.NewBranch(form.Name, form.Hosts, rules)), nil
	default:
		return document.RulebookResource(document.NewRulebook(form.Name, rules)), nil
	}
}

// rejectForeignFields returns an error when a field of another kind is set.
func rejectForeignFields(key document.Key, form resourceForm) error {
	set := map[string]bool{
		"branch": form.Branch != "", "prefix": form.Prefix != "", "region": form.Region != "",
		"out": form.OutOfService, "hosts": len(form.Hosts) > 0, "rules": len(form.Rules) > 0,
	}
	for _, f := range allowedFields[key.Kind()] {
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

func rulesFromForm(key document.Key, rules []map[string]any) ([]document.Rule, error) {
	out := make([]document.Rule, 0, len(rules))
	for _, raw := range rules {
		name, values := "", map[document.Field]string{}
		for f, v := range raw {
			text, err := formatValue(v)
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
			return nil, withResourceKey(key, name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// withResourceKey adds the resource and the rule to an error about a setting.
func withResourceKey(key document.Key, rule string, err error) error {
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		return document.NewInvalidError(key, "rules."+rule+"."+invalid.Field(), invalid.Reason())
	}
	return err
}

// formatValue returns the text of a decoded setting. Elements of a list are
// joined with commas.
func formatValue(v any) (string, error) {
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
			text, err := formatValue(p)
			if err != nil {
				return "", err
			}
			parts = append(parts, text)
		}
		return strings.Join(parts, ","), nil
	}
	return "", fmt.Errorf("has a value of type %T; text, number, true, false or a list is wanted", v)
}

func toForm(r document.Resource) resourceForm {
	form := resourceForm{Kind: string(r.Key().Kind()), Name: r.Key().Name()}
	if s, ok := r.Service(); ok {
		form.Branch, form.Prefix = s.Branch(), s.Prefix()
	}
	if d, ok := r.DataCentre(); ok {
		form.Region, form.OutOfService = d.Region(), d.OutOfService()
	}
	if b, ok := r.Branch(); ok {
		form.Hosts, form.Rules = b.Hosts(), rulesToForm(b.Rules())
	}
	if k, ok := r.Rulebook(); ok {
		form.Rules = rulesToForm(k.Rules())
	}
	return form
}

func rulesToForm(rules []document.Rule) []map[string]any {
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
