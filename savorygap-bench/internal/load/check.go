package load

import "fmt"

// maxReportedViolations limits the violations that one check reports.
const maxReportedViolations = 5

// CheckExecutions compares the outcome of every request with how often the servers
// executed its id and describes the violations: a request reported as not run that
// was executed, a successful request that was not executed, and a non-idempotent
// request or a key that was executed more than once, whatever its outcome.
// Idempotent requests may be retried or hedged and so executed more than once. A
// request with a key may succeed without an execution of its own, since a repeat
// gets the response of the first.
func CheckExecutions(samples []Sample, executions map[string]int, idempotent func(flow string) bool) []string {
	violations := duplicateKeys(samples, executions)
	for _, s := range samples {
		n := executions[s.id]
		if problem := describeViolation(s, n, idempotent(s.flow)); problem != "" && len(violations) < maxReportedViolations {
			violations = append(violations, fmt.Sprintf("request %s of flow %s (%s, status %d, %s): %s", s.id, s.flow, s.outcome, s.status, s.reason, problem))
		}
	}
	return violations
}

// duplicateKeys describes the keys whose requests the servers executed more than
// once in total.
func duplicateKeys(samples []Sample, executions map[string]int) []string {
	byKey := map[string]int{}
	for _, s := range samples {
		if s.key != "" {
			byKey[s.key] += executions[s.id]
		}
	}
	var violations []string
	for key, n := range byKey {
		if n > 1 && len(violations) < maxReportedViolations {
			violations = append(violations, fmt.Sprintf("key %s was executed %d times", key, n))
		}
	}
	return violations
}

func describeViolation(s Sample, executions int, idempotent bool) string {
	switch {
	case s.outcome == "not-run" && executions > 0:
		return fmt.Sprintf("reported as not run, but executed %d times", executions)
	case s.outcome == "answered" && s.status < 400 && executions == 0 && s.key == "":
		return "answered, but never executed"
	case !idempotent && executions > 1:
		return fmt.Sprintf("not idempotent, but executed %d times", executions)
	}
	return ""
}
