// Package catalogue holds the configuration in force in the form that requests
// are matched against: routes by host and prefix, services and limits.
//
// A Catalogue is immutable and may be shared between tasks.
//
// # Usage
//
//	c := catalogue.New(version, routes, services, limits)
//	route, ok := c.Match("shop.example", "/basket/42")
//
// The package decides; decoding lives with the front end that reads the
// configuration.
package routeconfig

import (
	"strings"
	"time"
)

// RequestKind says what may be repeated.
type RequestKind uint8

// The kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota
	// KindNonIdempotent requests run at most once for each attempt of a caller.
	KindNonIdempotent
	// KindUpload requests carry large bodies and run at most once.
	KindUpload
)

// Idempotent reports whether requests of this kind may run more than once.
func (k RequestKind) Idempotent() bool { return k == KindIdempotent }

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns a share; weights of a route are relative to their sum.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the relative weight.
func (s WeightedService) Weight() float64 { return s.weight }

// Route says how requests of one host below one prefix are handled.
type Route struct {
	host      string
	prefix    string
	name      string
	kind      RequestKind
	timeout   time.Duration
	objective time.Duration
	rank      int
	attempts  int
	shares    []WeightedService
}

// NewRoute returns a route for a host and a path prefix that begins and ends
// with a slash.
func NewRoute(host, prefix, name string, kind RequestKind, shares []WeightedService) Route {
	return Route{host: host, prefix: prefix, name: name, kind: kind, shares: shares, attempts: 1}
}

// WithLatency returns the route with its timeout and latency objective; 0 means
// none.
func (r Route) WithLatency(timeout, objective time.Duration) Route {
	r.timeout = timeout
	r.objective = objective
	return r
}

// WithPriority returns the route with its rank; 0 is the most urgent.
func (r Route) WithPriority(rank int) Route {
	r.rank = rank
	return r
}

// WithMaxAttempts returns the route with the number of servers that one attempt of
// a caller may be sent to.
func (r Route) WithMaxAttempts(attempts int) Route {
	r.attempts = max(attempts, 1)
	return r
}

// Host returns the host that the route belongs to.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.prefix }

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.name }

// Kind returns what may be repeated.
func (r *Route) Kind() RequestKind { return r.kind }

// Timeout returns the longest time that a caller is kept waiting, 0 for none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the latency objective, 0 for none.
func (r *Route) LatencyObjective() time.Duration { return r.objective }

// Priority returns the urgency; 0 is the most urgent.
func (r *Route) Priority() int { return r.rank }

// MaxAttempts returns how many servers one attempt of a caller may be sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Services returns the services that take the requests.
func (r *Route) Services() []WeightedService { return r.shares }

// Service describes one service.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	coldFor        time.Duration
	coldRate       float64
}

// NewService returns a service with the path of its health endpoint and the
// number of connections that one of its servers accepts.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// WithColdStart returns the service with how long a server stays cold after its
// start, and how many requests a second it bears meanwhile.
func (s Service) WithColdStart(lasting time.Duration, rate float64) Service {
	s.coldFor = lasting
	s.coldRate = rate
	return s
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health endpoint.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns how many connections a server accepts, 0 for no limit.
func (s Service) MaxConnections() int { return s.maxConnections }

// ColdDuration returns how long a server stays cold after its start.
func (s Service) ColdDuration() time.Duration { return s.coldFor }

// ColdRate returns the requests a second that a cold server bears, 0 for no
// limit.
func (s Service) ColdRate() float64 { return s.coldRate }

// Limits bound what a caller may send.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// DefaultLimits returns the limits until a configuration says otherwise.
func DefaultLimits() Limits {
	return Limits{headerBytes: 16 << 10, bodyBytes: 64 << 20, headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}
}

// NewLimits returns limits in bytes and times; a value that is not positive
// keeps its default.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	l := DefaultLimits()
	if headerBytes > 0 {
		l.headerBytes = headerBytes
	}
	if bodyBytes > 0 {
		l.bodyBytes = bodyBytes
	}
	if headerTimeout > 0 {
		l.headerTimeout = headerTimeout
	}
	if idleTimeout > 0 {
		l.idleTimeout = idleTimeout
	}
	return l
}

// MaxHeaderBytes returns the largest head of a request, in bytes.
func (l Limits) MaxHeaderBytes() int { return l.headerBytes }

// MaxBodyBytes returns the largest body, in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long a caller may take to send a head.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Config is the configuration in force.
type Config struct {
	version  uint64
	hosts    map[string]map[string]*Route
	services map[string]Service
	limits   Limits
	routes   int
}

// New returns a catalogue of the given version.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		version: version, hosts: map[string]map[string]*Route{}, services: make(map[string]Service, len(services)),
		limits: limits, routes: len(routes),
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

// Version returns the operator's version.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routes }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route of the host whose prefix is the longest that begins
// the path.
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

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
