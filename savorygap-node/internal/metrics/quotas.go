package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"savorygap.example/lib/quota"
)

// Quotas holds the metrics of quotas.
type Quotas struct {
	credits *prometheus.CounterVec
	refused *prometheus.CounterVec
	lent    prometheus.Counter
}

// NewQuotas adds the metrics of quotas.
func (m *Metrics) NewQuotas() *Quotas {
	q := &Quotas{
		credits: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_quota_credits_total", Help: "Requests of tenants that this node may send, by who granted them: the owner of the tenant or the fallback of this node."}, []string{"source"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_quota_refused_total", Help: "Requests above the limit of their tenant, by what decided: the owner, its answer of a moment ago, or the fallback of this node."}, []string{"source"}),
		lent:    prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_quota_lent_total", Help: "Credits granted to other nodes for tenants that this node owns."}),
	}
	m.registry.MustRegister(q.credits, q.refused, q.lent)
	return q
}

// CountCredits counts credits that this node was granted.
func (q *Quotas) CountCredits(source quota.Source, credits int) {
	q.credits.WithLabelValues(string(source)).Add(float64(credits))
}

// CountRefused counts a request above the limit of its tenant.
func (q *Quotas) CountRefused(source quota.Source) { q.refused.WithLabelValues(string(source)).Inc() }

// CountLent counts credits granted to another node.
func (q *Quotas) CountLent(credits int) { q.lent.Add(float64(credits)) }
