package document

import (
	"fmt"
	"regexp"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// validate returns *InvalidError for the first resource that is invalid in
// itself or in relation to the others, such as a duplicate host name.
func (d *Document) validate() error {
	hosts := map[string]string{}
	prefixes := map[string]string{}
	for _, r := range d.Resources() {
		if !namePattern.MatchString(r.Key().name) {
			return NewInvalidError(r.Key(), "name", "takes 1 to 63 lower-case letters, digits and inner hyphens")
		}
		if err := d.validateResource(r, hosts, prefixes); err != nil {
			return err
		}
	}
	return nil
}

// validateResource validates one resource. hosts and prefixes collect the host
// names and path prefixes of the resources before it, to detect duplicates.
func (d *Document) validateResource(r Resource, hosts, prefixes map[string]string) error {
	switch {
	case r.service != nil:
		return d.validateService(*r.service, prefixes)
	case r.dataCentre != nil:
		if r.dataCentre.region == "" {
			return NewInvalidError(r.Key(), "region", "is empty")
		}
	case r.branch != nil:
		if err := validateHosts(*r.branch, hosts); err != nil {
			return err
		}
		return validateRules(r.Key(), r.branch.rules)
	case r.rulebook != nil:
		return validateRules(r.Key(), r.rulebook.rules)
	}
	return nil
}

func (d *Document) validateService(s Service, prefixes map[string]string) error {
	key := NewKey(KindService, s.name)
	if _, ok := d.Get(NewKey(KindBranch, s.branch)); !ok {
		return NewInvalidError(key, "branch", fmt.Sprintf("names branch %q, which does not exist", s.branch))
	}
	if !strings.HasPrefix(s.prefix, "/") || !strings.HasSuffix(s.prefix, "/") {
		return NewInvalidError(key, "prefix", fmt.Sprintf("is %q; a prefix starts and ends with \"/\"", s.prefix))
	}
	branchPrefix := s.branch + " " + s.prefix
	if other, duplicate := prefixes[branchPrefix]; duplicate {
		return NewInvalidError(key, "prefix", fmt.Sprintf("is %q, as that of service %q", s.prefix, other))
	}
	prefixes[branchPrefix] = s.name
	return nil
}

func validateHosts(b Branch, hosts map[string]string) error {
	for _, h := range b.hosts {
		name := strings.ToLower(h)
		if other, duplicate := hosts[name]; duplicate {
			return NewInvalidError(NewKey(KindBranch, b.name), "hosts", fmt.Sprintf("has %q, as branch %q", h, other))
		}
		hosts[name] = b.name
	}
	return nil
}

func validateRules(key Key, rules []Rule) error {
	seen := map[string]bool{}
	for _, r := range rules {
		if seen[r.name] {
			return NewInvalidError(key, "rules", fmt.Sprintf("has rule %q twice", r.name))
		}
		seen[r.name] = true
	}
	return nil
}
