// Package route decides where a request goes: which rule applies to it, which
// target takes each attempt, and whether another attempt is allowed.
//
// A Router is the task that owns the compiled configuration, the table of
// package balance and the budgets of package retry. Requests ask it by
// messages.
//
// # Usage
//
//	r := route.New(clock, policy, rng, here, observe)
//	go r.Run(ctx)
//	plan, err := r.Begin(ctx, host, method, path, key, created)
//	choice := r.Again(ctx, ask)
//	r.Settle(settlement)
package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/document"
	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/load"
	"savorygap.example/lib/retry"
	"savorygap.example/lib/task"
)

const routerInbox = 512

// ErrStopped reports a router that is not running any more.
var ErrStopped = errors.New("the node is stopping")

// ErrNoConfiguration reports that no revision is in force yet.
var ErrNoConfiguration = errors.New("no configuration is in force yet")

// Router is the task that owns the choice of targets.
type Router struct {
	clock    clockwork.Clock
	inbox    *task.Inbox[message]
	table    *balance.Balancer
	routes   *document.Routes
	services map[string]*serviceState
	observe  func(open map[string][]balance.Target)
	targets  []balance.Target
}

// serviceState holds the budgets and the latencies of one service.
type serviceState struct {
	retries *retry.Budget
	hedges  *retry.Budget
	latency retry.LatencyQuantile
	retried uint64
	hedged  uint64
	denied  uint64
}

// message is a closed union; exactly one part is set.
type message struct {
	begin   *begin
	again   *again
	settle  *AttemptResult
	routes  *document.Routes
	targets *[]balance.Target
	dump    task.Reply[Dump]
}

type begin struct {
	host    string
	method  string
	path    string
	key     string
	created time.Time
	reply   task.Reply[beginAnswer]
}

type beginAnswer struct {
	plan Plan
	err  error
}

// Plan is how a request starts.
type Plan struct {
	match    document.Match
	revision document.Revision
	target   balance.Target
	found    bool
	last     bool
	hedge    time.Duration
}

// Match returns the branch, service and policy.
func (p Plan) Match() document.Match { return p.match }

// Revision returns the revision in force.
func (p Plan) Revision() document.Revision { return p.revision }

// Target returns the target of the first attempt, if there is one.
func (p Plan) Target() (balance.Target, bool) { return p.target, p.found }

// Last reports whether no other target is left for a further attempt.
func (p Plan) Last() bool { return p.last }

// HedgeDelay returns after how long a second attempt is worth it, 0 for never.
func (p Plan) HedgeDelay() time.Duration { return p.hedge }

// AttemptRequest is a request for a further attempt.
type AttemptRequest struct {
	service string
	depth   int
	tried   []balance.TargetID
	key     string
	created time.Time
	hedge   bool
	reroute bool
}

// NewAttemptRequest returns a request for a further attempt, depth calls deep, at a
// target other than those tried.
func NewAttemptRequest(service string, depth int, tried []balance.TargetID) AttemptRequest {
	return AttemptRequest{service: service, depth: depth, tried: tried}
}

// AsHedge returns the request marked as a second attempt beside a slow one.
func (a AttemptRequest) AsHedge() AttemptRequest {
	a.hedge = true
	return a
}

// AsReroute returns the request marked as following an impatient attempt that
// was refused as busy. It spends nothing and its target is the last one.
func (a AttemptRequest) AsReroute() AttemptRequest {
	a.reroute = true
	return a
}

// WithKey returns the request bound to the home of a key.
func (a AttemptRequest) WithKey(key string, created time.Time) AttemptRequest {
	a.key = key
	a.created = created
	return a
}

type again struct {
	ask   AttemptRequest
	reply task.Reply[NextTarget]
}

// NextTarget is the target of a further attempt.
type NextTarget struct {
	target balance.Target
	found  bool
	last   bool
	denied bool
}

// Target returns the target, if there is one.
func (c NextTarget) Target() (balance.Target, bool) { return c.target, c.found }

// Last reports whether no other target is left.
func (c NextTarget) Last() bool { return c.last }

// Denied reports whether the budget forbids another attempt.
func (c NextTarget) Denied() bool { return c.denied }

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	service  string
	id       balance.TargetID
	ending   balance.Result
	report   load.Report
	reported bool
	latency  time.Duration
}

// NewAttemptResult returns a settlement without a report. latency is the time to
// the head of the answer, 0 when there was none.
func NewAttemptResult(service string, id balance.TargetID, ending balance.Result, latency time.Duration) AttemptResult {
	return AttemptResult{service: service, id: id, ending: ending, latency: latency}
}

// WithReport returns the settlement with the report that came back.
func (s AttemptResult) WithReport(r load.Report) AttemptResult {
	s.report = r
	s.reported = true
	return s
}

// Dump is the state of the router for the state dump.
type Dump struct {
	revision document.Revision
	entries  []balance.TargetState
	services map[string]ServiceDump
}

// Revision returns the revision in force.
func (d Dump) Revision() document.Revision { return d.revision }

// TargetStates returns what is known of every target.
func (d Dump) TargetStates() []balance.TargetState { return d.entries }

// Services returns the budgets by service.
func (d Dump) Services() map[string]ServiceDump { return d.services }

// ServiceDump is the state of one service's budgets.
type ServiceDump struct {
	retryTokens float64
	hedgeTokens float64
	retried     uint64
	hedged      uint64
	denied      uint64
}

// RetryTokens returns the tokens left for retries.
func (s ServiceDump) RetryTokens() float64 { return s.retryTokens }

// HedgeTokens returns the tokens left for hedges.
func (s ServiceDump) HedgeTokens() float64 { return s.hedgeTokens }

// Retried returns how many retries were allowed.
func (s ServiceDump) Retried() uint64 { return s.retried }

// Hedged returns how many hedges were allowed.
func (s ServiceDump) Hedged() uint64 { return s.hedged }

// Denied returns how many further attempts the budgets forbade.
func (s ServiceDump) Denied() uint64 { return s.denied }

// New returns a router for a node at the given place. It calls observe from
// its own goroutine with the open targets whenever they may have changed.
func New(clock clockwork.Clock, policy balance.Policy, rng *rand.Rand, here balance.Locality, observe func(map[string][]balance.Target)) *Router {
	return &Router{
		clock: clock, inbox: task.NewInbox[message](routerInbox), table: balance.NewBalancer(policy, rng, here),
		services: map[string]*serviceState{}, observe: observe,
	}
}

// Run serves messages until ctx ends.
func (r *Router) Run(ctx context.Context) { r.inbox.Run(ctx, r.handle) }

// SetRoutes puts compiled routes in force.
func (r *Router) SetRoutes(routes *document.Routes) { r.inbox.Send(message{routes: routes}) }

// SetTargets replaces the targets.
func (r *Router) SetTargets(targets []balance.Target) { r.inbox.Send(message{targets: &targets}) }

// PlanRequest plans a request. It returns *document.NoRouteError when nothing takes
// it, and ErrNoConfiguration or ErrStopped when the node cannot serve.
func (r *Router) PlanRequest(ctx context.Context, host, method, path, key string, created time.Time) (Plan, error) {
	b := &begin{host: host, method: method, path: path, key: key, created: created, reply: task.NewReply[beginAnswer]()}
	if !r.inbox.Send(message{begin: b}) {
		return Plan{}, ErrStopped
	}
	a, ok := b.reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return Plan{}, ErrStopped
	}
	return a.plan, a.err
}

// NextAttempt asks for a further attempt.
func (r *Router) NextAttempt(ctx context.Context, a AttemptRequest) NextTarget {
	m := &again{ask: a, reply: task.NewReply[NextTarget]()}
	if !r.inbox.Send(message{again: m}) {
		return NextTarget{}
	}
	c, _ := m.reply.Wait(ctx, r.inbox.Done())
	return c
}

// RecordResult records how an attempt ended.
func (r *Router) RecordResult(s AttemptResult) { r.inbox.Send(message{settle: &s}) }

// Dump returns the state of the router.
func (r *Router) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !r.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, r.inbox.Done())
	return d
}

func (r *Router) handle(m message) {
	switch {
	case m.begin != nil:
		plan, err := r.begin(*m.begin)
		m.begin.reply <- beginAnswer{plan: plan, err: err}
	case m.again != nil:
		m.again.reply <- r.again(m.again.ask)
	case m.settle != nil:
		r.settle(*m.settle)
	case m.routes != nil:
		r.routes = m.routes
		r.observeOpen()
	case m.targets != nil:
		r.targets = *m.targets
		r.table.SetTargets(r.targets)
		r.observeOpen()
	case m.dump != nil:
		m.dump <- r.dump()
	}
}

func (r *Router) open(t balance.Target) bool { return !r.routes.Out(t.Locality().DataCentre()) }

func (r *Router) observeOpen() {
	if r.routes == nil {
		return
	}
	open := map[string][]balance.Target{}
	for _, t := range r.targets {
		if r.open(t) {
			open[t.Service()] = append(open[t.Service()], t)
		}
	}
	r.observe(open)
}

func (r *Router) begin(b begin) (Plan, error) {
	if r.routes == nil {
		return Plan{}, ErrNoConfiguration
	}
	match, err := r.routes.Match(b.host, b.method, b.path)
	if err != nil {
		return Plan{}, err
	}
	service := r.service(match.Service())
	service.retries.Deposit()
	service.hedges.Deposit()
	plan := Plan{match: match, revision: r.routes.Revision()}
	keyed := b.key != "" && !match.Policy().Idempotent(b.method)
	plan.target, plan.found = r.pick(match.Service(), nil, keyed, b.key, b.created)
	plan.last = keyed || r.table.CountEligible(match.Service(), r.open) < 2
	plan.hedge = r.hedgeDelay(service, match.Policy(), b.method)
	return plan, nil
}

func (r *Router) hedgeDelay(s *serviceState, p document.Policy, method string) time.Duration {
	if !p.Hedge() || !p.Idempotent(method) {
		return 0
	}
	delay, known := s.latency.HedgeDelay()
	if !known {
		return 0
	}
	return delay
}

// pick chooses a target: the home for a keyed request, otherwise by policy.
func (r *Router) pick(service string, tried []balance.TargetID, keyed bool, key string, created time.Time) (balance.Target, bool) {
	if !keyed {
		return r.table.Pick(r.clock.Now(), service, r.open, tried)
	}
	var open []balance.Target
	for _, t := range r.table.Targets(service) {
		if r.open(t) {
			open = append(open, t)
		}
	}
	home, ok := idempotency.Home(idempotency.NewKey(service, key), created, open)
	if !ok {
		return balance.Target{}, false
	}
	for _, id := range tried {
		if id == home.ID() {
			return balance.Target{}, false
		}
	}
	return r.table.PickByID(home.ID())
}

func (r *Router) again(a AttemptRequest) NextTarget {
	service := r.service(a.service)
	budget, counter := service.retries, &service.retried
	if a.hedge {
		budget, counter = service.hedges, &service.hedged
	}
	if r.table.CountEligible(a.service, r.open) <= len(a.tried) {
		return NextTarget{}
	}
	if !a.reroute && !budget.TryWithdraw(a.depth) {
		service.denied++
		return NextTarget{denied: true}
	}
	*counter++
	target, found := r.pick(a.service, a.tried, a.key != "", a.key, a.created)
	last := a.reroute || r.table.CountEligible(a.service, r.open) <= len(a.tried)+1
	return NextTarget{target: target, found: found, last: last}
}

func (r *Router) settle(s AttemptResult) {
	r.table.RecordResult(r.clock.Now(), s.id, s.ending, s.report, s.reported)
	if s.latency > 0 && s.ending == balance.Answered {
		r.service(s.service).latency.Add(s.latency)
	}
}

func (r *Router) service(name string) *serviceState {
	s, ok := r.services[name]
	if !ok {
		s = &serviceState{
			retries: retry.NewBudget(retry.RetryRatio, retry.RetryBurst),
			hedges:  retry.NewBudget(retry.HedgeRatio, retry.HedgeBurst),
		}
		r.services[name] = s
	}
	return s
}

func (r *Router) dump() Dump {
	d := Dump{entries: r.table.TargetStates(), services: map[string]ServiceDump{}}
	if r.routes != nil {
		d.revision = r.routes.Revision()
	}
	for name, s := range r.services {
		d.services[name] = ServiceDump{
			retryTokens: s.retries.Tokens(), hedgeTokens: s.hedges.Tokens(),
			retried: s.retried, hedged: s.hedged, denied: s.denied,
		}
	}
	return d
}
