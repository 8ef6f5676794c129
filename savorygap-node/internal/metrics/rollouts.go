package metrics

import "github.com/prometheus/client_golang/prometheus"

// CountJudged adds a counter of the responses that are judged during rollouts, and returns
// the function that counts one.
func (m *Metrics) CountJudged() func(version string, bad bool) {
	judged := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_rollout_responses_total", Help: "Responses of the server on this host during rollouts, by version and verdict."}, []string{"version", "verdict"})
	m.registry.MustRegister(judged)
	return func(version string, bad bool) {
		verdict := "good"
		if bad {
			verdict = "bad"
		}
		judged.WithLabelValues(version, verdict).Inc()
	}
}
