package document

import (
	"sort"
	"strings"
)

// Routes is a document compiled for matching requests. It is immutable.
type Routes struct {
	revision    Revision
	hosts       map[string]string
	only        string
	fallback    Policy
	services    map[segment][]Service
	rules       map[ruleSet][]EffectiveRule
	dataCentres map[string]DataCentre
}

// segment is the first part of a path under a branch; services are found by it
// so that a request is not compared with every service.
type segment struct {
	branch string
	first  string
}

// ruleSet names the rules that may match requests for a service of a branch;
// those for an empty service match any.
type ruleSet struct {
	branch  string
	service string
}

// firstOf returns the first part of a path, "/a/" of "/a/b", or "/".
func firstOf(path string) string {
	if len(path) < 2 {
		return "/"
	}
	end := strings.IndexByte(path[1:], '/')
	if end < 0 {
		return "/"
	}
	return path[:end+2]
}

// Match is what the configuration says about one request.
type Match struct {
	branch  string
	service string
	policy  Policy
}

// Branch returns the name of the branch.
func (m Match) Branch() string { return m.branch }

// Service returns the name of the service.
func (m Match) Service() string { return m.service }

// Policy returns the settings of the first rule that matches.
func (m Match) Policy() Policy { return m.policy }

// Compile returns the routes of a document.
func Compile(d *Document) *Routes {
	r := &Routes{
		revision: d.revision, fallback: DefaultPolicy(), hosts: map[string]string{}, services: map[segment][]Service{},
		rules: map[ruleSet][]EffectiveRule{}, dataCentres: map[string]DataCentre{},
	}
	branches := 0
	for _, resource := range d.Resources() {
		if s, ok := resource.Service(); ok {
			at := segment{branch: s.branch, first: firstOf(s.prefix)}
			r.services[at] = append(r.services[at], s)
		}
		if dc, ok := resource.DataCentre(); ok {
			r.dataCentres[dc.name] = dc
		}
		if b, ok := resource.Branch(); ok {
			branches++
			r.only = b.name
			r.addRules(b.name, d.EffectiveRules(b.name))
			for _, h := range b.hosts {
				r.hosts[strings.ToLower(h)] = b.name
			}
		}
	}
	if branches != 1 {
		r.only = ""
	}
	for _, list := range r.services {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return r
}

// addRules files each rule under the service that it names. The rules that name
// none are filed under the empty service.
func (r *Routes) addRules(branch string, rules []EffectiveRule) {
	for _, e := range rules {
		at := ruleSet{branch: branch, service: e.sourced[FieldService].value}
		r.rules[at] = append(r.rules[at], e)
	}
}

// Revision returns the revision that the routes were compiled from.
func (r *Routes) Revision() Revision { return r.revision }

// DataCentre returns the declared data centre with the given name.
func (r *Routes) DataCentre(name string) (DataCentre, bool) {
	dc, ok := r.dataCentres[name]
	return dc, ok
}

// OutOfService reports whether the named data centre is out of service.
func (r *Routes) OutOfService(name string) bool { return r.dataCentres[name].out }

// Match returns the branch, service and policy of a request. The host decides
// the branch; with a single branch any host does. The longest prefix decides
// the service. It returns *NoRouteError when nothing matches.
func (r *Routes) Match(host, method, path string) (Match, error) {
	branch, ok := r.branchOf(host)
	if !ok {
		return Match{}, &NoRouteError{host: host, path: path}
	}
	for _, first := range []string{firstOf(path), "/"} {
		for _, s := range r.services[segment{branch: branch, first: first}] {
			if strings.HasPrefix(path, s.prefix) {
				return Match{branch: branch, service: s.name, policy: r.policyOf(branch, s.name, method, path)}, nil
			}
		}
	}
	return Match{}, &NoRouteError{host: host, path: path}
}

func (r *Routes) branchOf(host string) (string, bool) {
	name := strings.ToLower(host)
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	if branch, ok := r.hosts[name]; ok {
		return branch, true
	}
	return r.only, r.only != ""
}

// policyOf returns the policy of the first rule that matches, among those for
// the service and those for any.
func (r *Routes) policyOf(branch, service, method, path string) Policy {
	own, ownFound := firstMatch(r.rules[ruleSet{branch: branch, service: service}], service, method, path)
	general, generalFound := firstMatch(r.rules[ruleSet{branch: branch}], service, method, path)
	switch {
	case ownFound && generalFound && general.before(own):
		return general.policy
	case ownFound:
		return own.policy
	case generalFound:
		return general.policy
	}
	return r.fallback
}

func firstMatch(rules []EffectiveRule, service, method, path string) (EffectiveRule, bool) {
	for _, e := range rules {
		if e.matches(service, method, path) {
			return e, true
		}
	}
	return EffectiveRule{}, false
}

// NoRouteError reports a request that no branch or service takes.
type NoRouteError struct {
	host string
	path string
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return "no service takes host \"" + e.host + "\" and path \"" + e.path + "\""
}
