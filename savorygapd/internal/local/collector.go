package local

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorygap.example/savorygapd/internal/process"
)

const collectTimeout = 2 * time.Second

// collector queries the state of the tasks when metrics are scraped.
type collector struct {
	process       *process.Process
	breaches      *prometheus.Desc
	inFlight      *prometheus.Desc
	limit         *prometheus.Desc
	sentBytes     *prometheus.Desc
	receivedBytes *prometheus.Desc
	shedMessages  *prometheus.Desc
	revision      *prometheus.Desc
	members       *prometheus.Desc
	suspicions    *prometheus.Desc
}

func newCollector(p *process.Process) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("savorygap_"+name, help, labels, nil)
	}
	return &collector{
		process:       p,
		breaches:      desc("invariant_breaches_total", "Times that an invariant of admission did not hold.", "service", "address"),
		inFlight:      desc("server_in_flight", "Requests that a server of this host holds.", "service", "address"),
		limit:         desc("server_limit", "Requests that a server of this host may hold.", "service", "address"),
		sentBytes:     desc("control_sent_bytes_total", "Bytes of control messages sent."),
		receivedBytes: desc("control_received_bytes_total", "Bytes of control messages received."),
		shedMessages:  desc("control_shed_total", "Control messages held back by the budget."),
		revision:      desc("configuration_revision", "Revision in force."),
		members:       desc("members", "Nodes in this node's view, by state.", "state"),
		suspicions:    desc("suspicions_total", "Times that this node suspected another."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.breaches, c.inFlight, c.limit, c.sentBytes, c.receivedBytes, c.shedMessages, c.revision, c.members, c.suspicions,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(c.process.Context(), collectTimeout)
	defer cancel()
	c.collectControl(ctx, out)
	for _, sp := range c.process.ServerRegistry().Proxies(ctx) {
		d, ok := sp.Dump(ctx)
		if !ok {
			continue
		}
		labels := []string{d.Announcement().Service(), d.Announcement().Address()}
		out <- prometheus.MustNewConstMetric(c.breaches, prometheus.CounterValue, float64(d.InvariantBreaches()), labels...)
		out <- prometheus.MustNewConstMetric(c.inFlight, prometheus.GaugeValue, float64(d.InFlight()), labels...)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(d.Limit()), labels...)
	}
}

func (c *collector) collectControl(ctx context.Context, out chan<- prometheus.Metric) {
	d := c.process.GossipAgent().Dump(ctx)
	out <- prometheus.MustNewConstMetric(c.sentBytes, prometheus.CounterValue, float64(d.SentBytes()))
	out <- prometheus.MustNewConstMetric(c.receivedBytes, prometheus.CounterValue, float64(d.ReceivedBytes()))
	out <- prometheus.MustNewConstMetric(c.shedMessages, prometheus.CounterValue, float64(d.ShedMessages()))
	out <- prometheus.MustNewConstMetric(c.suspicions, prometheus.CounterValue, float64(d.Suspicions()))
	out <- prometheus.MustNewConstMetric(c.revision, prometheus.GaugeValue, float64(d.Revision()))
	states := map[string]int{}
	for _, m := range d.Members() {
		states[string(m.State())]++
	}
	for state, n := range states {
		out <- prometheus.MustNewConstMetric(c.members, prometheus.GaugeValue, float64(n), state)
	}
}
