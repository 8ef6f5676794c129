package quota

import (
	"slices"
	"time"
)

const (
	// startAge is how long after its first configuration a process counts as just
	// started. Links to all members are up by then.
	startAge = 3 * time.Second
	// askedPeriod is how long a question of another node shows that it takes this node for the
	// owner. A node with requests asks at least once in the lifetime of its credits.
	askedPeriod = 2 * creditLifetime
	// batchShare is the fraction of the tokens left that one question may take beyond the
	// requests that wait, so that the first to ask does not leave the others without.
	batchShare = 0.25
)

// Owner holds the buckets of the tenants that this node owns.
type Owner struct {
	bounds       Bounds
	limits       map[string]Limit
	buckets      map[string]*ownedBucket
	configuredAt time.Time // the first configuration, or the first question if it came before
	forgetAt     time.Time // when buckets of removed tenants are next forgotten, zero for never
	linked       []viewNode
	lost         []lostNode
}

// lostNode is a member to which this node has lost its link. It may still grant as an owner, if
// only the two are cut off from each other.
type lostNode struct {
	viewNode
	at time.Time
}

// ownedBucket is the bucket of a tenant. started is the part of the start tokens that it
// was given.
type ownedBucket struct {
	bucket  Bucket
	limit   Limit
	share   float64
	started float64
	isYoung bool
	// removedAt is when the tenant was removed, zero while it has a limit.
	removedAt time.Time
	// rival reports that the owner before this one may still be at work. Unless another node has
	// lately asked, which has lost its link to that owner too, the bucket holds no more than the
	// fallback of this node. rivalLostAt is when the link was lost.
	rival       bool
	rivalLostAt time.Time
	askedUntil  time.Time
}

// NewOwner returns an owner without limits.
func NewOwner(bounds Bounds) *Owner {
	return &Owner{bounds: bounds, limits: map[string]Limit{}, buckets: map[string]*ownedBucket{}}
}

// Configure sets the limits of all tenants. A bucket keeps its tokens up to its new
// capacity. That of a removed tenant is kept for the window of the bounds: the tenant may be
// added again, and what it has sent before still counts.
func (o *Owner) Configure(now time.Time, limits map[string]Limit) {
	if o.configuredAt.IsZero() && len(limits) > 0 {
		o.configuredAt = now
	}
	o.limits = limits
	for tenant, b := range o.buckets {
		if l, ok := limits[tenant]; ok {
			o.size(now, b, l, b.share)
			b.removedAt = time.Time{}
		} else if b.removedAt.IsZero() {
			b.removedAt = now
		}
	}
	o.forgetRemoved(now)
}

// forgetRemoved drops the buckets of tenants that were removed longer than the window ago.
func (o *Owner) forgetRemoved(now time.Time) {
	o.forgetAt = time.Time{}
	for tenant, b := range o.buckets {
		if b.removedAt.IsZero() {
			continue
		}
		switch due := b.removedAt.Add(o.bounds.window); {
		case !now.Before(due):
			delete(o.buckets, tenant)
		case o.forgetAt.IsZero() || due.Before(o.forgetAt):
			o.forgetAt = due
		}
	}
}

// RememberedTenants returns how many tenants have a bucket.
func (o *Owner) RememberedTenants() int { return len(o.buckets) }

// size sets the rate and the capacity of a bucket for a share of the members.
func (o *Owner) size(now time.Time, b *ownedBucket, l Limit, share float64) {
	b.limit, b.share = l, share
	if !b.rival || now.Before(b.askedUntil) {
		b.bucket.Reconfigure(now, share*l.rate, max(share*o.bounds.Capacity(l), 1))
		return
	}
	part := share * l.rate / float64(max(len(o.linked), 1))
	if now.Sub(b.rivalLostAt) < noticePeriod {
		part *= noticeShare
	}
	b.bucket.Reconfigure(now, part, max(part*fallbackPeriod.Seconds(), 1))
}

// SetView drops the buckets of tenants that this node no longer owns, and adapts the
// others to the share of the members that it is linked to.
func (o *Owner) SetView(now time.Time, v *View) {
	o.recordLost(now, v)
	for tenant, b := range o.buckets {
		if v.isAlone() || v.Owner(tenant) != v.self {
			delete(o.buckets, tenant)
			continue
		}
		b.rival = b.rival && len(o.lost) > 0
		l, grown := b.limit, v.Share()-b.share
		o.size(now, b, l, v.Share())
		if b.isYoung && grown > 0 && now.Sub(o.configuredAt) < startAge {
			added := grown * o.bounds.Start(l)
			b.started += added
			b.bucket.add(now, added)
		}
	}
}

// recordLost records the nodes that are not in the view any more, unless this node is linked to
// all members.
func (o *Owner) recordLost(now time.Time, v *View) {
	isLinked := make(map[string]bool, len(v.nodes))
	for _, n := range v.nodes {
		isLinked[n.name] = true
	}
	o.lost = slices.DeleteFunc(o.lost, func(n lostNode) bool { return isLinked[n.name] })
	for _, n := range o.linked {
		if !isLinked[n.name] && n.name != v.self {
			o.lost = append(o.lost, lostNode{viewNode: n, at: now})
		}
	}
	o.linked = v.nodes
	// Members that were replaced while this node was not linked to all are dropped in order.
	o.lost = o.lost[max(0, len(o.lost)-(v.members-v.linked)):]
}

// findRival returns when the link was lost to a node that may still own a tenant. It returns false
// if there is none.
func (o *Owner) findRival(v *View, tenant string) (lostAt time.Time, ok bool) {
	for _, n := range o.lost {
		if owner(append(slices.Clone(v.nodes), n.viewNode), tenant) == n.name {
			lostAt, ok = n.at, true
		}
	}
	return lostAt, ok
}

// Answer answers a question of another node.
func (o *Owner) Answer(now time.Time, v *View, q Question) Answer { return o.answer(now, v, q, false) }

// answer answers a question. isOwn reports whether this node itself asks.
func (o *Owner) answer(now time.Time, v *View, q Question, isOwn bool) Answer {
	l, ok := o.limits[q.tenant]
	if !ok {
		l, ok = q.limit()
	}
	if !ok || v.isAlone() || v.Owner(q.tenant) != v.self {
		return NewAnswer(q.number, 0, 0, false)
	}
	if o.configuredAt.IsZero() {
		o.configuredAt = now
	}
	if !o.forgetAt.IsZero() && !now.Before(o.forgetAt) {
		o.forgetRemoved(now)
	}
	b, ok := o.buckets[q.tenant]
	if !ok {
		b = o.newBucket(now, v, l)
		o.buckets[q.tenant] = b
	}
	if !isOwn {
		b.askedUntil = now.Add(askedPeriod)
	}
	if b.rival {
		o.size(now, b, b.limit, b.share)
	}
	if q.moved && b.isYoung {
		// Another owner was at work before this process started.
		b.bucket.add(now, -b.started)
		b.isYoung = false
	}
	granted := b.bucket.Take(now, q.needed)
	if extra := q.wanted - q.needed; granted == q.needed && extra > 0 {
		granted += b.bucket.Take(now, min(extra, int(batchShare*b.bucket.Tokens(now))))
	}
	return NewAnswer(q.number, granted, b.bucket.UntilToken(now), true)
}

// newBucket returns the bucket of a tenant that is asked for the first time. It holds
// what it gained while nobody asked.
func (o *Owner) newBucket(now time.Time, v *View, l Limit) *ownedBucket {
	b := &ownedBucket{limit: l, share: v.Share(), isYoung: now.Sub(o.configuredAt) < startAge}
	since, tokens := v.changedAt, takeoverTokens
	if o.configuredAt.After(since) {
		since = o.configuredAt
	}
	if b.isYoung {
		b.started = b.share * o.bounds.Start(l)
		tokens = b.started
	}
	b.bucket = NewBucket(since, b.share*l.rate, max(b.share*o.bounds.Capacity(l), 1), tokens)
	if b.rivalLostAt, b.rival = o.findRival(v, l.tenant); b.rival {
		b.bucket = NewBucket(now, 0, 1, takeoverTokens)
		b.started, b.isYoung = 0, false
		o.size(now, b, l, b.share)
	}
	return b
}
