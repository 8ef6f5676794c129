package settings

import (
	"fmt"
	"time"
)

// fileQuota is the encoding of the bounds of quotas.
type fileQuota struct {
	Window    time.Duration `yaml:"window"`
	Overshoot float64       `yaml:"overshoot"`
	Slack     float64       `yaml:"slack"`
}

// isValid reports whether the bounds are sound, or not set.
func (q *fileQuota) isValid() bool {
	return q == nil || q.Window > 0 && q.Overshoot >= 0 && q.Slack >= 0
}

// QuotaError reports bounds of quotas that cannot be applied.
type QuotaError struct {
	path string
}

// Error implements error.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("settings file %q: set quota.window above 0, and quota.overshoot and quota.slack to 0 or more", e.path)
}

// HasQuotas reports whether the limits of tenants are applied.
func (t *Tree) HasQuotas() bool { return t.file.Quota != nil }

// QuotaBounds returns the window in which requests of a tenant are counted, and the share
// and the number of requests by which they may exceed its limit.
func (t *Tree) QuotaBounds() (window time.Duration, overshoot, slack float64) {
	if t.file.Quota == nil {
		return 0, 0, 0
	}
	return t.file.Quota.Window, t.file.Quota.Overshoot, t.file.Quota.Slack
}
