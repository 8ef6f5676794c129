package document

import (
	"fmt"
	"regexp"
	"strings"
)

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// check returns *InvalidError for the first resource that is not sound within
// the whole document.
func (d *Document) check() error {
	hosts := map[string]string{}
	prefixes := map[string]string{}
	for _, r := range d.Resources() {
		if !nameForm.MatchString(r.Key().name) {
			return NewInvalidError(r.Key(), "name", "takes 1 to 63 lower-case letters, digits and inner hyphens")
		}
		if err := d.checkResource(r, hosts, prefixes); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) checkResource(r Resource, hosts, prefixes map[string]string) error {
	switch {
	case r.service != nil:
		return d.checkService(*r.service, prefixes)
	case r.dataCentre != nil:
		if r.dataCentre.region == "" {
			return NewInvalidError(r.Key(), "region", "is empty")
		}
	case r.branch != nil:
		if err := checkHosts(*r.branch, hosts); err != nil {
			return err
		}
		return checkRules(r.Key(), r.branch.rules)
	case r.rulebook != nil:
		return checkRules(r.Key(), r.rulebook.rules)
	}
	return nil
}

func (d *Document) checkService(s Service, prefixes map[string]string) error {
	key := NewKey(KindService, s.name)
	if _, ok := d.Get(NewKey(KindBranch, s.branch)); !ok {
		return NewInvalidError(key, "branch", fmt.Sprintf("names branch %q, which does not exist", s.branch))
	}
	if !strings.HasPrefix(s.prefix, "/") || !strings.HasSuffix(s.prefix, "/") {
		return NewInvalidError(key, "prefix", fmt.Sprintf("is %q; a prefix starts and ends with \"/\"", s.prefix))
	}
	taken := s.branch + " " + s.prefix
	if other, twice := prefixes[taken]; twice {
		return NewInvalidError(key, "prefix", fmt.Sprintf("is %q, as that of service %q", s.prefix, other))
	}
	prefixes[taken] = s.name
	return nil
}

func checkHosts(b Branch, hosts map[string]string) error {
	for _, h := range b.hosts {
		name := strings.ToLower(h)
		if other, twice := hosts[name]; twice {
			return NewInvalidError(NewKey(KindBranch, b.name), "hosts", fmt.Sprintf("has %q, as branch %q", h, other))
		}
		hosts[name] = b.name
	}
	return nil
}

func checkRules(key Key, rules []Rule) error {
	seen := map[string]bool{}
	for _, r := range rules {
		if seen[r.name] {
			return NewInvalidError(key, "rules", fmt.Sprintf("has rule %q twice", r.name))
		}
		seen[r.name] = true
	}
	return nil
}
