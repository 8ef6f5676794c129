package document

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	defaultTimeout      = 10 * time.Second
	maxTimeout          = 10 * time.Minute
	defaultRetries      = 2
	maxRetries          = 5
	defaultMaxBodyBytes = 64 << 20
)

// Class is the traffic class of a request. It determines how the request
// competes with others for the same server.
type Class uint8

// The classes, most urgent first.
const (
	ClassUrgent Class = iota
	ClassInteractive
	ClassTolerant
	ClassUpload
	ClassBackground
	NumClasses = 5
)

var classNames = [NumClasses]string{"urgent", "interactive", "tolerant", "upload", "background"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "class-" + strconv.Itoa(int(c))
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Origin is the key of the resource that sets a value, or OriginDefault.
type Origin string

// OriginDefault is the origin of a value that no resource sets.
const OriginDefault Origin = "default"

// Setting is the value of a field as text, with its origin.
type Setting struct {
	value  string
	origin Origin
}

// Value returns the value as text, empty when it is unset.
func (s Setting) Value() string { return s.value }

// Origin returns the resource that sets the value.
func (s Setting) Origin() Origin { return s.origin }

// EffectiveRule is a rule of a branch with overrides and defaults applied.
type EffectiveRule struct {
	name     string
	settings map[Field]Setting

	policy   Policy
	priority int
}

// Name returns the name of the rule.
func (e EffectiveRule) Name() string { return e.name }

// Setting returns the value of a field with its origin.
func (e EffectiveRule) Setting(f Field) Setting { return e.settings[f] }

// Policy returns the parsed settings.
func (e EffectiveRule) Policy() Policy { return e.policy }

// Policy contains the settings for the requests that a rule matches.
type Policy struct {
	rule               string
	class              Class
	timeout            time.Duration
	idempotent         bool
	idempotentByMethod bool
	retries            int
	hedge              bool
	maxBody            int64
	short              bool
	keyRequired        bool
}

// Rule returns the name of the rule.
func (p Policy) Rule() string { return p.rule }

// Class returns the traffic class of the requests.
func (p Policy) Class() Class { return p.class }

// Timeout returns the maximum duration of a request.
func (p Policy) Timeout() time.Duration { return p.timeout }

// Idempotent reports whether a request with the given method may be sent to a
// server more than once.
func (p Policy) Idempotent(method string) bool {
	if p.idempotentByMethod {
		return IsSafeMethod(method)
	}
	return p.idempotent
}

// Retries returns the maximum number of retries of a request.
func (p Policy) Retries() int { return p.retries }

// Hedge reports whether a slow idempotent request may be hedged, that is, sent
// to a second target as well.
func (p Policy) Hedge() bool { return p.hedge }

// MaxBody returns the maximum size of a request body in bytes.
func (p Policy) MaxBody() int64 { return p.maxBody }

// Short reports whether the requests are cheap enough to overtake longer ones
// in the queue.
func (p Policy) Short() bool { return p.short }

// KeyRequired reports whether a non-idempotent request must carry an
// idempotency key.
func (p Policy) KeyRequired() bool { return p.keyRequired }

// IsSafeMethod reports whether HTTP defines the method as safe.
func IsSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// DefaultPolicy returns the settings for requests that no rule matches.
func DefaultPolicy() Policy {
	return mergeLayers("default", nil).policy
}

var fieldDefaults = map[Field]string{
	FieldPriority:    "0",
	FieldService:     "",
	FieldMethods:     "",
	FieldPath:        "/",
	FieldClass:       ClassInteractive.String(),
	FieldTimeout:     defaultTimeout.String(),
	FieldIdempotent:  "",
	FieldRetries:     strconv.Itoa(defaultRetries),
	FieldHedge:       "false",
	FieldMaxBody:     strconv.Itoa(defaultMaxBodyBytes),
	FieldShort:       "false",
	FieldKeyRequired: "false",
}

// ruleLayer is a rule as one resource sets it.
type ruleLayer struct {
	origin Origin
	rule   Rule
}

// EffectiveRules returns the rules of a branch: the shared rules, each
// overridden field by field by the branch's rule of the same name, and the
// rules that only the branch has. They are ordered by descending priority,
// then by name.
func (d *Document) EffectiveRules(branch string) []EffectiveRule {
	layersByRule := map[string][]ruleLayer{}
	for _, r := range d.Resources() {
		if book, ok := r.Rulebook(); ok {
			addLayers(layersByRule, Origin(r.Key().String()), book.rules)
		}
	}
	if r, ok := d.Get(NewKey(KindBranch, branch)); ok {
		b, _ := r.Branch()
		addLayers(layersByRule, Origin(r.Key().String()), b.rules)
	}
	out := make([]EffectiveRule, 0, len(layersByRule))
	for name, layers := range layersByRule {
		out = append(out, mergeLayers(name, layers))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].precedes(out[j]) })
	return out
}

// addLayers appends the rules of one resource to the layers of their names.
func addLayers(layersByRule map[string][]ruleLayer, origin Origin, rules []Rule) {
	for _, r := range rules {
		layersByRule[r.name] = append(layersByRule[r.name], ruleLayer{origin: origin, rule: r})
	}
}

// mergeLayers merges the settings of layers over the defaults. A later layer
// overrides an earlier one.
func mergeLayers(name string, layers []ruleLayer) EffectiveRule {
	e := EffectiveRule{name: name, settings: map[Field]Setting{}}
	for _, f := range Fields() {
		e.settings[f] = Setting{value: fieldDefaults[f], origin: OriginDefault}
		for _, l := range layers {
			if v, ok := l.rule.values[f]; ok {
				e.settings[f] = Setting{value: v, origin: l.origin}
			}
		}
	}
	e.policy = e.parsePolicy()
	e.priority, _ = strconv.Atoi(e.settings[FieldPriority].value)
	return e
}

// precedes orders rules by descending priority, then by name.
func (e EffectiveRule) precedes(o EffectiveRule) bool {
	if e.priority != o.priority {
		return e.priority > o.priority
	}
	return e.name < o.name
}

// parsePolicy converts the texts of the settings to their types. It ignores
// errors because NewRule has validated the texts.
func (e EffectiveRule) parsePolicy() Policy {
	p := Policy{rule: e.name}
	p.class, _ = ParseClass(e.settings[FieldClass].value)
	p.timeout, _ = time.ParseDuration(e.settings[FieldTimeout].value)
	p.idempotentByMethod = e.settings[FieldIdempotent].value == ""
	p.idempotent = e.settings[FieldIdempotent].value == "true"
	p.retries, _ = strconv.Atoi(e.settings[FieldRetries].value)
	p.hedge = e.settings[FieldHedge].value == "true"
	p.maxBody, _ = strconv.ParseInt(e.settings[FieldMaxBody].value, 10, 64)
	p.short = e.settings[FieldShort].value == "true"
	p.keyRequired = e.settings[FieldKeyRequired].value == "true"
	return p
}

// matches reports whether the rule applies to a request.
func (e EffectiveRule) matches(service, method, path string) bool {
	if want := e.settings[FieldService].value; want != "" && want != service {
		return false
	}
	if want := e.settings[FieldMethods].value; want != "" && !listContains(want, method) {
		return false
	}
	return strings.HasPrefix(path, e.settings[FieldPath].value)
}

// listContains reports whether a comma-separated list contains word, ignoring
// case.
func listContains(list, word string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), word) {
			return true
		}
	}
	return false
}
