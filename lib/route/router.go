// Package route decides how a request is handled: which rule applies to it,
// which target receives each attempt, and whether a failed attempt is retried.
//
// A Router is a task that owns the compiled configuration, the Balancer of
// package balance and the budgets of package retry. Requests communicate with
// it by messages.
//
// # Usage
//
//	r := route.New(clock, policy, rng, local, onTargets)
//	go r.Run(ctx)
//	plan, err := r.PlanRequest(ctx, host, method, path, key, keyCreated)
//	next := r.NextAttempt(ctx, attemptRequest)
//	r.RecordResult(attemptResult)
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

const inboxSize = 512 // messages

// ErrStopped reports that the router is no longer running.
var ErrStopped = errors.New("the node is stopping")

// ErrNoConfiguration reports that no configuration revision is in force yet.
var ErrNoConfiguration = errors.New("no configuration is in force yet")

// Router matches requests to routes and picks a target for each attempt.
type Router struct {
	clock     clockwork.Clock
	inbox     *task.Inbox[message]
	balancer  *balance.Balancer
	routes    *document.Routes
	services  map[string]*serviceState
	onTargets func(inService map[string][]balance.Target)
	targets   []balance.Target
}

// serviceState holds the retry and hedge budgets and the latency of one
// service.
type serviceState struct {
	retries *retry.Budget
	hedges  *retry.Budget
	latency retry.LatencyQuantile
	retried uint64
	hedged  uint64
	denied  uint64
}

// message is a union of which exactly one field is set.
type message struct {
	plan    *planRequest
	next    *nextAttempt
	result  *AttemptResult
	routes  *document.Routes
	targets *[]balance.Target
	dump    task.Reply[Dump]
}

type planRequest struct {
	host       string
	method     string
	path       string
	key        string
	keyCreated time.Time
	reply      task.Reply[planReply]
}

type planReply struct {
	plan Plan
	err  error
}

// Plan describes the route of a request and its first attempt.
type Plan struct {
	match      document.Match
	revision   document.Revision
	target     balance.Target
	found      bool
	last       bool
	hedgeDelay time.Duration
}

// Match returns the matched branch, service and policy.
func (p Plan) Match() document.Match { return p.match }

// Revision returns the configuration revision that was in force.
func (p Plan) Revision() document.Revision { return p.revision }

// Target returns the target of the first attempt, if there is one.
func (p Plan) Target() (balance.Target, bool) { return p.target, p.found }

// Last reports whether no other target remains for another attempt.
func (p Plan) Last() bool { return p.last }

// HedgeDelay returns how long to wait for a response before sending a second
// attempt, or 0 if the request is not hedged.
func (p Plan) HedgeDelay() time.Duration { return p.hedgeDelay }

// AttemptRequest asks for the target of another attempt.
type AttemptRequest struct {
	service    string
	depth      int
	tried      []balance.TargetID
	key        string
	keyCreated time.Time
	hedge      bool
	reroute    bool
}

// NewAttemptRequest returns a request for another attempt at a target that is
// not in tried. depth is the number of calls that the request is nested below.
func NewAttemptRequest(service string, depth int, tried []balance.TargetID) AttemptRequest {
	return AttemptRequest{service: service, depth: depth, tried: tried}
}

// AsHedge marks the attempt as a hedge, which runs while a slow attempt is
// still in progress.
func (a AttemptRequest) AsHedge() AttemptRequest {
	a.hedge = true
	return a
}

// AsReroute marks the attempt as following a refusal that cost the server
// nothing, such as that of a fail-fast attempt by a busy target. It takes no
// tokens from the budget, and its target counts as the last one.
func (a AttemptRequest) AsReroute() AttemptRequest {
	a.reroute = true
	return a
}

// WithKey restricts the attempt to the home of an idempotency key.
func (a AttemptRequest) WithKey(key string, keyCreated time.Time) AttemptRequest {
	a.key = key
	a.keyCreated = keyCreated
	return a
}

type nextAttempt struct {
	request AttemptRequest
	reply   task.Reply[NextTarget]
}

// NextTarget is the target of another attempt.
type NextTarget struct {
	target balance.Target
	found  bool
	last   bool
	denied bool
}

// Target returns the target, if there is one.
func (t NextTarget) Target() (balance.Target, bool) { return t.target, t.found }

// Last reports whether no other target remains after this one.
func (t NextTarget) Last() bool { return t.last }

// Denied reports whether the budget does not allow another attempt.
func (t NextTarget) Denied() bool { return t.denied }

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	service  string
	targetID balance.TargetID
	result   balance.Result
	report   load.Report
	reported bool
	latency  time.Duration
}

// NewAttemptResult returns the result of an attempt without a load report.
// latency is the time until the response head arrived, or 0 if there was no
// response.
func NewAttemptResult(service string, targetID balance.TargetID, result balance.Result, latency time.Duration) AttemptResult {
	return AttemptResult{service: service, targetID: targetID, result: result, latency: latency}
}

// WithReport returns the result with the load report of the target.
func (a AttemptResult) WithReport(r load.Report) AttemptResult {
	a.report = r
	a.reported = true
	return a
}

// Dump is the router's part of the state dump.
type Dump struct {
	revision     document.Revision
	targetStates []balance.TargetState
	services     map[string]ServiceDump
}

// Revision returns the configuration revision in force.
func (d Dump) Revision() document.Revision { return d.revision }

// TargetStates returns the state of every target.
func (d Dump) TargetStates() []balance.TargetState { return d.targetStates }

// Services returns the budgets by service name.
func (d Dump) Services() map[string]ServiceDump { return d.services }

// ServiceDump is the state of the budgets of one service.
type ServiceDump struct {
	retryTokens float64
	hedgeTokens float64
	retried     uint64
	hedged      uint64
	denied      uint64
}

// RetryTokens returns the number of retry tokens left.
func (s ServiceDump) RetryTokens() float64 { return s.retryTokens }

// HedgeTokens returns the number of hedge tokens left.
func (s ServiceDump) HedgeTokens() float64 { return s.hedgeTokens }

// Retried returns how many retries were allowed.
func (s ServiceDump) Retried() uint64 { return s.retried }

// Hedged returns how many hedges were allowed.
func (s ServiceDump) Hedged() uint64 { return s.hedged }

// Denied returns how many retries and hedges the budgets did not allow.
func (s ServiceDump) Denied() uint64 { return s.denied }

// New returns a router for a node in the given locality. It calls onTargets
// from its own goroutine with the targets in service, by service name, whenever
// they may have changed.
func New(clock clockwork.Clock, policy balance.Policy, rng *rand.Rand, local balance.Locality, onTargets func(map[string][]balance.Target)) *Router {
	return &Router{
		clock: clock, inbox: task.NewInbox[message](inboxSize), balancer: balance.NewBalancer(policy, rng, local),
		services: map[string]*serviceState{}, onTargets: onTargets,
	}
}

// Run handles messages until ctx ends.
func (r *Router) Run(ctx context.Context) { r.inbox.Run(ctx, r.handle) }

// SetRoutes replaces the compiled routes.
func (r *Router) SetRoutes(routes *document.Routes) { r.inbox.Send(message{routes: routes}) }

// SetTargets replaces the targets.
func (r *Router) SetTargets(targets []balance.Target) { r.inbox.Send(message{targets: &targets}) }

// PlanRequest finds the route and first target of a request. It returns
// *document.NoRouteError if no route matches, ErrNoConfiguration if no
// configuration is in force yet, and ErrStopped if the router has stopped or
// ctx ended.
func (r *Router) PlanRequest(ctx context.Context, host, method, path, key string, keyCreated time.Time) (Plan, error) {
	p := &planRequest{host: host, method: method, path: path, key: key, keyCreated: keyCreated, reply: task.NewReply[planReply]()}
	if !r.inbox.Send(message{plan: p}) {
		return Plan{}, ErrStopped
	}
	reply, ok := p.reply.Wait(ctx, r.inbox.Done())
	if !ok {
		return Plan{}, ErrStopped
	}
	return reply.plan, reply.err
}

// NextAttempt picks the target of another attempt, if the budget allows one.
func (r *Router) NextAttempt(ctx context.Context, a AttemptRequest) NextTarget {
	m := &nextAttempt{request: a, reply: task.NewReply[NextTarget]()}
	if !r.inbox.Send(message{next: m}) {
		return NextTarget{}
	}
	t, _ := m.reply.Wait(ctx, r.inbox.Done())
	return t
}

// RecordResult records how an attempt ended.
func (r *Router) RecordResult(a AttemptResult) { r.inbox.Send(message{result: &a}) }

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
	case m.plan != nil:
		plan, err := r.planRequest(*m.plan)
		m.plan.reply <- planReply{plan: plan, err: err}
	case m.next != nil:
		m.next.reply <- r.nextAttempt(m.next.request)
	case m.result != nil:
		r.recordResult(*m.result)
	case m.routes != nil:
		r.routes = m.routes
		r.notifyTargets()
	case m.targets != nil:
		r.targets = *m.targets
		r.balancer.SetTargets(r.targets)
		r.notifyTargets()
	case m.dump != nil:
		m.dump <- r.dump()
	}
}

// inService reports whether the target's data centre is in service.
func (r *Router) inService(t balance.Target) bool {
	return !r.routes.OutOfService(t.Locality().DataCentre())
}

func (r *Router) notifyTargets() {
	if r.routes == nil {
		return
	}
	inService := map[string][]balance.Target{}
	for _, t := range r.targets {
		if r.inService(t) {
			inService[t.Service()] = append(inService[t.Service()], t)
		}
	}
	r.onTargets(inService)
}

func (r *Router) planRequest(p planRequest) (Plan, error) {
	if r.routes == nil {
		return Plan{}, ErrNoConfiguration
	}
	match, err := r.routes.Match(p.host, p.method, p.path)
	if err != nil {
		return Plan{}, err
	}
	service := r.service(match.Service())
	service.retries.Deposit()
	service.hedges.Deposit()
	plan := Plan{match: match, revision: r.routes.Revision()}
	keyed := p.key != "" && !match.Policy().Idempotent(p.method)
	plan.target, plan.found = r.pick(match.Service(), nil, keyed, p.key, p.keyCreated)
	plan.last = keyed || r.balancer.CountEligible(match.Service(), r.inService) < 2
	plan.hedgeDelay = r.hedgeDelay(service, match.Policy(), p.method)
	return plan, nil
}

func (r *Router) hedgeDelay(s *serviceState, p document.Policy, method string) time.Duration {
	if !p.Hedge() || !p.Idempotent(method) {
		return 0
	}
	delay, ok := s.latency.HedgeDelay()
	if !ok {
		return 0
	}
	return delay
}

// pick returns the home of a keyed request, or a target chosen by the policy.
func (r *Router) pick(service string, tried []balance.TargetID, keyed bool, key string, keyCreated time.Time) (balance.Target, bool) {
	if !keyed {
		return r.balancer.Pick(r.clock.Now(), service, r.inService, tried)
	}
	var inService []balance.Target
	for _, t := range r.balancer.Targets(service) {
		if r.inService(t) {
			inService = append(inService, t)
		}
	}
	home, ok := idempotency.Home(idempotency.NewKey(service, key), keyCreated, inService)
	if !ok {
		return balance.Target{}, false
	}
	for _, id := range tried {
		if id == home.ID() {
			return balance.Target{}, false
		}
	}
	return r.balancer.PickByID(home.ID())
}

func (r *Router) nextAttempt(a AttemptRequest) NextTarget {
	service := r.service(a.service)
	budget, counter := service.retries, &service.retried
	if a.hedge {
		budget, counter = service.hedges, &service.hedged
	}
	if r.balancer.CountEligible(a.service, r.inService) <= len(a.tried) {
		return NextTarget{}
	}
	if !a.reroute && !budget.TryWithdraw(a.depth) {
		service.denied++
		return NextTarget{denied: true}
	}
	*counter++
	target, found := r.pick(a.service, a.tried, a.key != "", a.key, a.keyCreated)
	last := a.reroute || r.balancer.CountEligible(a.service, r.inService) <= len(a.tried)+1
	return NextTarget{target: target, found: found, last: last}
}

func (r *Router) recordResult(a AttemptResult) {
	r.balancer.RecordResult(r.clock.Now(), a.targetID, a.result, a.report, a.reported)
	if a.latency > 0 && a.result == balance.Answered {
		r.service(a.service).latency.Add(a.latency)
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
	d := Dump{targetStates: r.balancer.TargetStates(), services: map[string]ServiceDump{}}
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
