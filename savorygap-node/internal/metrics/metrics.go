// Package metrics holds the counters and latency histograms of a node, and
// serves them with the state dump.
//
// # Usage
//
//	m := metrics.New()
//	m.ObserveRequest("basket", "answered", took)
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the counters and histograms.
type Metrics struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	served   *prometheus.CounterVec
	work     *prometheus.HistogramVec
	retried  *prometheus.CounterVec
	store    *prometheus.CounterVec
	storeLat *prometheus.HistogramVec
	probes   prometheus.Counter
	dials    prometheus.Counter
}

var buckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2} // seconds

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		ended:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_requests_total", Help: "Requests of callers by outcome."}, []string{"outcome"}),
		latency:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_request_seconds", Help: "Time from a request to its answer.", Buckets: buckets}, []string{"outcome"}),
		served:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_server_requests_total", Help: "Requests sent to the server on this host by outcome."}, []string{"service", "outcome"}),
		work:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_server_seconds", Help: "Time that the server on this host took.", Buckets: buckets}, []string{"outcome"}),
		retried:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_retries_total", Help: "Further attempts by service."}, []string{"service"}),
		store:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_store_calls_total", Help: "Calls to the platform's store by kind and status, 0 for no answer."}, []string{"call", "status"}),
		storeLat: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_store_seconds", Help: "Time that calls to the store took.", Buckets: buckets}, []string{"call"}),
		probes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_health_checks_total", Help: "Health checks sent to the server on this host."}),
		dials:    prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_server_connections_total", Help: "Connections opened to the server on this host."}),
	}
	m.registry.MustRegister(m.ended, m.latency, m.served, m.work, m.retried, m.store, m.storeLat, m.probes, m.dials)
	return m
}

// RegisterGauge adds a figure that is read when metrics are fetched.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// ObserveRequest counts a request of a caller.
func (m *Metrics) ObserveRequest(_, outcome string, took time.Duration) {
	m.ended.WithLabelValues(outcome).Inc()
	m.latency.WithLabelValues(outcome).Observe(took.Seconds())
}

// ObserveServerRequest counts a request to the server on this host.
func (m *Metrics) ObserveServerRequest(service, outcome string, took time.Duration) {
	m.served.WithLabelValues(service, outcome).Inc()
	m.work.WithLabelValues(outcome).Observe(took.Seconds())
}

// CountRetry counts a further attempt.
func (m *Metrics) CountRetry(service string) { m.retried.WithLabelValues(service).Inc() }

// ObserveStoreCall counts a call to the store.
func (m *Metrics) ObserveStoreCall(call string, status int, took time.Duration) {
	m.store.WithLabelValues(call, strconv.Itoa(status)).Inc()
	m.storeLat.WithLabelValues(call).Observe(took.Seconds())
}

// CountHealthCheck counts a health check.
func (m *Metrics) CountHealthCheck() { m.probes.Inc() }

// CountServerConnection counts a connection to the server on this host.
func (m *Metrics) CountServerConnection() { m.dials.Inc() }

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
