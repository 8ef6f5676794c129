package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// answerTimeout is how long an owner may take to answer before the fallback is used.
	// It is the time that a server has to reply to a slot request.
	answerTimeout = 40 * time.Millisecond
	// refusalTimeout is how long a request waits for the answer if the fallback has no
	// token. A process with a small share of a core may be paused for 84 ms at a time.
	refusalTimeout = 200 * time.Millisecond
)

// Observer receives the measurements of a node. Its functions must not block.
type Observer struct {
	granted  func(source Source, credits int)
	refused  func(tenant string, v Verdict)
	answered func(granted int)
}

// NewObserver returns an observer: granted is called with the credits that this node got
// and from where, refused for each refused request, and answered with the credits that
// this node granted to another one.
func NewObserver(granted func(source Source, credits int), refused func(tenant string, v Verdict), answered func(granted int)) Observer {
	return Observer{granted: granted, refused: refused, answered: answered}
}

// Node decides on the requests of all tenants at one node. It belongs to one goroutine,
// except Account.
type Node struct {
	owner      *Owner
	view       *View
	aloneSince time.Time
	base       time.Time
	wallets    map[string]*wallet
	accounts   map[string]*Account
	lastNumber uint64
	open       map[uint64]*openQuestion
	timeouts   []timeout // in order of time
	send       func(to string, q Question) bool
	settle     func(id uint64, v Verdict)
	observer   Observer
}

// NewNode returns a node without limits. send sends a question to another node and
// reports false if there is no link to it; settle receives the verdict on each request.
// now is before all later times.
func NewNode(now time.Time, self string, bounds Bounds, send func(to string, q Question) bool, settle func(id uint64, v Verdict), observer Observer) *Node {
	return &Node{
		owner: NewOwner(bounds), view: &View{self: self}, aloneSince: now, base: now, wallets: map[string]*wallet{}, accounts: map[string]*Account{},
		open: map[uint64]*openQuestion{}, send: send, settle: settle, observer: observer,
	}
}

// Configure replaces the limits and returns the accounts of all tenants with a limit.
// Credits of a tenant whose limit was lowered are dropped.
func (n *Node) Configure(now time.Time, limits []Limit) map[string]*Account {
	byTenant, accounts := make(map[string]Limit, len(limits)), make(map[string]*Account, len(limits))
	for _, l := range limits {
		if l.rate <= 0 {
			continue
		}
		account, ok := n.accounts[l.tenant]
		if !ok {
			account = NewAccount(n.base)
		}
		byTenant[l.tenant], accounts[l.tenant] = l, account
	}
	n.accounts = accounts
	n.owner.Configure(now, byTenant)
	for tenant, w := range n.wallets {
		l, ok := byTenant[tenant]
		if !ok || l.rate < w.limit.rate {
			w.account.Clear()
		}
		if !ok {
			n.settleAll(w, Unlimited())
			delete(n.wallets, tenant)
			continue
		}
		w.limit, w.pausedUntil = l, time.Time{}
	}
	return accounts
}

// SetView replaces the view of the fleet. Questions to nodes that no longer own the
// tenant are asked again.
func (n *Node) SetView(now time.Time, v View) {
	wasAlone := n.view.isAlone()
	v.changedAt = now
	n.view = &v
	if v.isAlone() && !wasAlone {
		n.aloneSince = now
	}
	n.owner.SetView(now, n.view)
	for _, tenant := range slices.Sorted(maps.Keys(n.wallets)) {
		w := n.wallets[tenant]
		if v.isAlone() == wasAlone && (w.question == nil && !w.isSilent || v.Owner(tenant) == w.askedNode) {
			continue
		}
		w.question, w.isSilent = nil, false
		w.fallback.end()
		if len(w.waiting) > 0 {
			n.ask(now, w)
		}
	}
}

// Request decides on a request for which its account had no credit. settle is called with
// the verdict, at once or later.
func (n *Node) Request(now time.Time, tenant string, id uint64) {
	l, ok := n.owner.limits[tenant]
	if !ok {
		n.settle(id, Unlimited())
		return
	}
	w, ok := n.wallets[tenant]
	if !ok {
		w = &wallet{limit: l, account: n.accounts[tenant]}
		n.wallets[tenant] = w
	}
	if expiresAt, ok := w.account.take(now); ok {
		v := w.verdict(now, true, FromOwner, w.grantedBy, 0)
		v.expiresAt = expiresAt
		n.settle(id, v)
		return
	}
	if now.Before(w.pausedUntil) {
		n.refuse(w, id, w.verdict(now, false, FromPause, w.grantedBy, w.retryAt.Sub(now)))
		return
	}
	w.waiting = append(w.waiting, id)
	switch {
	case w.isSilent && now.Sub(w.askedAt) < probeInterval:
		n.fallBack(now, w, true)
	case w.isSilent || w.question == nil:
		n.ask(now, w)
	case w.question.timedOut:
		n.fallBack(now, w, false)
	}
}

// Abandon removes a request that waits for a verdict. It reports false if the request has
// its verdict.
func (n *Node) Abandon(tenant string, id uint64) bool {
	w, ok := n.wallets[tenant]
	if !ok {
		return false
	}
	i := slices.Index(w.waiting, id)
	if i < 0 {
		return false
	}
	w.waiting = slices.Delete(w.waiting, i, i+1)
	return true
}

// ask asks the owner for the credits that the waiting requests need. The answer of this
// node itself takes no message.
func (n *Node) ask(now time.Time, w *wallet) {
	tenant := w.limit.tenant
	owner := n.view.Owner(tenant)
	w.askedAt, w.askedNode = now, owner
	if n.view.isAlone() || owner == "" {
		w.isSilent = true
		w.fallback.begin(n.aloneSince, n.view.phase(tenant))
		n.fallBack(now, w, true)
		return
	}
	n.lastNumber++
	q := Question{number: n.lastNumber, tenant: tenant, needed: max(len(w.waiting), 1), moved: w.movedFrom(now, owner), rate: w.limit.rate, burst: w.limit.burst}
	q.wanted = w.wanted(now, q.needed)
	if owner == n.view.self {
		q.wanted = q.needed
		n.applyAnswer(now, w, &openQuestion{number: q.number, tenant: tenant, to: owner, askedAt: now}, n.owner.answer(now, n.view, q, true))
		return
	}
	if !n.send(owner, q) {
		n.goSilent(now, now, w)
		return
	}
	open := &openQuestion{number: q.number, tenant: tenant, to: owner, askedAt: now}
	n.open[q.number] = open
	n.addTimeout(now, open)
	wasSilent := w.isSilent
	w.question = open
	if wasSilent {
		// The fallback decides until the owner is heard again.
		n.fallBack(now, w, true)
	}
}

// Answer answers a question of another node.
func (n *Node) Answer(now time.Time, q Question) Answer {
	a := n.owner.Answer(now, n.view, q)
	n.observer.answered(a.granted)
	return a
}

// HandleAnswer handles the answer of another node.
func (n *Node) HandleAnswer(now time.Time, a Answer) {
	open, ok := n.open[a.number]
	if !ok {
		return
	}
	delete(n.open, a.number)
	if w, ok := n.wallets[open.tenant]; ok {
		n.applyAnswer(now, w, open, a)
	}
}

// applyAnswer gives the credits of an answer to the waiting requests, and keeps the rest.
// Credits that lapsed on the way are no refusal: the owner is asked again.
func (n *Node) applyAnswer(now time.Time, w *wallet, open *openQuestion, a Answer) {
	isCurrent := w.question == nil || w.question == open
	if isCurrent {
		w.question = nil
	}
	if !a.owned {
		if isCurrent {
			n.goSilent(now, open.askedAt, w)
		}
		return
	}
	w.isSilent = false
	w.fallback.end()
	w.grantedBy = open.to
	expiresAt := open.askedAt.Add(creditLifetime)
	if a.granted > 0 {
		w.granted, w.grantedAt = a.granted, now
		n.observer.granted(FromOwner, a.granted)
	}
	lapsed := a.granted > 0 && !now.Before(expiresAt)
	if lapsed {
		a.granted = 0
	}
	used := min(a.granted, len(w.waiting))
	for _, id := range n.takeWaiting(w, used) {
		v := w.verdict(now, true, FromOwner, open.to, 0)
		v.expiresAt = expiresAt
		n.settle(id, v)
	}
	w.account.Add(now, a.granted-used, expiresAt)
	if a.granted > 0 || lapsed || !isCurrent {
		if len(w.waiting) > 0 && w.question == nil {
			n.ask(now, w)
		}
		return
	}
	w.retryAt = now.Add(a.retryAfter)
	w.pausedUntil = now.Add(min(a.retryAfter, pausePeriod))
	for _, id := range n.takeWaiting(w, len(w.waiting)) {
		n.refuse(w, id, w.verdict(now, false, FromOwner, open.to, a.retryAfter))
	}
}
