package document

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources.
const (
	KindService    Kind = "service"
	KindDataCentre Kind = "datacentre"
	KindBranch     Kind = "branch"
	KindRulebook   Kind = "rulebook"
)

// Key identifies a resource.
type Key struct {
	kind Kind
	name string
}

// NewKey returns the key of the resource with the given kind and name.
func NewKey(kind Kind, name string) Key { return Key{kind: kind, name: name} }

// Kind returns the kind.
func (k Key) Kind() Kind { return k.kind }

// Name returns the name.
func (k Key) Name() string { return k.name }

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.kind) + "/" + k.name }

// Less orders keys by kind, then by name.
func (k Key) Less(o Key) bool {
	if k.kind != o.kind {
		return k.kind < o.kind
	}
	return k.name < o.name
}

// Resource is a declared object of the configuration: a union of the four
// kinds, of which exactly one field is set.
type Resource struct {
	service    *Service
	dataCentre *DataCentre
	branch     *Branch
	rulebook   *Rulebook
}

// ServiceResource wraps a service.
func ServiceResource(s Service) Resource { return Resource{service: &s} }

// DataCentreResource wraps a data centre.
func DataCentreResource(d DataCentre) Resource { return Resource{dataCentre: &d} }

// BranchResource wraps a branch.
func BranchResource(b Branch) Resource { return Resource{branch: &b} }

// RulebookResource wraps a rulebook.
func RulebookResource(r Rulebook) Resource { return Resource{rulebook: &r} }

// Key returns the key of the resource.
func (r Resource) Key() Key {
	switch {
	case r.service != nil:
		return NewKey(KindService, r.service.name)
	case r.dataCentre != nil:
		return NewKey(KindDataCentre, r.dataCentre.name)
	case r.branch != nil:
		return NewKey(KindBranch, r.branch.name)
	case r.rulebook != nil:
		return NewKey(KindRulebook, r.rulebook.name)
	}
	return Key{}
}

// Service returns the service, if r is one.
func (r Resource) Service() (Service, bool) {
	if r.service == nil {
		return Service{}, false
	}
	return *r.service, true
}

// DataCentre returns the data centre, if r is one.
func (r Resource) DataCentre() (DataCentre, bool) {
	if r.dataCentre == nil {
		return DataCentre{}, false
	}
	return *r.dataCentre, true
}

// Branch returns the branch, if r is one.
func (r Resource) Branch() (Branch, bool) {
	if r.branch == nil {
		return Branch{}, false
	}
	return *r.branch, true
}

// Rulebook returns the rulebook, if r is one.
func (r Resource) Rulebook() (Rulebook, bool) {
	if r.rulebook == nil {
		return Rulebook{}, false
	}
	return *r.rulebook, true
}

// Service is a group of interchangeable servers that handle the same requests.
type Service struct {
	name   string
	branch string
	prefix string
}

// NewService returns a service of a branch that handles the paths under prefix.
func NewService(name, branch, prefix string) Service {
	return Service{name: name, branch: branch, prefix: prefix}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Branch returns the name of the branch that the service belongs to.
func (s Service) Branch() string { return s.branch }

// Prefix returns the path prefix, such as "/logview/".
func (s Service) Prefix() string { return s.prefix }

// DataCentre is a zone in which servers run.
type DataCentre struct {
	name         string
	region       string
	outOfService bool
}

// NewDataCentre returns a data centre. One that is out of service receives no
// requests.
func NewDataCentre(name, region string, outOfService bool) DataCentre {
	return DataCentre{name: name, region: region, outOfService: outOfService}
}

// Name returns the name of the data centre.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// OutOfService reports whether operators have taken the data centre out of
// service.
func (d DataCentre) OutOfService() bool { return d.outOfService }

// Branch is a customer: the host names under which it is reached and the rules
// that differ from the shared ones.
type Branch struct {
	name  string
	hosts []string
	rules []Rule
}

// NewBranch returns a branch with the given HTTP host names. Its rules override
// shared rules of the same name or add to them.
func NewBranch(name string, hosts []string, rules []Rule) Branch {
	return Branch{name: name, hosts: hosts, rules: rules}
}

// Name returns the name of the branch.
func (b Branch) Name() string { return b.name }

// Hosts returns the HTTP host names of the branch.
func (b Branch) Hosts() []string { return b.hosts }

// Rules returns the rules that the branch adds or overrides.
func (b Branch) Rules() []Rule { return b.rules }

// Rulebook is a set of rules that all branches share.
type Rulebook struct {
	name  string
	rules []Rule
}

// NewRulebook returns a shared rulebook.
func NewRulebook(name string, rules []Rule) Rulebook { return Rulebook{name: name, rules: rules} }

// Name returns the name of the rulebook.
func (r Rulebook) Name() string { return r.name }

// Rules returns the shared rules.
func (r Rulebook) Rules() []Rule { return r.rules }

// Field is the name of a setting of a rule.
type Field string

// The settings of a rule.
const (
	FieldService     Field = "service"
	FieldMethods     Field = "methods"
	FieldPath        Field = "path"
	FieldClass       Field = "class"
	FieldTimeout     Field = "timeout"
	FieldIdempotent  Field = "idempotent"
	FieldRetries     Field = "retries"
	FieldHedge       Field = "hedge"
	FieldMaxBody     Field = "maxBody"
	FieldShort       Field = "short"
	FieldPriority    Field = "priority"
	FieldKeyRequired Field = "keyRequired"
)

// Fields returns all settings of a rule in display order.
func Fields() []Field {
	return []Field{
		FieldPriority, FieldService, FieldMethods, FieldPath, FieldClass, FieldTimeout,
		FieldIdempotent, FieldRetries, FieldHedge, FieldMaxBody, FieldShort, FieldKeyRequired,
	}
}

// Rule is a named set of optional settings. NewRule validates the values, which
// are kept as texts.
type Rule struct {
	name   string
	values map[Field]string
}

// NewRule returns a rule with the given settings. It returns *InvalidError for
// an unknown field or an invalid value.
func NewRule(name string, values map[Field]string) (Rule, error) {
	key := NewKey("rule", name)
	if name == "" {
		return Rule{}, NewInvalidError(key, "name", "is empty")
	}
	for f, v := range values {
		check, known := fieldValidators[f]
		if !known {
			return Rule{}, NewInvalidError(key, string(f), fmt.Sprintf("is unknown; known fields: %s", knownFields()))
		}
		if reason := check(v); reason != "" {
			return Rule{}, NewInvalidError(key, string(f), reason)
		}
	}
	return Rule{name: name, values: values}, nil
}

// Name returns the name of the rule. A branch overrides a shared rule by
// declaring a rule of the same name.
func (r Rule) Name() string { return r.name }

// Value returns the text of a setting, if it is present.
func (r Rule) Value(f Field) (string, bool) {
	v, ok := r.values[f]
	return v, ok
}

func knownFields() string {
	names := make([]string, 0, len(fieldValidators))
	for _, f := range Fields() {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

// fieldValidators maps each setting to a function that returns why a value is
// invalid, or an empty text for a valid one.
var fieldValidators = map[Field]func(string) string{
	FieldService:     acceptAny,
	FieldPath:        validatePath,
	FieldMethods:     acceptAny,
	FieldClass:       validateClass,
	FieldTimeout:     validateTimeout,
	FieldIdempotent:  validateBool,
	FieldRetries:     validateRetries,
	FieldHedge:       validateBool,
	FieldMaxBody:     validateSize,
	FieldShort:       validateBool,
	FieldPriority:    validatePriority,
	FieldKeyRequired: validateBool,
}

func acceptAny(string) string { return "" }

func validatePath(v string) string {
	if !strings.HasPrefix(v, "/") {
		return fmt.Sprintf("is %q; a path starts with \"/\"", v)
	}
	return ""
}

func validateClass(v string) string {
	if _, ok := ParseClass(v); !ok {
		return fmt.Sprintf("is %q; classes: urgent, interactive, tolerant, upload, background", v)
	}
	return ""
}

func validateTimeout(v string) string {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxTimeout {
		return fmt.Sprintf("is %q; a duration above 0 and up to %s is wanted, such as \"250ms\"", v, maxTimeout)
	}
	return ""
}

func validateBool(v string) string {
	if v != "true" && v != "false" {
		return fmt.Sprintf("is %q; true or false is wanted", v)
	}
	return ""
}

func validateRetries(v string) string {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > maxRetries {
		return fmt.Sprintf("is %q; a number from 0 to %d is wanted", v, maxRetries)
	}
	return ""
}

func validatePriority(v string) string {
	if _, err := strconv.Atoi(v); err != nil {
		return fmt.Sprintf("is %q; a whole number is wanted", v)
	}
	return ""
}

func validateSize(v string) string {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return fmt.Sprintf("is %q; a number of bytes is wanted", v)
	}
	return ""
}

// Diff returns the fields in which have differs from want. Both must be of the
// same kind.
func Diff(want, have Resource) []Difference {
	key := want.Key()
	a, b := flatten(want), flatten(have)
	names := make([]string, 0, len(a)+len(b))
	for f := range a {
		names = append(names, f)
	}
	for f := range b {
		if _, both := a[f]; !both {
			names = append(names, f)
		}
	}
	sort.Strings(names)
	var out []Difference
	for _, f := range names {
		if a[f] != b[f] {
			out = append(out, Difference{key: key, field: f, want: a[f], have: b[f]})
		}
	}
	return out
}

// flatten returns the fields of a resource by their paths.
func flatten(r Resource) map[string]string {
	out := map[string]string{}
	switch {
	case r.service != nil:
		out["branch"], out["prefix"] = r.service.branch, r.service.prefix
	case r.dataCentre != nil:
		out["region"], out["out"] = r.dataCentre.region, strconv.FormatBool(r.dataCentre.outOfService)
	case r.branch != nil:
		out["hosts"] = strings.Join(r.branch.hosts, ",")
		flattenRules(out, r.branch.rules)
	case r.rulebook != nil:
		flattenRules(out, r.rulebook.rules)
	}
	return out
}

func flattenRules(out map[string]string, rules []Rule) {
	for _, r := range rules {
		out["rules."+r.name] = "present"
		for f, v := range r.values {
			out["rules."+r.name+"."+string(f)] = v
		}
	}
}
