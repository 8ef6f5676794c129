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
	services    map[string][]Service
	rules       map[string][]EffectiveRule
	dataCentres map[string]DataCentre
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
		revision: d.revision, hosts: map[string]string{}, services: map[string][]Service{},
		rules: map[string][]EffectiveRule{}, dataCentres: map[string]DataCentre{},
	}
	branches := 0
	for _, resource := range d.Resources() {
		if s, ok := resource.Service(); ok {
			r.services[s.branch] = append(r.services[s.branch], s)
		}
		if dc, ok := resource.DataCentre(); ok {
			r.dataCentres[dc.name] = dc
		}
		if b, ok := resource.Branch(); ok {
			branches++
			r.only = b.name
			r.rules[b.name] = d.Effective(b.name)
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

// Revision returns the revision that the routes were compiled from.
func (r *Routes) Revision() Revision { return r.revision }

// DataCentre returns the declared data centre with the given name.
func (r *Routes) DataCentre(name string) (DataCentre, bool) {
	dc, ok := r.dataCentres[name]
	return dc, ok
}

// Out reports whether the named data centre is out of service.
func (r *Routes) Out(name string) bool { return r.dataCentres[name].out }

// Match returns the branch, service and policy of a request. The host decides
// the branch; with a single branch any host does. The longest prefix decides
// the service. It returns *NoRouteError when nothing matches.
func (r *Routes) Match(host, method, path string) (Match, error) {
	branch, ok := r.branchOf(host)
	if !ok {
		return Match{}, &NoRouteError{host: host, path: path}
	}
	for _, s := range r.services[branch] {
		if strings.HasPrefix(path, s.prefix) {
			return Match{branch: branch, service: s.name, policy: r.policyOf(branch, s.name, method, path)}, nil
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

func (r *Routes) policyOf(branch, service, method, path string) Policy {
	for _, e := range r.rules[branch] {
		if e.matches(service, method, path) {
			return e.policy
		}
	}
	return DefaultPolicy()
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
