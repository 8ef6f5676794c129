package load

import "fmt"

// maxNamed bounds how many requests a violation names.
const maxNamed = 5

// CheckExecutions compares every request with how often its id ran at the servers and
// returns what must not be: an answered request that did not run exactly once,
// a request told not run that ran, a request of unknown outcome that ran twice.
// Requests that may be retried or hedged are only checked for not run, and those
// with a key by key, since a repeat gets the answer of the first.
func CheckExecutions(samples []Sample, runs map[string]int, idempotent func(flow string) bool) []string {
	wrong := runTwice(samples, runs)
	for _, s := range samples {
		n := runs[s.id]
		if reason := violation(s, n, idempotent(s.flow)); reason != "" && len(wrong) < maxNamed {
			wrong = append(wrong, fmt.Sprintf("request %s of flow %s (%s, status %d, %s): %s", s.id, s.flow, s.outcome, s.status, s.reason, reason))
		}
	}
	return wrong
}

// runTwice finds keys under which servers ran more than one request.
func runTwice(samples []Sample, runs map[string]int) []string {
	byKey := map[string]int{}
	for _, s := range samples {
		if s.key != "" {
			byKey[s.key] += runs[s.id]
		}
	}
	var wrong []string
	for key, n := range byKey {
		if n > 1 && len(wrong) < maxNamed {
			wrong = append(wrong, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	return wrong
}

func violation(s Sample, runs int, idempotent bool) string {
	switch {
	case s.outcome == "not-run" && runs > 0:
		return fmt.Sprintf("told not run and ran %d times", runs)
	case s.outcome == "answered" && s.status < 400 && runs == 0 && s.key == "":
		return "answered and never ran"
	case !idempotent && runs > 1:
		return fmt.Sprintf("not idempotent and ran %d times", runs)
	}
	return ""
}
