package serverproxy

import (
	"context"
	"net/http"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	// loadReportMaxAge is the maximum age of a load report while requests are
	// arriving: a server's speed can change within about 300 ms.
	loadReportMaxAge = 50 * time.Millisecond
	// demandWindow is how long load reports are kept current after a
	// reservation request.
	demandWindow = 300 * time.Millisecond
	// coldStatusMaxAge is the maximum interval between health checks of a
	// server under load, which show whether it has become cold.
	coldStatusMaxAge = 200 * time.Millisecond
	// coldCheckInterval is the interval between health checks of a cold server.
	// Its health checks count towards its request rate limit.
	coldCheckInterval = time.Second
	// idleCheckInterval is the interval between health checks of a server that
	// receives no requests.
	idleCheckInterval = time.Second
	// maxLimitedInterval bounds the interval of health checks of a server with a rate
	// limit, so that the end of the limit is noticed without requests.
	maxLimitedInterval = 2 * time.Second
	// pendingCheckInterval is the interval between health checks of a server
	// that must pass one before it receives requests.
	pendingCheckInterval = 100 * time.Millisecond
	// healthCheckTimeout bounds one health check, including its wait for a free
	// slot at the server.
	healthCheckTimeout = 500 * time.Millisecond
	// maxFailedChecks is the number of consecutive failed health checks after
	// which a server that still announces itself receives requests anyway.
	maxFailedChecks = 3
)

// healthResult is the outcome of one health check.
type healthResult struct {
	expectedInstance string
	instance         string
	responded        bool
	healthy          bool
	report           httpclient.LoadReport
	hasReport        bool
	coldRemaining    time.Duration
	dialFailed       bool
	generation       uint64
	sentAt           time.Time
	advisory         httpclient.Advisory
	hasAdvisory      bool
	err              error
}

// healthCheck describes one health check to perform.
type healthCheck struct {
	address    string
	instance   string
	path       string
	generation uint64
	sentAt     time.Time
}

// healthSchedule decides when health checks are due. It belongs to the proxy's
// task; a healthChecker performs the checks.
type healthSchedule struct {
	checks      *task.Latest[healthCheck]
	checking    bool
	lastRequest time.Time
	lastReport  time.Time
	lastCheck   time.Time
	failures    int
}

// start starts the healthChecker task.
func (s *healthSchedule) start(ctx context.Context, p *Proxy) {
	s.checks = task.NewLatest[healthCheck]()
	healthChecker := &healthChecker{proxy: p, checks: s.checks}
	go healthChecker.run(ctx)
}

// recordRequest records that a reservation request arrived, so that current
// load reports are needed.
func (s *healthSchedule) recordRequest(now time.Time) { s.lastRequest = now }

// recordReport records that a load report arrived.
func (s *healthSchedule) recordReport(now time.Time) { s.lastReport = now }

// resetState discards the state of the previous instance.
func (s *healthSchedule) resetState() {
	s.lastReport = time.Time{}
	s.lastCheck = time.Time{}
	s.failures = 0
}

// finishCheck allows the next health check to be sent.
func (s *healthSchedule) finishCheck(*healthResult) { s.checking = false }

// checkIfDue starts a health check if one is due.
func (s *healthSchedule) checkIfDue(now time.Time, p *Proxy) {
	if s.checking || p.latest.address == "" || p.snapshot.config == nil || !s.due(now, p) {
		return
	}
	service, ok := p.lookupService(p.latest.service)
	if !ok || service.HealthPath() == "" {
		return
	}
	s.lastCheck = now
	p.slotLimiter.RecordSent(now)
	p.stated.healthChecks++
	p.observer.healthChecked()
	s.checks.Put(healthCheck{address: p.latest.address, instance: p.instance, path: service.HealthPath(), generation: p.generation, sentAt: now})
	s.checking = true
}

// due reports whether the next health check should be sent.
func (s *healthSchedule) due(now time.Time, p *Proxy) bool {
	since := now.Sub(s.lastCheck)
	limited := min(p.slotLimiter.HealthCheckInterval(), maxLimitedInterval)
	if p.lifecycle.HasTag(tagChecking) {
		return since >= max(pendingCheckInterval, min(limited, idleCheckInterval))
	}
	if !p.lifecycle.HasTag(tagRefreshing) || !p.dataCentre.HasTag(tagOpen) {
		return false
	}
	if p.slotLimiter.Cold(now) {
		return since >= max(coldCheckInterval, limited)
	}
	if now.Sub(s.lastRequest) >= demandWindow {
		return since >= max(idleCheckInterval, limited)
	}
	if limited > 0 {
		return since >= max(coldStatusMaxAge, limited)
	}
	return since >= loadReportMaxAge && now.Sub(s.lastReport) >= loadReportMaxAge || since >= coldStatusMaxAge
}

// lookupService returns a service from the current configuration.
func (p *Proxy) lookupService(name string) (routeconfig.Service, bool) {
	if p.snapshot.config == nil {
		return routeconfig.Service{}, false
	}
	return p.snapshot.config.Service(name)
}

// healthChecker is the task that performs health checks on a connection of its
// own.
type healthChecker struct {
	proxy   *Proxy
	checks  *task.Latest[healthCheck]
	conn    *httpclient.Conn
	address string
}

func (c *healthChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.closeConn()
			return
		case hc := <-c.checks.Values():
			c.proxy.inbox.Send(message{checkResult: c.check(ctx, hc)})
		}
	}
}

func (c *healthChecker) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *healthChecker) check(ctx context.Context, hc healthCheck) (result *healthResult) {
	defer task.Catch(func(e *task.PanicError) {
		c.closeConn()
		result = &healthResult{expectedInstance: hc.instance, err: e}
		c.proxy.log.WritePanic("health-checker", e)
	})
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if c.conn != nil && (c.address != hc.address || !c.conn.Usable(c.proxy.clock.Now(), time.Hour)) {
		c.closeConn()
	}
	if c.conn == nil {
		conn, err := c.proxy.config.dial(ctx, hc.address)
		if err != nil {
			return &healthResult{expectedInstance: hc.instance, dialFailed: true, err: err}
		}
		c.proxy.observer.dialled()
		c.conn, c.address = conn, hc.address
	}
	request := upstream.NewRequest("", http.MethodGet, hc.path, hc.address, http.Header{}, nil)
	exchange := c.conn.Exchange(ctx, c.proxy.config.names, "", request, 0)
	if !exchange.Reusable() {
		c.conn = nil
	}
	r := &healthResult{expectedInstance: hc.instance, instance: exchange.Instance(), coldRemaining: exchange.ColdRemaining(), generation: hc.generation, sentAt: hc.sentAt, err: exchange.Err()}
	r.advisory, r.hasAdvisory = exchange.Advisory()
	r.report, r.hasReport = exchange.LoadReport()
	r.responded = exchange.Response() != nil
	r.healthy = r.responded && exchange.Response().Status() == http.StatusOK
	return r
}
