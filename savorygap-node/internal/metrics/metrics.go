// Package metrics holds the counters and latency histograms of a node, and serves
// them in the text format of Prometheus.
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

// Metrics holds the metrics of a node.
type Metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	serverRequests    *prometheus.CounterVec
	serverSeconds     *prometheus.HistogramVec
	searches          *prometheus.CounterVec
	allowances        *prometheus.GaugeVec
	retries           *prometheus.CounterVec
	hedges            *prometheus.CounterVec
	storeCalls        *prometheus.CounterVec
	storeSeconds      *prometheus.HistogramVec
	storeRestores     prometheus.Counter
	healthChecks      prometheus.Counter
	serverConnections prometheus.Counter
}

var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2} // seconds

// New returns metrics with a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry:          prometheus.NewRegistry(),
		requests:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_requests_total", Help: "Requests of callers by outcome."}, []string{"outcome"}),
		requestSeconds:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_request_seconds", Help: "Time from a request to its answer.", Buckets: latencyBuckets}, []string{"outcome"}),
		serverRequests:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_server_requests_total", Help: "Requests sent to the server on this host by outcome."}, []string{"service", "outcome"}),
		serverSeconds:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_server_seconds", Help: "Time that the server on this host took.", Buckets: latencyBuckets}, []string{"outcome"}),
		searches:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_searches_total", Help: "Searches for a slot by service and by whether servers in far data centres were asked."}, []string{"service", "scope"}),
		allowances:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "savorygap_start_allowance", Help: "Share of a route's requests that the server on this host is given, while a service that they call is short of room."}, []string{"route"}),
		retries:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_retries_total", Help: "Further attempts by service."}, []string{"service"}),
		hedges:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_hedges_total", Help: "Hedges by service and event (sent, won, denied) where the settings limit them, and why they were denied."}, []string{"service", "event", "reason"}),
		storeCalls:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savorygap_store_calls_total", Help: "Calls to the platform's store by kind and status, 0 for no answer."}, []string{"call", "status"}),
		storeSeconds:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "savorygap_store_seconds", Help: "Time that calls to the store took.", Buckets: latencyBuckets}, []string{"call"}),
		storeRestores:     prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_store_restores_total", Help: "Times that this node found the platform's store restored to an older state."}),
		healthChecks:      prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_health_checks_total", Help: "Health checks sent to the server on this host."}),
		serverConnections: prometheus.NewCounter(prometheus.CounterOpts{Name: "savorygap_server_connections_total", Help: "Connections opened to the server on this host."}),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.serverRequests, m.serverSeconds, m.searches, m.allowances, m.retries, m.hedges, m.storeCalls, m.storeSeconds, m.storeRestores, m.healthChecks, m.serverConnections)
	return m
}

// RegisterGauge adds a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// ObserveRequest records the outcome of a request of a caller. Its route, the first
// argument, is not a label.
func (m *Metrics) ObserveRequest(_, outcome string, took time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.requestSeconds.WithLabelValues(outcome).Observe(took.Seconds())
}

// ObserveServerRequest records the outcome of a request to the server on this host.
func (m *Metrics) ObserveServerRequest(service, outcome string, took time.Duration) {
	m.serverRequests.WithLabelValues(service, outcome).Inc()
	m.serverSeconds.WithLabelValues(outcome).Observe(took.Seconds())
}

// CountSearch counts a search for a slot of the service.
func (m *Metrics) CountSearch(service, scope string) {
	m.searches.WithLabelValues(service, scope).Inc()
}

// SetAllowance sets the share of a route's requests that are started.
func (m *Metrics) SetAllowance(route string, share float64) {
	m.allowances.WithLabelValues(route).Set(share)
}

// CountRetry counts a retry of a request to the service.
func (m *Metrics) CountRetry(service string) { m.retries.WithLabelValues(service).Inc() }

// CountHedge counts a hedge of a request to the service that was sent, won, or was denied
// for a reason.
func (m *Metrics) CountHedge(service, event, reason string) {
	m.hedges.WithLabelValues(service, event, reason).Inc()
}

// ObserveStoreCall records a call to the store; status 0 means that there was no
// reply.
func (m *Metrics) ObserveStoreCall(call string, status int, took time.Duration) {
	m.storeCalls.WithLabelValues(call, strconv.Itoa(status)).Inc()
	m.storeSeconds.WithLabelValues(call).Observe(took.Seconds())
}

// CountStoreRestore counts that the store was found restored to an older state.
func (m *Metrics) CountStoreRestore() { m.storeRestores.Inc() }

// CountHealthCheck counts a health check of the server on this host.
func (m *Metrics) CountHealthCheck() { m.healthChecks.Inc() }

// CountServerConnection counts a connection opened to the server on this host.
func (m *Metrics) CountServerConnection() { m.serverConnections.Inc() }

// Handler serves the metrics in the text format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
