package cluster

import "time"

// rolloutOrder is the operators' order to move a service to a version.
type rolloutOrder struct {
	service  string
	version  string
	duration time.Duration
}

// OrderRollout orders the rollout of a service to a version.
func (c *Cluster) OrderRollout(service, version string, duration time.Duration) {
	c.order.Store(&rolloutOrder{service: service, version: version, duration: duration})
	c.store.OrderRollout(service, version, duration)
}

// WithdrawRollout removes the order for a service.
func (c *Cluster) WithdrawRollout(service string) {
	c.order.Store(nil)
	c.store.WithdrawRollout(service)
}

// RepeatRollout orders the last rollout again if the store has lost the order.
func (c *Cluster) RepeatRollout() {
	if o := c.order.Load(); o != nil && c.store.OrderedVersion(o.service) != o.version {
		c.store.OrderRollout(o.service, o.version, o.duration)
	}
}

// PutConfiguration writes the next version of the sample configuration to the store.
// It returns the version and when the store acknowledged it.
func (c *Cluster) PutConfiguration() (version int64, acknowledged time.Time) {
	version = c.version.Add(1)
	c.store.PutConfiguration(version, ColdDuration, ColdRequestRate, c.Quota())
	return version, time.Now()
}

// RepeatConfiguration writes the current version of the sample configuration again.
func (c *Cluster) RepeatConfiguration() {
	c.store.PutConfiguration(c.version.Load(), ColdDuration, ColdRequestRate, c.Quota())
}

// Quota returns the limit of a tenant with a limit, in requests a second over all nodes.
func (c *Cluster) Quota() float64 { return float64(quotaPerHost * len(c.plan.hosts)) }

// SetEvacuated takes a data centre out of service or returns it to service. It
// returns when the store acknowledged the change.
func (c *Cluster) SetEvacuated(dataCentre string, evacuated bool) (acknowledged time.Time) {
	c.store.SetEvacuated(dataCentre, evacuated)
	return time.Now()
}
