package settings

import "time"

// fileQuota is the encoding of the bounds of quotas.
type fileQuota struct {
	Window    time.Duration `yaml:"window"`
	Overshoot float64       `yaml:"overshoot"`
	Slack     float64       `yaml:"slack"`
}

// HasQuotas reports whether the limits of tenants are applied.
func (t *Tree) HasQuotas() bool { return t.file.Quota != nil && t.file.Quota.Window > 0 }

// QuotaBounds returns the window in which requests of a tenant are counted, and the share
// and the number of requests by which they may exceed its limit.
func (t *Tree) QuotaBounds() (window time.Duration, overshoot, slack float64) {
	if t.file.Quota == nil {
		return 0, 0, 0
	}
	return t.file.Quota.Window, t.file.Quota.Overshoot, t.file.Quota.Slack
}
