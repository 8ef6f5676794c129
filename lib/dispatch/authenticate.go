package dispatch

import (
	"errors"
	"maps"
	"net/http"

	"savorygap.example/lib/headernames"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

const (
	// authorizationField is the standard header field that carries an API key.
	authorizationField = "Authorization"
	// outcomeUnauthorized is the outcome of a call that needs an API key and has no valid
	// one.
	outcomeUnauthorized = "unauthorized"
)

// ErrUnknownParent reports a call without an API key whose id says that a request makes it
// while it runs, although the server on this host does not run that request. An earlier
// process of this node may have sent it there.
var ErrUnknownParent = errors.New("the request that makes this call is not known here")

// UnauthorizedError reports a call that needs an API key and has no valid one.
type UnauthorizedError struct {
	missing bool
}

// Error implements error. The text never contains the key.
func (e *UnauthorizedError) Error() string {
	if e.missing {
		return "the route needs an API key"
	}
	return "the API key is not valid"
}

// tenantSettings holds what the platform defines about API keys and tenants.
type tenantSettings struct {
	field      string // header field with the name of the tenant
	challenge  string // value of WWW-Authenticate, "" for none
	parentRuns func(id string) bool
}

func defaultTenantSettings() tenantSettings {
	return tenantSettings{field: headernames.Default().Tenant(), parentRuns: func(string) bool { return false }}
}

// WithTenants returns the settings with the header field that tells a server the name of
// the tenant, the authentication scheme that responses of status 401 name, and a function
// that reports whether the id of a call extends that of a request that the server on this
// host runs. The function must not block.
func (c Config) WithTenants(field, scheme string, parentRuns func(id string) bool) Config {
	c.tenants = tenantSettings{field: http.CanonicalHeaderKey(field), challenge: scheme, parentRuns: parentRuns}
	return c
}

// authenticate returns the tenant of a call, nil if it needs none, and whether a running
// request waits for the call. Where the configuration has tenants, an id alone does not make a
// call nested: any caller could claim the precedence of nested calls by its id.
func (r *Router) authenticate(config *routeconfig.Config, route *routeconfig.Route, c Call) (tenant *routeconfig.Tenant, nested bool, err error) {
	if !config.HasTenants() {
		return nil, c.nested, nil
	}
	nested = c.nested && r.config.tenants.parentRuns(c.request.ID())
	switch {
	case route.Anonymous():
		return nil, nested, nil
	case c.apiKey != "":
		tenant, ok := config.TenantByKey(c.apiKey)
		if !ok {
			return nil, false, &UnauthorizedError{}
		}
		return tenant, nested, nil
	case nested:
		return nil, true, nil
	case c.nested:
		return nil, false, ErrUnknownParent
	}
	return nil, false, &UnauthorizedError{missing: true}
}

// applyTenant prepares the call according to its plan. Where the configuration has
// tenants, the server gets the name of the tenant in place of the API key.
func (p *pendingCall) applyTenant() {
	p.call.nested = p.plan.nested
	if p.plan.config.HasTenants() {
		p.call.request = p.call.request.WithHeader(p.tenantHeader(p.call.request))
	}
}

// tenantHeader returns a copy of the request's header without the API key, and with the
// name of the call's tenant in place of what the caller sent.
func (p *pendingCall) tenantHeader(r *upstream.Request) http.Header {
	header := maps.Clone(r.Header())
	if header == nil {
		header = http.Header{}
	}
	delete(header, authorizationField)
	delete(header, p.router.config.tenants.field)
	if name := p.tenantName(); name != "" {
		header[p.router.config.tenants.field] = []string{name}
	}
	return header
}

// keyState says what the configuration in force holds for the API key of a planned call.
type keyState uint8

const (
	keyValid keyState = iota
	// keyMoved means that the key now belongs to another tenant than the one that the
	// call was planned for.
	keyMoved
	keyRemoved
)

// keyState returns the state of the call's API key. A call that needs no key counts as
// one with a valid key. In the usual case only two pointers are compared.
func (p *pendingCall) keyState() keyState {
	config := p.router.inForce.Load()
	if config == p.plan.config || config == nil || p.plan.tenant == nil || !config.HasTenants() {
		return keyValid
	}
	if route, ok := config.Match(p.call.request.Host(), p.call.path); ok && route.Anonymous() {
		return keyValid
	}
	tenant, ok := config.TenantByKey(p.call.apiKey)
	switch {
	case !ok:
		return keyRemoved
	case tenant.Name() != p.plan.tenant.Name():
		return keyMoved
	}
	return keyValid
}

// mayStillBeSent reports whether the API key of the call is valid, and if not, records
// why the call ends.
func (p *pendingCall) mayStillBeSent() bool {
	switch p.keyState() {
	case keyMoved:
		p.reason, p.retryAfter = "the API key was given to another tenant", 0
		return false
	case keyRemoved:
		p.reason, p.retryAfter = (&UnauthorizedError{}).Error(), 0
		return false
	case keyValid:
	}
	return true
}

// unauthorized returns the response to a call that has no valid API key. It was not run.
func (p *pendingCall) unauthorized() *upstream.Response {
	p.isUnauthorized = true
	response := p.errorResponse(http.StatusUnauthorized, outcomeUnauthorized, p.reason)
	if p.router.config.tenants.challenge != "" {
		response.Header().Set("Www-Authenticate", p.router.config.tenants.challenge)
	}
	return response
}

// tenantName returns the name of the call's tenant, "" if it has none.
func (p *pendingCall) tenantName() string {
	if p.plan.tenant == nil {
		return ""
	}
	return p.plan.tenant.Name()
}

// priority returns the priority of the tenant, or else that of the run that makes the
// call, or else that of the route; 0 is the highest.
func (p *pendingCall) priority() int {
	if p.plan.tenant != nil {
		if priority, ok := p.plan.tenant.Priority(); ok {
			return priority
		}
	}
	if p.callerRoute != "" {
		return p.callerPriority
	}
	return p.plan.route.Priority()
}
