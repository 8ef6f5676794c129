package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	// The first three are set by the platform's contract, counted from the
	// acknowledgement of the operation.
	maxDrainDelay      = 2 * time.Second
	maxConfigDelay     = 2 * time.Second
	maxEvacuationDelay = 5 * time.Second
	recoveryGrace      = 3 * time.Second        // time after a disturbance in which its effects are tolerated
	minForwardedTime   = 200 * time.Millisecond // a request that fails sooner without being executed counts as not forwarded
	coldRateFactor     = 1.5                    // factor on the request rate of a cold server
	coldExtraRequests  = 5                      // requests above that
	coldWindow         = time.Second
	// maxLostOnReuse is how many responses may be lost on reused connections in a run
	// without planned operations on hosts.
	maxLostOnReuse = 3
)

// violation is a broken rule of the contract.
type violation struct {
	rule string
	text string
	at   time.Time
}

// check compares the responses that callers saw with the executions at the servers
// and with the operations carried out.
func check(samples []sample, executions []cluster.Execution, hist history) []violation {
	byID := map[string][]cluster.Execution{}
	for _, e := range executions {
		byID[e.ID()] = append(byID[e.ID()], e)
	}
	var all []violation
	for _, f := range hist.failures {
		all = append(all, violation{rule: "FAULT", text: f})
	}
	all = append(all, checkResponses(samples, byID, hist)...)
	all = append(all, checkLost(samples, byID, hist)...)
	all = append(all, checkConfiguration(samples, hist)...)
	all = append(all, checkLimits(executions, hist)...)
	all = append(all, checkKeys(samples, byID, hist)...)
	all = append(all, checkQuotas(samples, byID, hist)...)
	all = append(all, checkRollouts(executions, hist)...)
	return append(all, checkExecutions(executions, samples, hist)...)
}

// checkResponses checks each request on its own.
func checkResponses(samples []sample, byID map[string][]cluster.Execution, hist history) []violation {
	var all []violation
	add := func(s sample, rule, text string) {
		all = append(all, violation{rule: rule, at: s.sent, text: fmt.Sprintf("%s request %s sent to %s: %s (status %d, executed %d times)", s.flow.name, s.id, s.host.Name(), text, s.status, len(byID[s.id]))})
	}
	for _, s := range samples {
		count := len(byID[s.id])
		switch {
		case s.status != 0 && s.status < http.StatusMultipleChoices && (!s.complete || !s.signed):
			add(s, "MIXED", "successful response is incomplete, unsigned or that of another request")
		case !s.flow.idempotent && count > 1:
			add(s, "TWICE", "non-idempotent request executed more than once")
		case !s.flow.idempotent && s.notRun() && count > 0:
			add(s, "REFUSED", "reported as not executed, but was executed")
		case s.credential.accepted && s.status >= 400 && s.status < 500 && !s.notRun():
			add(s, "DENIED", "valid request rejected")
		case s.status == http.StatusBadGateway && onlyPlannedWork(hist, s):
			add(s, "FAILED", "outcome unknown although only planned operations were in progress")
		}
	}
	return all
}

// onlyPlannedWork reports whether no fault was in effect during a request.
func onlyPlannedWork(hist history, s sample) bool {
	return !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		return !d.planned && d.from.Before(s.ended) && d.to.Add(recoveryGrace).After(s.sent)
	})
}

// checkLost finds requests that were forwarded and got no response although only
// planned operations were in progress.
func checkLost(samples []sample, byID map[string][]cluster.Execution, hist history) []violation {
	var all []violation
	for _, s := range samples {
		if s.answered() || s.connectionRefused || s.cancelled || s.ended.Sub(s.sent) >= callerTimeout || !onlyPlannedWork(hist, s) {
			continue
		}
		if len(byID[s.id]) > 0 || s.ended.Sub(s.sent) > minForwardedTime {
			all = append(all, violation{rule: "LOST", at: s.sent, text: fmt.Sprintf("%s request %s to %s got no response within %s, was executed %d times", s.flow.name, s.id, s.host.Name(), s.ended.Sub(s.sent), len(byID[s.id]))})
		}
	}
	if len(all) <= maxLostOnReuse && !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool { return d.planned && d.host != nil }) {
		return nil
	}
	return all
}

// checkConfiguration finds undisturbed hosts that do not serve a configuration
// version in time, or no longer serve it.
func checkConfiguration(samples []sample, hist history) []violation {
	var all []violation
	for _, s := range samples {
		if s.flow.name != "marker" || s.status != http.StatusNotFound {
			continue
		}
		for _, c := range hist.changes {
			if c.version == s.version && s.sent.After(c.acknowledged.Add(maxConfigDelay)) && undisturbed(hist, s.host, s.sent, s.ended) {
				all = append(all, violation{rule: "CONFIG", at: s.sent, text: fmt.Sprintf("%s does not serve configuration version %d, acknowledged %s earlier", s.host.Name(), c.version, s.sent.Sub(c.acknowledged))})
			}
		}
	}
	return all
}

// undisturbed reports whether neither a host nor the store was disturbed between
// two times, or within recoveryGrace before the first.
func undisturbed(hist history, h *cluster.Host, from, to time.Time) bool {
	return !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		if d.planned && d.host == nil || d.host != nil && d.host != h {
			return false
		}
		return d.from.Before(to) && d.to.Add(recoveryGrace).After(from)
	})
}

// checkExecutions checks the requests that reached the servers.
func checkExecutions(executions []cluster.Execution, samples []sample, hist history) []violation {
	sent := map[string]sample{}
	for _, s := range samples {
		sent[s.id] = s
	}
	var all []violation
	add := func(e cluster.Execution, rule, text string) {
		all = append(all, violation{rule: rule, at: e.StartedAt(), text: fmt.Sprintf("request %s at %s: %s", e.ID(), e.Instance(), text)})
	}
	for _, e := range executions {
		s, known := sent[e.ID()]
		switch {
		case !known:
			add(e, "UNASKED", "no caller sent it")
		case e.Origin() != s.host.Service():
			add(e, "UNASKED", fmt.Sprintf("names caller service %q, sent by %q", e.Origin(), s.host.Service()))
		case s.flow.service != e.Host().Service() || !strings.HasPrefix(e.URI(), s.flow.path):
			add(e, "ROUTE", fmt.Sprintf("%s reached service %q, sent to %q", e.URI(), e.Host().Service(), s.flow.service))
		case e.OverCapacity() && !mayBeDelayed(hist, e):
			add(e, "OVER", "started while all slots of the server were taken")
		}
		if after, ok := afterDeparture(e, hist); ok && !mayBeDelayed(hist, e) {
			add(e, "DRAIN", fmt.Sprintf("arrived %s after the drain was acknowledged", after))
		}
		if after, restored, ok := duringEvacuation(e, hist); ok && (undisturbed(hist, e.Host(), e.StartedAt(), e.StartedAt()) || restored && hostUndisturbed(hist, e.Host(), e.StartedAt())) {
			add(e, "EVAC", fmt.Sprintf("arrived %s after the evacuation was acknowledged", after))
		}
	}
	return append(all, checkCold(executions, hist)...)
}

// mayBeDelayed reports whether an execution may belong to a burst of requests that
// were held between the node and the server and then arrived together.
func mayBeDelayed(hist history, e cluster.Execution) bool {
	return slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		return d.delaysRequests && d.host == e.Host() && d.from.Before(e.StartedAt()) && d.to.Add(recoveryGrace).After(e.StartedAt())
	})
}

func afterDeparture(e cluster.Execution, hist history) (time.Duration, bool) {
	for _, d := range hist.departures {
		if after := e.StartedAt().Sub(d.acknowledged); d.instance == e.Instance() && after > maxDrainDelay {
			return after, true
		}
	}
	return 0, false
}

// duringEvacuation reports whether an execution began while its data centre had to be out
// of service, how long after the acknowledgement, and whether the store lost the
// evacuation meanwhile.
func duringEvacuation(e cluster.Execution, hist history) (after time.Duration, restored, ok bool) {
	for _, v := range hist.evacuations {
		if after := e.StartedAt().Sub(v.from); v.dataCentre == e.Host().DataCentre() && after > maxEvacuationDelay && e.StartedAt().Before(v.to) {
			return after, v.restored, true
		}
	}
	return 0, false, false
}

// checkCold checks the request rate of cold servers over every one-second window.
func checkCold(executions []cluster.Execution, hist history) []violation {
	maxRequests := int(cluster.ColdRequestRate*coldRateFactor + coldExtraRequests)
	var all []violation
	for _, c := range hist.coldStarts {
		var times []time.Time
		for _, e := range executions {
			if e.Instance() == c.instance && e.StartedAt().Before(c.until) && !mayBeDelayed(hist, e) {
				times = append(times, e.StartedAt())
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			if i+maxRequests < len(times) && times[i+maxRequests].Sub(times[i]) < coldWindow {
				all = append(all, violation{rule: "FAILBACK", at: times[i], text: fmt.Sprintf("cold server %s got more than %d requests within a second", c.instance, maxRequests)})
				break
			}
		}
	}
	return all
}
