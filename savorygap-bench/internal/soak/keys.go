package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"savorygap.example/platform/platformtest"
	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	// maxKeyDelay is set by the platform's contract, counted from the acknowledgement of the
	// configuration that adds or removes a key.
	maxKeyDelay     = 2500 * time.Millisecond
	forgedTenant    = "forged"
	unknownKeyShare = 0.03 // of the requests
	noKeyShare      = 0.02
	// limitedShare is the share of each tenant with a limit, which is 5 requests a second for
	// each host that sends 20: their usual demand is the limit divided by 1.6.
	limitedShare = 0.16
)

// credential is the key of a request and what follows from it.
type credential struct {
	key      string // "" for none
	tenant   string // whose name the server must get, "" for none
	accepted bool   // at any time; neither for unknown keys nor for those of one version
	unknown  bool   // no configuration has the key, so the request must not be executed
}

func tenantCredential(tenant string) credential {
	return credential{key: platformtest.TenantKey(tenant), tenant: tenant, accepted: true}
}

// markerCredential returns the key that is in force with a configuration version and the
// next one.
func markerCredential(version int64) credential {
	return credential{key: platformtest.MarkerKey(version), tenant: platformtest.MarkerTenant}
}

// pickCredential draws the key of a request. A route that needs no key is requested with
// valid and unknown keys too.
func pickCredential(rng *rand.Rand, f flow) credential {
	c := tenantCredential(platformtest.UnlimitedTenant)
	switch x := rng.Float64(); {
	case x < unknownKeyShare:
		c = credential{key: "key-unknown", unknown: true}
	case x < unknownKeyShare+noKeyShare:
		c = credential{unknown: true}
	case x < unknownKeyShare+noKeyShare+limitedShare:
		c = tenantCredential(platformtest.LimitedTenant)
	case x < unknownKeyShare+noKeyShare+2*limitedShare:
		c = tenantCredential(platformtest.FloodingTenant)
	}
	return c.on(f)
}

// pickFlood draws the key of a request of the tenant that floods.
func pickFlood(_ *rand.Rand, f flow) credential {
	return tenantCredential(platformtest.FloodingTenant).on(f)
}

// on returns what follows from the key for a request of a flow.
func (c credential) on(f flow) credential {
	if f.anonymous {
		return credential{key: c.key, accepted: true}
	}
	return c
}

// checkKeys checks which requests were executed by their keys, and what the servers got of
// them.
func checkKeys(samples []sample, byID map[string][]cluster.Execution, hist history) []violation {
	var all []violation
	for _, s := range samples {
		add := func(rule, text string) {
			all = append(all, violation{rule: rule, at: s.sent, text: fmt.Sprintf("%s request %s sent to %s: %s (status %d, executed %d times)", s.flow.name, s.id, s.host.Name(), text, s.status, len(byID[s.id]))})
		}
		executed := len(byID[s.id]) > 0 || s.status == http.StatusOK
		calm := undisturbed(hist, s.host, s.sent, s.ended)
		removed := s.flow.name == "removed key" && keyRemoved(hist, s)
		switch {
		case s.credential.unknown && executed:
			add("KEY", "executed with an unknown key")
		case removed && calm && executed:
			add("KEY", "executed with a removed key")
		case (s.credential.unknown || removed) && calm && s.answered() && s.status != http.StatusUnauthorized:
			add("KEY", "invalid key is not the reason of the response")
		case s.flow.name == "marker" && s.status == http.StatusUnauthorized && !versionReplaced(hist, s):
			add("KEY", "key of the version in force is rejected")
		}
		for _, e := range byID[s.id] {
			if len(e.Authorization()) > 0 {
				add("KEY", "key was passed to the server")
			}
			if want := s.credential.tenants(); !slices.Equal(e.Tenants(), want) {
				add("TENANT", fmt.Sprintf("server got the tenants %q, want %q", e.Tenants(), want))
			}
		}
	}
	return all
}

// tenants returns the names of tenants that a server must get with a request.
func (c credential) tenants() []string {
	if c.tenant == "" {
		return nil
	}
	return []string{c.tenant}
}

// keyRemoved reports whether the version that removed a key had to be in force when a
// request with it was sent.
func keyRemoved(hist history, s sample) bool {
	return slices.ContainsFunc(hist.changes, func(c configChange) bool {
		return c.version == s.version && s.sent.After(c.acknowledged.Add(maxKeyDelay))
	})
}

// versionReplaced reports whether the second version after that of a request, which removes
// its key, was written before the request ended.
func versionReplaced(hist history, s sample) bool {
	return slices.ContainsFunc(hist.changes, func(c configChange) bool {
		return c.version >= s.version+2 && c.acknowledged.Before(s.ended)
	})
}
