package controller

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/task"
)

const (
	inboxSize = 256 // messages
	// refusalLogInterval is the time between two log lines about refusals of one tenant.
	refusalLogInterval = time.Second
)

// Config holds the settings of a controller.
type Config struct {
	node   string
	bounds quota.Bounds
}

// NewConfig returns the settings of the controller on a node.
func NewConfig(node string, bounds quota.Bounds) Config { return Config{node: node, bounds: bounds} }

// Membership is what this node knows of the others.
type Membership struct {
	peers    map[string]func(quota.Question) bool
	members  int
	stopping bool
}

// NewMembership returns a membership. peers holds, by the names of the nodes that this one
// is linked to, functions that send a question and report whether it could be sent; they
// must not block. members is the number of all nodes, this one included, and stopping
// whether this node is stopping. Nodes that are stopping, this one included, are in
// neither.
func NewMembership(peers map[string]func(quota.Question) bool, members int, stopping bool) Membership {
	return Membership{peers: peers, members: members, stopping: stopping}
}

// Observer receives the measurements of a controller.
type Observer struct {
	granted func(source quota.Source, credits int)
	refused func(source quota.Source)
	lent    func(credits int)
}

// NewObserver returns an observer: granted is called with the credits that this node got
// and from where, refused for each refused request, and lent with the credits that this
// node granted to another one. None of them may block.
func NewObserver(granted func(source quota.Source, credits int), refused func(source quota.Source), lent func(credits int)) Observer {
	return Observer{granted: granted, refused: refused, lent: lent}
}

// Controller is the task that decides on the requests of tenants with a limit.
type Controller struct {
	start      func(run func(ctx context.Context))
	config     Config
	clock      clockwork.Clock
	log        *eventlog.Log
	observer   Observer
	inbox      *task.Inbox[message]
	started    atomic.Bool
	membership atomic.Pointer[Membership]
	accounts   atomic.Pointer[map[string]*quota.Account]
	lastID     atomic.Uint64

	// The fields below belong to the task.
	node     *quota.Node
	peers    map[string]func(quota.Question) bool
	waiting  map[uint64]task.Reply[quota.Verdict]
	refusals map[string]*refusals
	timer    clockwork.Timer // nil if no question is open
	timerDue time.Time
}

// refusals are the refusals of a tenant that were not logged yet.
type refusals struct {
	count    int
	loggedAt time.Time
}

// message is a closed union; exactly one field is set.
type message struct {
	limits     *limitsMessage
	membership *Membership
	request    *requestMessage
	abandoned  *requestMessage
	question   *questionMessage
	answer     *quota.Answer
}

type limitsMessage struct {
	limits []quota.Limit
	reply  task.Reply[bool]
}

type requestMessage struct {
	tenant string
	id     uint64
	reply  task.Reply[quota.Verdict]
}

type questionMessage struct {
	question quota.Question
	reply    func(quota.Answer)
}

// New returns a controller whose task is run by start, once there is a limit, until the
// context that it passes ends.
func New(start func(run func(ctx context.Context)), config Config, clock clockwork.Clock, log *eventlog.Log, observer Observer) *Controller {
	c := &Controller{
		start: start, config: config, clock: clock, log: log, observer: observer, inbox: task.NewInbox[message](inboxSize),
		waiting: map[uint64]task.Reply[quota.Verdict]{}, refusals: map[string]*refusals{},
	}
	c.node = quota.NewNode(clock.Now(), config.node, config.bounds, c.send, c.settle, quota.NewObserver(observer.granted, c.recordRefusal, observer.lent))
	return c
}

// Configure sets the limits of all tenants and returns once they apply. The first one that is not
// empty starts the task. It must not be called concurrently with itself.
func (c *Controller) Configure(limits []quota.Limit) {
	if !c.started.Load() && len(limits) == 0 {
		return
	}
	c.ensureStarted()
	m := &limitsMessage{limits: limits, reply: task.NewReply[bool]()}
	if c.inbox.Send(message{limits: m}) {
		m.reply.Wait(context.Background(), c.inbox.Done())
	}
}

// ensureStarted starts the task unless it runs.
func (c *Controller) ensureStarted() {
	if c.started.CompareAndSwap(false, true) {
		c.start(c.run)
	}
}

// SetMembership sets what this node knows of the others.
func (c *Controller) SetMembership(m Membership) {
	c.membership.Store(&m)
	if c.started.Load() {
		c.inbox.Send(message{membership: &m})
	}
}

// HandleQuestion answers a question of another node, unless too many wait. A question may
// come before this node has a configuration. It never blocks.
func (c *Controller) HandleQuestion(q quota.Question, reply func(quota.Answer)) {
	c.ensureStarted()
	c.inbox.TrySend(message{question: &questionMessage{question: q, reply: reply}})
}

// HandleAnswer handles the answer of another node, unless too many messages wait; its
// credits then lapse. It never blocks.
func (c *Controller) HandleAnswer(a quota.Answer) { c.inbox.TrySend(message{answer: &a}) }

// run serves messages until the context ends.
func (c *Controller) run(ctx context.Context) {
	defer c.inbox.Close()
	defer c.stopTimer()
	if m := c.membership.Load(); m != nil {
		c.setMembership(c.clock.Now(), m)
	}
	for ctx.Err() == nil {
		c.handleNext(ctx)
	}
}

// handleNext waits for one message or time-out and handles it.
func (c *Controller) handleNext(ctx context.Context) {
	var m message
	defer task.Catch(func(e *task.PanicError) {
		switch {
		case m.request != nil:
			delete(c.waiting, m.request.id)
			m.request.reply.Abandon()
		case m.limits != nil:
			m.limits.reply.Abandon()
		}
		c.log.WritePanic("quotas", e)
	})
	var timeout <-chan time.Time
	if c.timer != nil {
		timeout = c.timer.Chan()
	}
	select {
	case <-ctx.Done():
		return
	case m = <-c.inbox.Messages():
		c.handle(m)
	case <-timeout:
		c.timer = nil
		// If the process stood still, answers may have come in time and wait here.
		for range c.inbox.Len() {
			m = <-c.inbox.Messages()
			c.handle(m)
		}
		c.node.Expire(c.clock.Now())
	}
	c.setTimer()
}

// setTimer waits for the next question that is not answered in time. A wait for an earlier
// question, answered meanwhile, is not cut short: its end does nothing.
func (c *Controller) setTimer() {
	due, ok := c.node.NextTimeout()
	if !ok || c.timer != nil && !due.Before(c.timerDue) {
		return
	}
	c.stopTimer()
	c.timer, c.timerDue = c.clock.NewTimer(due.Sub(c.clock.Now())), due
}

func (c *Controller) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

func (c *Controller) handle(m message) {
	now := c.clock.Now()
	switch {
	case m.limits != nil:
		accounts := c.node.Configure(now, m.limits.limits)
		c.accounts.Store(&accounts)
		maps.DeleteFunc(c.refusals, func(tenant string, _ *refusals) bool { return accounts[tenant] == nil })
		m.limits.reply <- true
	case m.membership != nil:
		c.setMembership(now, m.membership)
	case m.request != nil:
		c.waiting[m.request.id] = m.request.reply
		c.node.Request(now, m.request.tenant, m.request.id)
	case m.abandoned != nil:
		c.abandon(m.abandoned)
	case m.question != nil:
		m.question.reply(c.node.Answer(now, m.question.question))
	case m.answer != nil:
		c.node.HandleAnswer(now, *m.answer)
	}
}

func (c *Controller) setMembership(now time.Time, m *Membership) {
	c.peers = m.peers
	linked := make([]string, 0, len(m.peers))
	for name := range m.peers {
		linked = append(linked, name)
	}
	c.node.SetView(now, quota.NewView(c.config.node, linked, m.members, m.stopping))
}

func (c *Controller) send(to string, q quota.Question) bool {
	ask, ok := c.peers[to]
	return ok && ask(q)
}

// settle passes a verdict to the request that waits for it.
func (c *Controller) settle(id uint64, v quota.Verdict) {
	if reply, ok := c.waiting[id]; ok {
		delete(c.waiting, id)
		reply <- v
	}
}

// abandon ends the wait of a request that is not sent. If its verdict is there already,
// its credit is returned.
func (c *Controller) abandon(m *requestMessage) {
	delete(c.waiting, m.id)
	if c.node.Abandon(m.tenant, m.id) {
		return
	}
	select {
	case v := <-m.reply:
		c.giveBack(m.tenant, v)
	default:
	}
}

// giveBack returns the credit of a verdict.
func (c *Controller) giveBack(tenant string, v quota.Verdict) {
	if account, ok := (*c.accounts.Load())[tenant]; ok && v.Admitted() {
		account.Add(c.clock.Now(), 1, v.ExpiresAt())
	}
}

// recordRefusal counts a refusal, and logs those of a tenant once per refusalLogInterval.
func (c *Controller) recordRefusal(tenant string, v quota.Verdict) {
	c.observer.refused(v.Source())
	r, ok := c.refusals[tenant]
	if !ok {
		r = &refusals{}
		c.refusals[tenant] = r
	}
	r.count++
	now := c.clock.Now()
	if !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < refusalLogInterval {
		return
	}
	c.log.Write("quota-refused", "tenant", tenant, "owner", v.Owner(), "decided_by", string(v.Source()), "share", v.Share(),
		"share_age_ms", v.Age().Milliseconds(), "retry_ms", v.RetryAfter().Milliseconds(), "refused", r.count)
	r.count, r.loggedAt = 0, now
}
