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
	// freshFor is how old a load figure may be while requests are placed by it:
	// servers change their pace within some 300 ms.
	freshFor = 50 * time.Millisecond
	// wantedFor is for how long after an ask the load is kept fresh.
	wantedFor = 300 * time.Millisecond
	// coldFresh is how old the knowledge that a busy server is not cold may be.
	coldFresh = 200 * time.Millisecond
	// coldEvery is the pause between health checks of a cold server, which count
	// towards the requests that it bears.
	coldEvery = 500 * time.Millisecond
	// idleEvery is the pause between health checks of a server without requests.
	idleEvery = time.Second
	// checkEvery is the pause between health checks of a server that may not be
	// given work before it answered one.
	checkEvery = 100 * time.Millisecond
	// probeTimeout bounds one health check. It may wait for a slot of the server.
	probeTimeout = 500 * time.Millisecond
	// patienceWithHealth is after how many unanswered health checks a server that
	// announces itself is given work all the same.
	patienceWithHealth = 3
)

// probeResult is how one health check ended.
type probeResult struct {
	expected  string
	instance  string
	answered  bool
	sound     bool
	load      httpclient.LoadReport
	loaded    bool
	coldLeft  time.Duration
	unreached bool
	err       error
}

// probeOrder asks for one health check.
type probeOrder struct {
	address  string
	instance string
	path     string
}

// prober is the keeper's side of the task that checks the server's health.
type prober struct {
	orders   *task.Latest[probeOrder]
	busy     bool
	askedAt  time.Time
	toldAt   time.Time
	probedAt time.Time
	failures int
}

// start starts the task that owns the connection for health checks.
func (p *prober) start(ctx context.Context, k *Proxy) {
	p.orders = task.NewLatest[probeOrder]()
	checker := &checker{keeper: k, orders: p.orders}
	go checker.run(ctx)
}

// wanted notes that the load matters now.
func (p *prober) wanted(now time.Time) { p.askedAt = now }

// told notes that the server told its load.
func (p *prober) told(now time.Time) { p.toldAt = now }

// forget drops what was known of the instance before.
func (p *prober) forget() {
	p.toldAt = time.Time{}
	p.probedAt = time.Time{}
	p.failures = 0
}

// done notes the end of a health check.
func (p *prober) done(*probeResult) { p.busy = false }

// refresh orders a health check when one is due.
func (p *prober) refresh(now time.Time, k *Proxy) {
	if p.busy || k.latest.address == "" || k.situation.catalogue == nil || !p.due(now, k) {
		return
	}
	service, ok := k.serviceNamed(k.latest.service)
	if !ok || service.HealthPath() == "" {
		return
	}
	p.busy = true
	p.probedAt = now
	k.book.RecordSent(now)
	k.observe.probed()
	p.orders.Put(probeOrder{address: k.latest.address, instance: k.instance, path: service.HealthPath()})
}

// due reports whether the next health check should be sent.
func (p *prober) due(now time.Time, k *Proxy) bool {
	since := now.Sub(p.probedAt)
	if k.machine.Has(tagChecking) {
		return since >= checkEvery
	}
	if !k.machine.Has(tagRefreshing) || !k.dataCentre.Has(tagOpen) {
		return false
	}
	if k.book.Cold(now) {
		return since >= coldEvery
	}
	if now.Sub(p.askedAt) >= wantedFor {
		return since >= idleEvery
	}
	return since >= freshFor && now.Sub(p.toldAt) >= freshFor || since >= coldFresh
}

// serviceNamed returns a service of the configuration in force.
func (k *Proxy) serviceNamed(name string) (routeconfig.Service, bool) {
	if k.situation.catalogue == nil {
		return routeconfig.Service{}, false
	}
	return k.situation.catalogue.Service(name)
}

// checker is the task that checks the server's health over a connection of its
// own.
type checker struct {
	keeper  *Proxy
	orders  *task.Latest[probeOrder]
	conn    *httpclient.Conn
	address string
}

func (c *checker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.drop()
			return
		case o := <-c.orders.Values():
			c.keeper.inbox.Send(message{probed: c.check(ctx, o)})
		}
	}
}

func (c *checker) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *checker) check(ctx context.Context, o probeOrder) *probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if c.conn != nil && (c.address != o.address || !c.conn.Usable(c.keeper.clock.Now(), time.Hour)) {
		c.drop()
	}
	if c.conn == nil {
		conn, err := httpclient.Dial(ctx, o.address)
		if err != nil {
			return &probeResult{expected: o.instance, unreached: true, err: err}
		}
		c.keeper.observe.dialled()
		c.conn, c.address = conn, o.address
	}
	request := upstream.NewRequest("", http.MethodGet, o.path, o.address, http.Header{}, nil)
	result := c.conn.Exchange(ctx, c.keeper.config.names, "", request, 0)
	if !result.Reusable() {
		c.conn = nil
	}
	p := &probeResult{expected: o.instance, instance: result.Instance(), coldLeft: result.ColdRemaining(), err: result.Err()}
	p.load, p.loaded = result.LoadReport()
	p.answered = result.Response() != nil
	p.sound = p.answered && result.Response().Status() == http.StatusOK
	return p
}
