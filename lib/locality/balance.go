package locality

import (
	"math"
	"time"
)

const (
	// loadAllowance is the part of a server's cost that is load without being slowness: a
	// server with all slots for ordinary requests in use costs 0.6 more than an idle one
	// and is as fast. A far server must be cheaper by more than this.
	loadAllowance = 0.6
	// queuedCost and refusedCost are the costs of a reply without an offer, in usual
	// latencies above the cost of the server: a queued request waits for about one run,
	// and a refused one has to come back.
	queuedCost  = 1.0
	refusedCost = 4.0
	// estimateHalfLife is the time in which what servers replied loses half its weight.
	estimateHalfLife = 500 * time.Millisecond
	// minWeight is the weight of replies below which an estimate is unknown.
	minWeight = 0.2
	// idleCost is the assumed cost of servers elsewhere that nobody has asked lately.
	idleCost = 1.0
	// riseFactor is the multiple of the round trip that must be gained before the share
	// rises. It falls when less than one round trip is gained and holds in between.
	riseFactor = 1.5
	// sharePerSecond is how fast the share moves. Replies reflect a change of the share
	// after about a second, by which time it has moved by a quarter. Searches in which
	// nothing here is free look elsewhere at once and need no share.
	sharePerSecond = 0.25
	// maxElapsed bounds the time that one search accounts for.
	maxElapsed = time.Second
	// manyShare is the share from which two far servers are asked instead of one.
	manyShare = 0.5
	// assumedLatency is the latency of a route whose usual one is unknown.
	assumedLatency = 100 * time.Millisecond
)

// OfferedCost returns the cost of a server that offered a slot, in usual latencies.
func OfferedCost(cost float64) float64 { return cost }

// QueuedCost returns the cost of a server that queued the request.
func QueuedCost(cost float64) float64 { return cost + queuedCost }

// RefusedCost returns the cost of a server that refused the request.
func RefusedCost() float64 { return idleCost + refusedCost }

// ExtraCost returns what is added to the cost that a far server offers before it is
// compared with those here.
func ExtraCost(roundTrip, latency time.Duration) float64 {
	return loadAllowance + latencies(roundTrip, latency)
}

// latencies expresses a round trip in usual latencies of a route.
func latencies(roundTrip, latency time.Duration) float64 {
	if latency <= 0 {
		latency = assumedLatency
	}
	return float64(roundTrip) / float64(latency)
}

// Balance compares the servers of one service here with those elsewhere.
type Balance struct {
	here, elsewhere estimate
	share           float64
	movedAt         time.Time
}

// NewBalance returns a balance that looks nowhere else.
func NewBalance() *Balance { return &Balance{} }

// RecordHere records the lowest cost that servers here replied with in one search.
func (b *Balance) RecordHere(now time.Time, cost float64) { b.here.record(now, cost) }

// RecordElsewhere records the lowest cost that far servers replied with in one search.
func (b *Balance) RecordElsewhere(now time.Time, cost float64) { b.elsewhere.record(now, cost) }

// Share returns the share of searches that ask far servers together with those here.
func (b *Balance) Share() float64 { return b.share }

// Costs returns the expected costs here and elsewhere, in usual latencies.
func (b *Balance) Costs(now time.Time) (here, elsewhere float64) {
	return b.here.mean(now), b.elsewhere.mean(now)
}

// FarCandidates moves the share and returns how many far servers a search asks together
// with those here, for a route with the usual latency; draw is random in [0, 1).
func (b *Balance) FarCandidates(now time.Time, latency, roundTrip time.Duration, draw float64) int {
	elapsed := min(now.Sub(b.movedAt), maxElapsed)
	b.movedAt = now
	here, elsewhere := b.Costs(now)
	gain, trip := here-elsewhere-loadAllowance, latencies(roundTrip, latency)
	switch step := sharePerSecond * elapsed.Seconds(); {
	case gain > riseFactor*trip:
		b.share = min(1, b.share+step)
	case gain < trip:
		b.share = max(0, b.share-step)
	}
	switch {
	case draw >= b.share:
		return 0
	case b.share >= manyShare:
		return 2
	}
	return 1
}

// estimate is a mean whose samples fade.
type estimate struct {
	sum, weight float64
	at          time.Time
}

func (e *estimate) record(now time.Time, cost float64) {
	fade := e.fade(now)
	e.sum, e.weight, e.at = e.sum*fade+cost, e.weight*fade+1, now
}

func (e *estimate) mean(now time.Time) float64 {
	if e.weight*e.fade(now) < minWeight {
		return idleCost
	}
	return e.sum / e.weight
}

func (e *estimate) fade(now time.Time) float64 {
	return math.Exp2(-now.Sub(e.at).Seconds() / estimateHalfLife.Seconds())
}
