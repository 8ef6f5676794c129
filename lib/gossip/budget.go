package gossip

import "time"

const (
	// BytesPerSecond is the budget of one node for control traffic.
	BytesPerSecond = 7000
	// budgetBurst is what may be spent at once, in bytes: one full exchange
	// with a node that joins a fleet of 5,100.
	budgetBurst = 1 << 20

	// reserveRepair is the part of the burst in bytes that repairs leave to
	// claims; reserveClaims is what claims leave to configuration and pings.
	reserveRepair = budgetBurst / 4
	reserveClaims = budgetBurst / 16
)

// priority orders control messages for shedding: repairs go first, then
// claims; pings, probes and configuration are never shed.
type priority uint8

const (
	priorityEssential priority = iota
	priorityClaims
	priorityRepair
)

// budget is a bucket of bytes for control traffic.
type budget struct {
	tokens float64
	filled time.Time
	spent  uint64
	shed   [priorityRepair + 1]uint64
}

func newBudget(now time.Time) budget {
	return budget{tokens: budgetBurst, filled: now}
}

func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	b.tokens = min(b.tokens+elapsed*BytesPerSecond, budgetBurst)
}

// allows reports whether n bytes of the given priority may be sent, and counts
// what is shed.
func (b *budget) allows(p priority, n int) bool {
	reserve := 0.0
	switch p {
	case priorityRepair:
		reserve = reserveRepair
	case priorityClaims:
		reserve = reserveClaims
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
	b.spent += uint64(n)
	b.tokens = max(b.tokens-float64(n), -budgetBurst)
}
