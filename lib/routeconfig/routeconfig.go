// Package routeconfig holds the operators' configuration in the form that
// requests are matched against: routes by host and path prefix, services, and
// limits.
//
// A Config is immutable and may be shared between tasks.
//
// # Usage
//
//	c := routeconfig.New(version, routes, services, limits)
//	route, ok := c.Match("shop.example", "/basket/42")
//
// Decoding the configuration is left to the front end that reads it.
package routeconfig

import (
	"strings"
	"time"
)

// RequestKind says whether a request may run more than once.
type RequestKind uint8

// Kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota
	// KindNonIdempotent requests run at most once for each attempt of a
	// caller.
	KindNonIdempotent
	// KindUpload requests have large bodies and run at most once for each
	// attempt of a caller.
	KindUpload
)

// Idempotent reports whether requests of this kind may run more than once.
func (k RequestKind) Idempotent() bool { return k == KindIdempotent }

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns a service with its weight, relative to the sum of
// the weights of the route.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (w WeightedService) Service() string { return w.service }

// Weight returns the relative weight.
func (w WeightedService) Weight() float64 { return w.weight }

// Route describes how requests for one host and path prefix are handled.
type Route struct {
	host             string
	prefix           string
	name             string
	kind             RequestKind
	timeout          time.Duration
	latencyObjective time.Duration
	priority         int
	maxAttempts      int
	services         []WeightedService
	anonymous        bool
}

// NewRoute returns a route for a host and a path prefix that begins and ends
// with a slash.
func NewRoute(host, prefix, name string, kind RequestKind, services []WeightedService) Route {
	return Route{host: host, prefix: prefix, name: name, kind: kind, services: services, maxAttempts: 1}
}

// WithLatency returns the route with its timeout and latency objective; 0
// means none.
func (r Route) WithLatency(timeout, latencyObjective time.Duration) Route {
	r.timeout = timeout
	r.latencyObjective = latencyObjective
	return r
}

// WithPriority returns the route with its priority; 0 is the highest.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns the route with the largest number of servers to
// which one attempt of a caller may be sent.
func (r Route) WithMaxAttempts(maxAttempts int) Route {
	r.maxAttempts = max(maxAttempts, 1)
	return r
}

// WithAnonymous returns the route with whether its requests need no API key.
func (r Route) WithAnonymous(anonymous bool) Route {
	r.anonymous = anonymous
	return r
}

// Anonymous reports whether requests need no API key.
func (r *Route) Anonymous() bool { return r.anonymous }

// Host returns the host.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.prefix }

// Name returns the name that the operator gave the route.
func (r *Route) Name() string { return r.name }

// Kind returns the kind of the requests.
func (r *Route) Kind() RequestKind { return r.kind }

// Timeout returns the longest time that a caller is kept waiting, 0 for none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the latency objective, 0 for none.
func (r *Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Priority returns the priority; 0 is the highest.
func (r *Route) Priority() int { return r.priority }

// MaxAttempts returns the largest number of servers to which one attempt of a
// caller may be sent.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Services returns the services that the requests are divided among.
func (r *Route) Services() []WeightedService { return r.services }

// Service describes a service and its servers.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	coldDuration   time.Duration
	coldRate       float64
}

// NewService returns a service with the path of its health endpoint and the
// number of connections that one of its servers accepts, 0 for no limit.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// WithColdStart returns the service with how long a server is cold after it
// starts, and how many requests per second it can take meanwhile, 0 for no
// limit.
func (s Service) WithColdStart(duration time.Duration, rate float64) Service {
	s.coldDuration = duration
	s.coldRate = rate
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health endpoint.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns how many connections a server accepts, 0 for no limit.
func (s Service) MaxConnections() int { return s.maxConnections }

// ColdDuration returns how long a server is cold after it starts.
func (s Service) ColdDuration() time.Duration { return s.coldDuration }

// ColdRate returns the requests per second that a cold server can take, 0 for
// no limit.
func (s Service) ColdRate() float64 { return s.coldRate }

// Limits bounds the requests and connections of callers.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// DefaultLimits returns the limits that apply where the configuration sets
// none.
func DefaultLimits() Limits {
	return Limits{maxHeaderBytes: 16 << 10, maxBodyBytes: 64 << 20, headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}
}

// NewLimits returns limits; a value that is not positive keeps its default.
func NewLimits(maxHeaderBytes int, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	l := DefaultLimits()
	if maxHeaderBytes > 0 {
		l.maxHeaderBytes = maxHeaderBytes
	}
	if maxBodyBytes > 0 {
		l.maxBodyBytes = maxBodyBytes
	}
	if headerTimeout > 0 {
		l.headerTimeout = headerTimeout
	}
	if idleTimeout > 0 {
		l.idleTimeout = idleTimeout
	}
	return l
}

// MaxHeaderBytes returns the largest size of a request's header, in bytes.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the largest size of a request's body, in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Config is one version of the operators' configuration.
type Config struct {
	version    uint64
	hosts      map[string]map[string]*Route
	services   map[string]Service
	limits     Limits
	routeCount int
	tenants    map[string]*Tenant // by API key
	withKeys   []*Tenant          // in the order of the configuration
	hasTenants bool
	rates      map[string]float64 // of the tenants that have one, by name
	meanRate   float64
}

// New returns a configuration. Host names are matched without regard to case.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		version: version, hosts: map[string]map[string]*Route{}, services: make(map[string]Service, len(services)),
		limits: limits, routeCount: len(routes),
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.host)
		if c.hosts[host] == nil {
			c.hosts[host] = map[string]*Route{}
		}
		c.hosts[host][r.prefix] = r
	}
	for _, s := range services {
		c.services[s.name] = s
	}
	return c
}

// Version returns the version that the operators gave the configuration.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	prefixes := c.hosts[hostName(host)]
	if len(prefixes) == 0 {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case and without a port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
