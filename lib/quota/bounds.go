package quota

import "time"

const (
	// creditLifetime is how long a credit may be used after it was asked for. Requests
	// sent within a window come from the credits of the window and of this time before
	// it, so that each 100 ms cost a tenth of a second of the rate out of the margin of the bound.
	creditLifetime = 500 * time.Millisecond
	// capacityShare is the fraction of the margin of the bound, less what the lifetime of
	// credits takes, that the owner's bucket holds. The rest is for changes of the owner
	// and for fallbacks; see docs/design/quotas.md.
	capacityShare = 0.6
	// minCapacity is the smallest capacity in requests. A tenant of 3 requests a second
	// whose requests arrive at random is refused 1 in 100 at this capacity, and more than
	// 5 in 100 at 2.
	minCapacity = 6.0
	// minCapacitySlackShare is the fraction of the slack that minCapacity may use.
	minCapacitySlackShare = 0.3
	// startPeriod is the time of the rate that an owner holds as tokens when its process
	// starts, so that usual demand that begins at once is not refused.
	startPeriod = 250 * time.Millisecond
	// minStart is the smallest number of start tokens.
	minStart = 3.0
	// maxRequests bounds a rate and a burst, so that every count of tokens is an integer. It
	// is more than all servers together can serve.
	maxRequests = 1e9
	// takeoverTokens is what an owner begins with that takes over from another one, since
	// the tokens that the other one had left are not known.
	takeoverTokens = 1.0
)

// Bounds are what the operators allow: in any window, (rate x window + burst) x
// (1 + overshoot) + slack requests of a tenant, over all nodes together.
type Bounds struct {
	window    time.Duration
	overshoot float64
	slack     float64
}

// NewBounds returns the bounds of a deployment.
func NewBounds(window time.Duration, overshoot, slack float64) Bounds {
	return Bounds{window: window, overshoot: overshoot, slack: slack}
}

// Window returns the window in which requests are counted.
func (b Bounds) Window() time.Duration { return b.window }

// Allowed returns the largest number of requests in a window.
func (b Bounds) Allowed(l Limit) float64 {
	return (l.rate*b.window.Seconds()+l.burst)*(1+b.overshoot) + b.slack
}

// margin returns what the bound allows in a window beyond the rate.
func (b Bounds) margin(l Limit) float64 { return b.Allowed(l) - l.rate*b.window.Seconds() }

// Capacity returns the capacity of the bucket of a tenant's owner.
func (b Bounds) Capacity(l Limit) float64 {
	free := b.margin(l) - l.rate*creditLifetime.Seconds()
	return max(min(l.burst, capacityShare*free), min(minCapacity, minCapacitySlackShare*b.slack), 1)
}

// Start returns the tokens of an owner whose process has just started.
func (b Bounds) Start(l Limit) float64 {
	return min(b.Capacity(l), max(l.rate*startPeriod.Seconds(), minStart))
}

// Limit is what a tenant may send over all nodes together.
type Limit struct {
	tenant string
	rate   float64
	burst  float64
}

// NewLimit returns the limit of a tenant in requests per second, and the requests
// beyond it. Numbers above maxRequests count as that many.
func NewLimit(tenant string, rate, burst float64) Limit {
	return Limit{tenant: tenant, rate: min(rate, maxRequests), burst: min(burst, maxRequests)}
}

// Tenant returns the name of the tenant.
func (l Limit) Tenant() string { return l.tenant }

// Rate returns the requests per second.
func (l Limit) Rate() float64 { return l.rate }
