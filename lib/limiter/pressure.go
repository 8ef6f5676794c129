package limiter

import "time"

const (
	// pressureBucket and pressureBuckets make up the second over which outcomes are counted.
	pressureBucket  = 100 * time.Millisecond
	pressureBuckets = 10
	// minOutcomes is the number of outcomes below which those of a kind count as that many,
	// so that single refusals of a rare kind, the worst of all kinds by chance, are not taken
	// for a shortage.
	minOutcomes = 10
)

// requestClass is a kind of request whose outcomes are counted together.
type requestClass struct {
	priority int
	nested   bool
}

// outcomes counts, over the last second, the requests of one kind that found a slot in
// time, here or elsewhere, and those that did not.
type outcomes struct {
	buckets [pressureBuckets]outcomeBucket
}

type outcomeBucket struct {
	period        int64
	found, denied int
}

// TrackPressure begins to count outcomes for Pressure.
func (l *Limiter) TrackPressure() { l.outcomes = map[requestClass]*outcomes{} }

// Pressure returns the share of the requests of the last second that found no slot in
// time, from 0 to 1, among those more urgent than priority. Kinds are counted apart, and
// the one that fares worst counts: a less urgent request should not be served more often
// than any of them. It is 0 unless outcomes are tracked.
func (l *Limiter) Pressure(now time.Time, priority int) float64 {
	highest := 0.0
	for c, o := range l.outcomes {
		if c.priority < priority {
			highest = max(highest, o.deniedShare(now))
		}
	}
	return highest
}

// countFound counts a request that got a slot here, or was withdrawn from the queue, which
// its sender does once it has a slot elsewhere.
func (l *Limiter) countFound(now time.Time, r Request) {
	if b := l.outcomeBucket(now, r); b != nil {
		b.found++
	}
}

// countDenied counts a request that waited for its whole time, or can get no slot in that
// time. A request that may not wait, such as a hedge, and one that is denied only because
// the server is slower than it wants, say nothing about room.
func (l *Limiter) countDenied(now time.Time, r Request) {
	if l.outcomes == nil || r.maxWait <= 0 || l.canReserve(now, r.WithMaxSlowness(0)) {
		return
	}
	l.outcomeBucket(now, r).denied++
}

func (l *Limiter) outcomeBucket(now time.Time, r Request) *outcomeBucket {
	if l.outcomes == nil {
		return nil
	}
	c := requestClass{priority: r.priority, nested: r.nested}
	o, ok := l.outcomes[c]
	if !ok {
		o = &outcomes{}
		l.outcomes[c] = o
	}
	period := now.UnixNano() / int64(pressureBucket)
	b := &o.buckets[period%pressureBuckets]
	if b.period < period {
		*b = outcomeBucket{period: period}
	}
	return b
}

func (o *outcomes) deniedShare(now time.Time) float64 {
	latest := now.UnixNano() / int64(pressureBucket)
	found, denied := 0, 0
	for _, b := range o.buckets {
		if latest-b.period < pressureBuckets {
			found, denied = found+b.found, denied+b.denied
		}
	}
	if denied == 0 {
		return 0
	}
	return float64(denied) / float64(max(found+denied, minOutcomes))
}
