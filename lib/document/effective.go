package document

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = 10 * time.Minute
	defaultRetries = 2
	maxRetries     = 5
	defaultMaxBody = 64 << 20 // bytes
)

// Class says how a request is weighed against others for the same server.
type Class uint8

// The classes, most pressing first.
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

// Origin names the resource that a value comes from.
type Origin string

// OriginDefault marks a value that no resource sets.
const OriginDefault Origin = "default"

// EffectiveValue is a written value with the resource that set it.
type EffectiveValue struct {
	value  string
	origin Origin
}

// Value returns the written value.
func (s EffectiveValue) Value() string { return s.value }

// Origin returns which resource set the value.
func (s EffectiveValue) Origin() Origin { return s.origin }

// EffectiveRule is a rule after a branch's overrides and the defaults.
type EffectiveRule struct {
	name    string
	sourced map[Field]EffectiveValue

	policy   Policy
	priority int
}

// Name returns the name of the rule.
func (e EffectiveRule) Name() string { return e.name }

// Value returns the value of a field and where it comes from.
func (e EffectiveRule) Value(f Field) EffectiveValue { return e.sourced[f] }

// Policy returns the typed settings.
func (e EffectiveRule) Policy() Policy { return e.policy }

// Policy is what a rule demands for the requests that it matches.
type Policy struct {
	rule        string
	class       Class
	timeout     time.Duration
	idempotent  bool
	byMethod    bool
	retries     int
	hedge       bool
	maxBody     int64
	short       bool
	keyRequired bool
}

// Rule returns the name of the rule.
func (p Policy) Rule() string { return p.rule }

// Class returns the class of the requests.
func (p Policy) Class() Class { return p.class }

// Timeout returns the longest time that a request may take.
func (p Policy) Timeout() time.Duration { return p.timeout }

// Idempotent reports whether a request with the given method may be sent to a
// server more than once.
func (p Policy) Idempotent(method string) bool {
	if p.byMethod {
		return IsSafeMethod(method)
	}
	return p.idempotent
}

// Retries returns how often a request may be tried again.
func (p Policy) Retries() int { return p.retries }

// Hedge reports whether a slow read may be sent to a second target.
func (p Policy) Hedge() bool { return p.hedge }

// MaxBody returns the largest request body in bytes.
func (p Policy) MaxBody() int64 { return p.maxBody }

// Short reports whether the requests are cheap enough to pass longer ones.
func (p Policy) Short() bool { return p.short }

// KeyRequired reports whether a non-idempotent request must carry a key.
func (p Policy) KeyRequired() bool { return p.keyRequired }

// IsSafeMethod reports whether HTTP defines the method as safe to repeat.
func IsSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// DefaultPolicy returns the settings of a request that no rule matches.
func DefaultPolicy() Policy {
	return effective("default", nil).policy
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
	FieldMaxBody:     strconv.Itoa(defaultMaxBody),
	FieldCostBypass:  "false",
	FieldKeyRequired: "false",
}

type layer struct {
	origin Origin
	rule   Rule
}

// EffectiveRules returns the rules of a branch: every shared rule with the branch's
// overrides laid over it field by field, then the rules that only the branch
// has; ordered by descending priority, then by name.
func (d *Document) EffectiveRules(branch string) []EffectiveRule {
	layers := map[string][]layer{}
	for _, r := range d.Resources() {
		if book, ok := r.Rulebook(); ok {
			addLayers(layers, Origin(r.Key().String()), book.rules)
		}
	}
	if r, ok := d.Get(NewKey(KindBranch, branch)); ok {
		b, _ := r.Branch()
		addLayers(layers, Origin(r.Key().String()), b.rules)
	}
	out := make([]EffectiveRule, 0, len(layers))
	for name, stack := range layers {
		out = append(out, effective(name, stack))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

func addLayers(layers map[string][]layer, origin Origin, rules []Rule) {
	for _, r := range rules {
		layers[r.name] = append(layers[r.name], layer{origin: origin, rule: r})
	}
}

func effective(name string, stack []layer) EffectiveRule {
	e := EffectiveRule{name: name, sourced: map[Field]EffectiveValue{}}
	for _, f := range Fields() {
		e.sourced[f] = EffectiveValue{value: fieldDefaults[f], origin: OriginDefault}
		for _, l := range stack {
			if v, ok := l.rule.values[f]; ok {
				e.sourced[f] = EffectiveValue{value: v, origin: l.origin}
			}
		}
	}
	e.policy = e.typed()
	e.priority, _ = strconv.Atoi(e.sourced[FieldPriority].value)
	return e
}

// before orders rules by descending priority, then by name.
func (e EffectiveRule) before(o EffectiveRule) bool {
	if e.priority != o.priority {
		return e.priority > o.priority
	}
	return e.name < o.name
}

// typed converts the written values, which were checked when the rule was
// built.
func (e EffectiveRule) typed() Policy {
	p := Policy{rule: e.name}
	p.class, _ = ParseClass(e.sourced[FieldClass].value)
	p.timeout, _ = time.ParseDuration(e.sourced[FieldTimeout].value)
	p.byMethod = e.sourced[FieldIdempotent].value == ""
	p.idempotent = e.sourced[FieldIdempotent].value == "true"
	p.retries, _ = strconv.Atoi(e.sourced[FieldRetries].value)
	p.hedge = e.sourced[FieldHedge].value == "true"
	p.maxBody, _ = strconv.ParseInt(e.sourced[FieldMaxBody].value, 10, 64)
	p.short = e.sourced[FieldCostBypass].value == "true"
	p.keyRequired = e.sourced[FieldKeyRequired].value == "true"
	return p
}

func (e EffectiveRule) matches(service, method, path string) bool {
	if want := e.sourced[FieldService].value; want != "" && want != service {
		return false
	}
	if want := e.sourced[FieldMethods].value; want != "" && !contains(want, method) {
		return false
	}
	return strings.HasPrefix(path, e.sourced[FieldPath].value)
}

func contains(list, word string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), word) {
			return true
		}
	}
	return false
}
