package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

// Bounds of the platform's contract.
const (
	drainBound    = 2 * time.Second
	configBound   = 2 * time.Second
	evacuateBound = 5 * time.Second
	touchBound    = 3 * time.Second // a host counts again so long after trouble
	lossSlack     = 200 * time.Millisecond
	coldOvershoot = 1.5
	coldSlack     = 5
	coldWindow    = time.Second
	// lostMost is how many answers may be lost over kept connections beside faults.
	lostMost = 3
)

// finding is something that must not be.
type finding struct {
	rule string
	text string
	at   time.Time
}

// check compares what callers saw with what ran and with what was done.
func check(samples []sample, entries []cluster.Execution, r record) []finding {
	runs := map[string][]cluster.Execution{}
	for _, e := range entries {
		runs[e.ID()] = append(runs[e.ID()], e)
	}
	var all []finding
	for _, f := range r.failures {
		all = append(all, finding{rule: "FAULT", text: f})
	}
	all = append(all, checkSamples(samples, runs, r)...)
	all = append(all, checkLost(samples, runs, r)...)
	all = append(all, checkMarkers(samples, r)...)
	return append(all, checkEntries(entries, samples, r)...)
}

// checkSamples judges each request by itself.
func checkSamples(samples []sample, runs map[string][]cluster.Execution, r record) []finding {
	var all []finding
	add := func(s sample, rule, text string) {
		all = append(all, finding{rule: rule, at: s.sent, text: fmt.Sprintf("%s request %s sent to %s: %s (status %d, ran %d times)", s.flow.name, s.id, s.host.Name(), text, s.status, len(runs[s.id]))})
	}
	for _, s := range samples {
		ran := len(runs[s.id])
		switch {
		case s.status != 0 && s.status < http.StatusMultipleChoices && (!s.whole || !s.sealed):
			add(s, "MIXED", "success that is not the server's whole answer")
		case !s.flow.idempotent && ran > 1:
			add(s, "TWICE", "runs more than once")
		case !s.flow.idempotent && s.notRun() && ran > 0:
			add(s, "REFUSED", "told not to have run")
		case s.flow.name != "marker" && s.status >= 400 && s.status < 500 && !s.notRun():
			add(s, "DENIED", "proper request denied")
		case s.status == http.StatusBadGateway && calm(r, s):
			add(s, "FAILED", "outcome unknown beside planned work")
		}
	}
	return all
}

// calm reports whether nothing but planned work went on around a request.
func calm(r record, s sample) bool {
	return !slices.ContainsFunc(r.troubles, func(t trouble) bool {
		return !t.planned && t.from.Before(s.ended) && t.to.Add(touchBound).After(s.sent)
	})
}

// checkLost finds requests that were passed on and got no answer though nothing
// but planned work went on.
func checkLost(samples []sample, runs map[string][]cluster.Execution, r record) []finding {
	var all []finding
	for _, s := range samples {
		if s.answered() || s.refused || s.left || s.ended.Sub(s.sent) >= patience || !calm(r, s) {
			continue
		}
		if len(runs[s.id]) > 0 || s.ended.Sub(s.sent) > lossSlack {
			all = append(all, finding{rule: "LOST", at: s.sent, text: fmt.Sprintf("%s request %s to %s ended without an answer after %s, ran %d times", s.flow.name, s.id, s.host.Name(), s.ended.Sub(s.sent), len(runs[s.id]))})
		}
	}
	if len(all) <= lostMost && !slices.ContainsFunc(r.troubles, func(t trouble) bool { return t.planned && t.host != nil }) {
		return nil
	}
	return all
}

// checkMarkers finds hosts in touch on which a version is late, or is lost again.
func checkMarkers(samples []sample, r record) []finding {
	var all []finding
	for _, s := range samples {
		if s.flow.name != "marker" || s.status != http.StatusNotFound {
			continue
		}
		for _, c := range r.changes {
			if c.version == s.version && s.sent.After(c.acknowledged.Add(configBound)) && inTouch(r, s.host, s.sent, s.ended) {
				all = append(all, finding{rule: "CONFIG", at: s.sent, text: fmt.Sprintf("%s does not know version %d, acknowledged %s before", s.host.Name(), c.version, s.sent.Sub(c.acknowledged))})
			}
		}
	}
	return all
}

// inTouch reports whether neither a host nor the store was in trouble from some
// time before a moment to another.
func inTouch(r record, h *cluster.Host, from, to time.Time) bool {
	return !slices.ContainsFunc(r.troubles, func(t trouble) bool {
		if t.planned && t.host == nil || t.host != nil && t.host != h {
			return false
		}
		return t.from.Before(to) && t.to.Add(touchBound).After(from)
	})
}

// checkEntries judges what reached the servers.
func checkEntries(entries []cluster.Execution, samples []sample, r record) []finding {
	sent := map[string]sample{}
	for _, s := range samples {
		sent[s.id] = s
	}
	var all []finding
	add := func(e cluster.Execution, rule, text string) {
		all = append(all, finding{rule: rule, at: e.StartedAt(), text: fmt.Sprintf("request %s at %s: %s", e.ID(), e.Instance(), text)})
	}
	for _, e := range entries {
		s, known := sent[e.ID()]
		switch {
		case !known:
			add(e, "UNASKED", "nobody sent it")
		case e.Origin() != s.host.Service():
			add(e, "UNASKED", "is said to come from "+e.Origin())
		case s.flow.service != e.Host().Service() || !strings.HasPrefix(e.URI(), s.flow.path):
			add(e, "ROUTE", "runs "+e.URI())
		case e.OverCapacity() && !heldUp(r, e):
			add(e, "OVER", "begins above the server's slots")
		}
		if after, ok := afterLeaving(e, r); ok && !heldUp(r, e) {
			add(e, "DRAIN", fmt.Sprintf("arrives %s after the leaving was acknowledged", after))
		}
		if after, ok := inEvacuation(e, r); ok && inTouch(r, e.Host(), e.StartedAt(), e.StartedAt()) {
			add(e, "EVAC", fmt.Sprintf("arrives %s after the evacuation", after))
		}
	}
	return append(all, checkCold(entries, r)...)
}

// heldUp reports whether a run may be one of several that were held up between the
// node and the server, and arrived together.
func heldUp(r record, e cluster.Execution) bool {
	return slices.ContainsFunc(r.troubles, func(t trouble) bool {
		return t.holds && t.host == e.Host() && t.from.Before(e.StartedAt()) && t.to.Add(touchBound).After(e.StartedAt())
	})
}

func afterLeaving(e cluster.Execution, r record) (time.Duration, bool) {
	for _, l := range r.leaving {
		if after := e.StartedAt().Sub(l.acknowledged); l.instance == e.Instance() && after > drainBound {
			return after, true
		}
	}
	return 0, false
}

func inEvacuation(e cluster.Execution, r record) (time.Duration, bool) {
	for _, v := range r.evacuations {
		if after := e.StartedAt().Sub(v.from); v.dataCentre == e.Host().DataCentre() && after > evacuateBound && e.StartedAt().Before(v.to) {
			return after, true
		}
	}
	return 0, false
}

// checkCold counts what reaches cold servers in any second.
func checkCold(entries []cluster.Execution, r record) []finding {
	most := int(cluster.ColdRequestRate*coldOvershoot + coldSlack)
	var all []finding
	for _, c := range r.cold {
		var times []time.Time
		for _, e := range entries {
			if e.Instance() == c.instance && e.StartedAt().Before(c.until) && !heldUp(r, e) {
				times = append(times, e.StartedAt())
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			if i+most < len(times) && times[i+most].Sub(times[i]) < coldWindow {
				all = append(all, finding{rule: "FAILBACK", at: times[i], text: fmt.Sprintf("cold server %s gets over %d requests in a second", c.instance, most)})
				break
			}
		}
	}
	return all
}
