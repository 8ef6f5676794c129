package serverproxy

// WithNesting returns the settings with a function that reports whether the id of a call
// says that the request with the id parent makes it while it runs.
func (c Config) WithNesting(isNestedIn func(id, parent string) bool) Config {
	c.isNestedIn = isNestedIn
	return c
}

// publishRunning publishes the ids of the requests that the server runs, if the
// configuration in force has tenants. The node needs them to accept a call of the server
// without an API key. Publishing a copy costs one allocation for each request that starts
// or ends; a message for each nested call would cost the call a wait for this task.
func (p *Proxy) publishRunning() {
	if p.snapshot.config == nil || !p.snapshot.config.HasTenants() {
		if p.running.Load() != nil {
			p.running.Store(nil)
		}
		return
	}
	ids := make([]string, 0, len(p.forwarded))
	for _, r := range p.forwarded {
		ids = append(ids, r.request.ID())
	}
	p.running.Store(&ids)
}

// RunsParent reports whether the id of a call extends that of a request that the server
// runs. It always reports false without tenants in the configuration. It may be called
// from any goroutine.
func (p *Proxy) RunsParent(id string) bool {
	ids := p.running.Load()
	if ids == nil {
		return false
	}
	for _, parent := range *ids {
		if p.config.isNestedIn(id, parent) {
			return true
		}
	}
	return false
}

// tenantWeight returns the share of the server that a tenant is due, relative to those of
// others, 0 without tenants in the configuration.
func (p *Proxy) tenantWeight(tenant string) float64 {
	if p.snapshot.config == nil || !p.snapshot.config.HasTenants() {
		return 0
	}
	return p.snapshot.config.TenantWeight(tenant)
}
