package document

import (
	"sort"
	"strings"
)

// Routes is the routing table compiled from a document. It is immutable.
type Routes struct {
	revision      Revision
	hosts         map[string]string // branch names by lower-case host name
	onlyBranch    string
	defaultPolicy Policy
	services      map[serviceKey][]Service
	rules         map[ruleKey][]EffectiveRule
	dataCentres   map[string]DataCentre
}

// serviceKey indexes services by branch and first path segment, so that a
// request is not compared with every service.
type serviceKey struct {
	branch  string
	segment string
}

// ruleKey indexes rules by the branch and the service that they apply to. An
// empty service stands for the rules that apply to any service.
type ruleKey struct {
	branch  string
	service string
}

// firstSegment returns the first segment of a path with its slashes, such as
// "/a/" for "/a/b". It returns "/" for a path such as "/a" that has no second
// slash.
func firstSegment(path string) string {
	if len(path) < 2 {
		return "/"
	}
	end := strings.IndexByte(path[1:], '/')
	if end < 0 {
		return "/"
	}
	return path[:end+2]
}

// Match is the result of routing a request.
type Match struct {
	branch  string
	service string
	policy  Policy
}

// Branch returns the name of the branch.
func (m Match) Branch() string { return m.branch }

// Service returns the name of the service.
func (m Match) Service() string { return m.service }

// Policy returns the settings of the first matching rule, or the default
// policy when no rule matches.
func (m Match) Policy() Policy { return m.policy }

// Compile builds the routing table of a document.
func Compile(d *Document) *Routes {
	r := &Routes{
		revision: d.revision, defaultPolicy: DefaultPolicy(), hosts: map[string]string{}, services: map[serviceKey][]Service{},
		rules: map[ruleKey][]EffectiveRule{}, dataCentres: map[string]DataCentre{},
	}
	branches := 0
	for _, resource := range d.Resources() {
		if s, ok := resource.Service(); ok {
			key := serviceKey{branch: s.branch, segment: firstSegment(s.prefix)}
			r.services[key] = append(r.services[key], s)
		}
		if dc, ok := resource.DataCentre(); ok {
			r.dataCentres[dc.name] = dc
		}
		if b, ok := resource.Branch(); ok {
			branches++
			r.onlyBranch = b.name
			r.addRules(b.name, d.EffectiveRules(b.name))
			for _, h := range b.hosts {
				r.hosts[strings.ToLower(h)] = b.name
			}
		}
	}
	if branches != 1 {
		r.onlyBranch = ""
	}
	for _, list := range r.services {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return r
}

// addRules indexes each rule by its service, which is empty for rules that
// apply to any service.
func (r *Routes) addRules(branch string, rules []EffectiveRule) {
	for _, e := range rules {
		key := ruleKey{branch: branch, service: e.settings[FieldService].value}
		r.rules[key] = append(r.rules[key], e)
	}
}

// Revision returns the revision that the routes were compiled from.
func (r *Routes) Revision() Revision { return r.revision }

// DataCentre returns the data centre with the given name, if it is declared.
func (r *Routes) DataCentre(name string) (DataCentre, bool) {
	dc, ok := r.dataCentres[name]
	return dc, ok
}

// OutOfService reports whether the named data centre is out of service.
func (r *Routes) OutOfService(name string) bool { return r.dataCentres[name].outOfService }

// Match returns the branch, service and policy of a request. The host selects
// the branch; when only one branch is declared, any other host selects it too.
// The longest matching path prefix selects the service. Match returns
// *NoRouteError when no branch or service matches.
func (r *Routes) Match(host, method, path string) (Match, error) {
	branch, ok := r.findBranch(host)
	if !ok {
		return Match{}, &NoRouteError{host: host, path: path}
	}
	for _, segment := range []string{firstSegment(path), "/"} {
		for _, s := range r.services[serviceKey{branch: branch, segment: segment}] {
			if strings.HasPrefix(path, s.prefix) {
				return Match{branch: branch, service: s.name, policy: r.findPolicy(branch, s.name, method, path)}, nil
			}
		}
	}
	return Match{}, &NoRouteError{host: host, path: path}
}

// findBranch returns the branch of a host, whose port is ignored. It falls back
// to the only declared branch.
func (r *Routes) findBranch(host string) (string, bool) {
	name := strings.ToLower(host)
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	if branch, ok := r.hosts[name]; ok {
		return branch, true
	}
	return r.onlyBranch, r.onlyBranch != ""
}

// findPolicy returns the policy of the first matching rule among those for the
// service and those for any service, or the default policy.
func (r *Routes) findPolicy(branch, service, method, path string) Policy {
	specific, specificFound := firstMatch(r.rules[ruleKey{branch: branch, service: service}], service, method, path)
	general, generalFound := firstMatch(r.rules[ruleKey{branch: branch}], service, method, path)
	switch {
	case specificFound && generalFound && general.precedes(specific):
		return general.policy
	case specificFound:
		return specific.policy
	case generalFound:
		return general.policy
	}
	return r.defaultPolicy
}

func firstMatch(rules []EffectiveRule, service, method, path string) (EffectiveRule, bool) {
	for _, e := range rules {
		if e.matches(service, method, path) {
			return e, true
		}
	}
	return EffectiveRule{}, false
}

// NoRouteError reports a request that matches no branch or no service.
type NoRouteError struct {
	host string
	path string
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return "no service takes host \"" + e.host + "\" and path \"" + e.path + "\""
}
