package routeconfig

// Tenant is a customer whose requests carry one of its API keys.
type Tenant struct {
	name        string
	keys        []string
	priority    int
	hasPriority bool
	rate        float64
	burst       float64
}

// NewTenant returns a tenant with its API keys.
func NewTenant(name string, keys []string) Tenant { return Tenant{name: name, keys: keys} }

// WithPriority returns the tenant with a priority that takes precedence over that of
// routes; 0 is the highest.
func (t Tenant) WithPriority(priority int) Tenant {
	t.priority, t.hasPriority = priority, true
	return t
}

// WithQuota returns the tenant with the requests per second and the burst that it may
// send through all nodes together; a rate of 0 means no limit.
func (t Tenant) WithQuota(perSecond, burst float64) Tenant {
	t.rate, t.burst = perSecond, burst
	return t
}

// Name returns the name of the tenant.
func (t *Tenant) Name() string { return t.name }

// Keys returns the API keys.
func (t *Tenant) Keys() []string { return t.keys }

// Priority returns the priority. It reports false if the priority of the route applies.
func (t *Tenant) Priority() (int, bool) { return t.priority, t.hasPriority }

// Rate returns the requests per second that the tenant may send, 0 for no limit.
func (t *Tenant) Rate() float64 { return t.rate }

// Burst returns the requests that the tenant may send beyond its rate.
func (t *Tenant) Burst() float64 { return t.burst }

// WithTenants returns the configuration with tenants. A key must not belong to two of
// them.
func (c *Config) WithTenants(tenants []Tenant) *Config {
	copied := *c
	copied.hasTenants, copied.tenants, copied.rates, copied.meanRate = len(tenants) > 0, map[string]*Tenant{}, map[string]float64{}, 0
	copied.withKeys = nil
	for i := range tenants {
		if len(tenants[i].keys) > 0 {
			copied.withKeys = append(copied.withKeys, &tenants[i])
		}
		for _, key := range tenants[i].keys {
			copied.tenants[key] = &tenants[i]
		}
		if rate := tenants[i].rate; rate > 0 {
			copied.meanRate += (rate - copied.meanRate) / float64(len(copied.rates)+1)
			copied.rates[tenants[i].name] = rate
		}
	}
	return &copied
}

// Tenants returns the tenants that have an API key, in the order of the configuration. The
// caller must not change the list.
func (c *Config) Tenants() []*Tenant { return c.withKeys }

// TenantWeight returns the share of scarce capacity that the named tenant is due, relative
// to those of other tenants: its rate, or the mean rate for one without a rate and for
// requests without a tenant. It is 0 if no tenant has a rate.
func (c *Config) TenantWeight(name string) float64 {
	if rate, ok := c.rates[name]; ok {
		return rate
	}
	return c.meanRate
}

// HasTenants reports whether requests need an API key, unless their route is anonymous.
func (c *Config) HasTenants() bool { return c.hasTenants }

// TenantByKey returns the tenant that the API key belongs to.
func (c *Config) TenantByKey(key string) (*Tenant, bool) {
	t, ok := c.tenants[key]
	return t, ok
}
