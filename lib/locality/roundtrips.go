// Package locality decides when a request is offered to servers in far data centres.
//
// RoundTrips measures which data centres are far. A Balance, one for each service,
// compares what servers here and elsewhere reply with, and says how many far servers a
// search asks together with those here.
//
// # Usage
//
//	trips := locality.NewRoundTrips(5 * time.Millisecond)
//	trips.Record(now, "south", roundTrip)
//	if trips.Distance(now, "south") == locality.Far { ... }
//	b := locality.NewBalance()
//	b.RecordHere(now, locality.OfferedCost(cost))
//	n := b.FarCandidates(now, latency, roundTrip, rand.Float64())
//
// The package reads no clock and starts no goroutine.
package locality

import "time"

// Distance says whether a data centre is far.
type Distance uint8

// Distances of a data centre.
const (
	// Unmeasured means that too few replies were measured lately.
	Unmeasured Distance = iota
	// Near means that the round trip is at most the limit.
	Near
	// Far means that the round trip is above the limit.
	Far
)

const (
	// measuredPeriod is the length of each of the two periods whose lowest round trips
	// count, so that the loss of one packet, or a busy moment, does not.
	measuredPeriod = 5 * time.Second
	// minFarReplies is how many replies must all be late before a data centre counts as
	// far: a node with 0.16 of a core delays single replies by some milliseconds.
	minFarReplies = 8
)

// RoundTrips holds the lowest round-trip time of the last seconds by data centre.
type RoundTrips struct {
	limit       time.Duration
	dataCentres map[string]*roundTrip
}

type roundTrip struct {
	far               bool
	current, previous time.Duration // lowest of each period, 0 for none
	count             int           // replies in both periods
	previousCount     int
	since             time.Time // start of the current period
	last              time.Time // of the last reply
}

// NewRoundTrips returns measurements in which a data centre with a round-trip time above
// limit is far.
func NewRoundTrips(limit time.Duration) *RoundTrips {
	return &RoundTrips{limit: limit, dataCentres: map[string]*roundTrip{}}
}

// Record records the time from a slot request to a server of the data centre to its reply.
func (r *RoundTrips) Record(now time.Time, dataCentre string, took time.Duration) {
	t, ok := r.dataCentres[dataCentre]
	if !ok {
		t = &roundTrip{since: now}
		r.dataCentres[dataCentre] = t
	}
	switch elapsed := now.Sub(t.since); {
	case elapsed >= 2*measuredPeriod:
		t.current, t.previous, t.count, t.previousCount, t.since = 0, 0, 0, 0, now
	case elapsed >= measuredPeriod:
		t.previous, t.previousCount = t.current, t.count-t.previousCount
		t.current, t.count, t.since = 0, t.previousCount, now
	}
	if t.current == 0 || took < t.current {
		t.current = took
	}
	t.count++
	t.last = now
	if lowest := t.lowest(); lowest <= r.limit || t.count >= minFarReplies {
		t.far = lowest > r.limit
	}
}

// Distance returns whether the data centre is far. A far one remains so without replies,
// since it is asked only when it is needed; a near one must be measured again, since a
// search that gets an offer here first does not wait for late replies.
func (r *RoundTrips) Distance(now time.Time, dataCentre string) Distance {
	t, ok := r.dataCentres[dataCentre]
	switch {
	case !ok:
		return Unmeasured
	case t.far:
		return Far
	case t.lowest() > r.limit || now.Sub(t.last) >= 2*measuredPeriod:
		return Unmeasured
	}
	return Near
}

// RoundTrip returns the lowest round-trip time of the last seconds, or the last known one.
func (r *RoundTrips) RoundTrip(dataCentre string) time.Duration {
	if t, ok := r.dataCentres[dataCentre]; ok {
		return t.lowest()
	}
	return 0
}

func (t *roundTrip) lowest() time.Duration {
	if t.previous == 0 {
		return t.current
	}
	return min(t.current, t.previous)
}
