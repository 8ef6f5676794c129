package cluster

import "time"

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
