package gossip

import "time"

const (
	// BytesPerSecond is the rate at which a node may send control traffic.
	BytesPerSecond = 7000
	// budgetBurst is the capacity of the token bucket in bytes: enough to send
	// all records to a node that joins a fleet of 5,100.
	budgetBurst = 1 << 20

	// repairReserve is the number of bytes that must remain in the bucket after
	// a repair, for record broadcasts. recordsReserve is what must remain after
	// a broadcast, for configuration and pings.
	repairReserve  = budgetBurst / 4
	recordsReserve = budgetBurst / 16
)

// priority orders control messages for shedding: repairs are shed first, then
// record broadcasts; pings, probes and configuration are never shed.
type priority uint8

const (
	priorityEssential priority = iota
	priorityRecords
	priorityRepair
)

// budget is a token bucket that limits control traffic; a token is a byte.
type budget struct {
	tokens     float64
	refilledAt time.Time
	sentBytes  uint64
	shed       [priorityRepair + 1]uint64
}

func newBudget(now time.Time) budget {
	return budget{tokens: budgetBurst, refilledAt: now}
}

func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*BytesPerSecond, budgetBurst)
}

// allow reports whether a message of n bytes and the given priority may be sent,
// and counts it as shed if not.
func (b *budget) allow(p priority, n int) bool {
	reserve := 0.0
	switch p {
	case priorityRepair:
		reserve = repairReserve
	case priorityRecords:
		reserve = recordsReserve
	case priorityEssential:
		return true
	}
	if b.tokens-float64(n) >= reserve {
		return true
	}
	b.shed[p]++
	return false
}

func (b *budget) spend(n int) {
	b.sentBytes += uint64(n)
	b.tokens = max(b.tokens-float64(n), -budgetBurst)
}
