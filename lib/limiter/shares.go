package limiter

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which the counted grants of a tenant fall by half.
	shareHalfLife = time.Second
	// shareMemory is how long a tenant without grants is remembered. After it, less than a
	// hundredth of its count is left.
	shareMemory = 7 * shareHalfLife
)

// tenantShares counts the recent grants of each tenant. The zero value is ready for use
// and takes no memory until the first request of a tenant starts.
type tenantShares struct {
	counts  map[string]decayingCount
	sweptAt time.Time
}

// decayingCount is a count that falls by half in shareHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (c decayingCount) at(now time.Time) float64 {
	return c.value * math.Exp2(-now.Sub(c.updatedAt).Seconds()/shareHalfLife.Seconds())
}

// record counts a request of a tenant that is sent to the server. Requests without a
// tenant are counted as those of one more tenant, once there are others. Nested calls
// without a tenant have a precedence of their own and are not counted.
func (s *tenantShares) record(now time.Time, tenant string) {
	if s.counts == nil {
		if tenant == "" {
			return
		}
		s.counts, s.sweptAt = map[string]decayingCount{}, now
	}
	s.counts[tenant] = decayingCount{value: s.counts[tenant].at(now) + 1, updatedAt: now}
	if now.Sub(s.sweptAt) >= shareMemory {
		s.sweep(now)
	}
}

// sweep drops the tenants that had no grant for shareMemory, so that the memory depends on
// the tenants seen lately only.
func (s *tenantShares) sweep(now time.Time) {
	s.sweptAt = now
	for tenant, c := range s.counts {
		if now.Sub(c.updatedAt) >= shareMemory {
			delete(s.counts, tenant)
		}
	}
	if len(s.counts) == 0 {
		s.counts = nil
	}
}

// used returns how much of the server the tenant of r recently had, relative to what it is
// due.
func (l *Limiter) used(now time.Time, r Request) float64 {
	n := l.recent(now, r.tenant)
	if r.weight > 0 {
		return n / r.weight
	}
	return n
}

// recent returns the decayed count of a tenant's requests that were sent to the server,
// plus the slots that are offered to it.
func (l *Limiter) recent(now time.Time, tenant string) float64 {
	n := l.shares.counts[tenant].at(now)
	for _, rv := range l.reservations {
		if !rv.started && rv.tenant == tenant && (tenant != "" || !rv.nested) {
			n++
		}
	}
	return n
}

// outranked reports whether a queued request that could get a slot now takes
// precedence over r, or belongs to a tenant that recently had less of the server.
func (l *Limiter) outranked(now time.Time, r Request) bool {
	for _, q := range l.queue {
		if (precedes(q.request, r) || l.usedMore(now, r, q.request)) && l.canReserve(now, q.request) {
			return true
		}
	}
	return false
}

// hasQueuedTenant reports whether a request of a tenant is queued.
func (l *Limiter) hasQueuedTenant() bool {
	for _, q := range l.queue {
		if q.request.tenant != "" {
			return true
		}
	}
	return false
}

// usedMore reports whether the tenant of r, which does not precede q, has recently had more
// of the server than that of q.
func (l *Limiter) usedMore(now time.Time, r, q Request) bool {
	return r.tenant != q.tenant && !precedes(r, q) && l.used(now, r) > l.used(now, q)
}

// advanceShared denies queued requests that are due at now, and grants free slots to the
// others: by precedence, then to the tenant that recently had the least of the server,
// then to the newest.
func (l *Limiter) advanceShared(now time.Time, decisions []Decision) []Decision {
	kept := l.queue[:0]
	for _, q := range l.queue {
		if !now.Before(q.expires) || l.isTooLate(now, q.expires) {
			decisions = append(decisions, Decision{key: q.key, status: Denied})
			continue
		}
		kept = append(kept, q)
	}
	l.queue = kept
	for {
		i, ok := l.nextShared(now)
		if !ok {
			return decisions
		}
		q := l.queue[i]
		l.queue = append(l.queue[:i], l.queue[i+1:]...)
		decisions = append(decisions, l.grant(now, q.key, q.request))
	}
}

// nextShared returns the index of the queued request that gets the next slot. It reports
// false if no queued request can get one.
func (l *Limiter) nextShared(now time.Time) (index int, ok bool) {
	least := 0.0
	for i, q := range l.queue {
		if ok && precedes(l.queue[index].request, q.request) {
			return index, true
		}
		if !l.canReserve(now, q.request) {
			continue
		}
		if n := l.used(now, q.request); !ok || n < least {
			index, least, ok = i, n, true
		}
	}
	return index, ok
}

// RememberedTenants returns how many tenants have their recent requests counted.
func (l *Limiter) RememberedTenants() int { return len(l.shares.counts) }
