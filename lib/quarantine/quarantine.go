package quarantine

import (
	"slices"
	"time"

	"savorygap.example/lib/chart"
)

const (
	eventStruck  chart.Event = "struck"
	eventConvict chart.Event = "convict"
	eventLapse   chart.Event = "lapse"
	eventClear   chart.Event = "clear"
	tagHeld      chart.Tag   = "held"

	// endsUntilHeld is the number of servers that may end under a request. Up to as many
	// again may be at work on it by the time that all nodes know.
	endsUntilHeld = 2
	// endsUntilAllHeld is the number of servers that may end under several requests which
	// nothing tells apart. All of them are held then.
	endsUntilAllHeld = 3
	// SuspicionTTL is how long the end of a server counts without another one.
	SuspicionTTL = time.Minute
	// TrialDelay is how long after the last end of a server an ambiguous request is sent again.
	// Attempts that were under way by then have ended and are known: deadly requests ended
	// their servers within 110 ms (docs/incidents/2026-12-05-deadly.md), and nodes know within
	// 250 ms. A request that is cleared before that was finished before the end.
	TrialDelay = 400 * time.Millisecond
	// holdDuration is how long a request is held. After that, the next end holds it again.
	holdDuration = 5 * time.Minute
	// recentSuccess is how long after a server finished a request an end is no evidence
	// against it.
	recentSuccess = 2 * time.Second
	// maxSuspects bounds the requests that are remembered. Each takes some 200 bytes.
	maxSuspects = 1024
	// successSlots is the size of the table of recent successes, 24 bytes each. Requests
	// that share a slot replace each other.
	successSlots = 1 << 10
)

// suspect is a request under which servers have ended.
type suspect struct {
	machine   *chart.Machine
	ends      int
	lastEndAt time.Time
	heldUntil time.Time
	reports   []uint64 // those that count in ends, the oldest first
}

// success is when a server last finished a request, in Unix nanoseconds, and whether this
// node has seen it or was told.
type success struct {
	fingerprint Fingerprint
	at          int64
	seen        bool
}

// Ledger is what a node knows of requests under which servers have ended.
type Ledger struct {
	chart     *chart.Chart
	suspects  map[Fingerprint]*suspect
	successes [successSlots]success
	reports   uint64 // of ends, so far
}

// NewLedger returns an empty ledger that follows the chart "quarantine" of charts.
func NewLedger(charts *chart.Set) (*Ledger, error) {
	c, err := charts.Chart("quarantine")
	if err != nil {
		return nil, err
	}
	return &Ledger{chart: c, suspects: map[Fingerprint]*suspect{}}, nil
}

// Apply applies what this node or another one has seen. The records that a server has ended
// are those of one report. It returns the requests that are
// held from now on, and those that this node has just seen finished, so that the other
// nodes must be told that they are cleared.
func (l *Ledger) Apply(now time.Time, records []Record) (held, refuted []Fingerprint) {
	var ended []Fingerprint
	for _, r := range records {
		switch r.kind {
		case Ended:
			if s, recent := l.recentSuccess(now, r.fingerprint); recent {
				if s.seen {
					refuted = append(refuted, r.fingerprint)
				}
				continue
			}
			ended = append(ended, r.fingerprint)
		case Held:
			if l.hold(now, r.fingerprint, now.Add(min(r.left, holdDuration))) {
				held = append(held, r.fingerprint)
			}
		case Cleared:
			// The report that is refuted may arrive after this.
			_, decided := l.recordSuccess(now, r.fingerprint, false)
			held = append(held, decided...)
		}
	}
	return append(held, l.recordEnds(now, ended)...), refuted
}

// recentSuccess returns the last time a server finished a request, if that was recently.
func (l *Ledger) recentSuccess(now time.Time, f Fingerprint) (success, bool) {
	s := l.successes[f%successSlots]
	return s, s.fingerprint == f && now.UnixNano()-s.at < int64(recentSuccess)
}

// recordEnds counts the end of a server against the requests that it was at work on, and
// returns those that are held from now on. An end under a request that is held already
// is no evidence against the others. Of several requests under which the same number of
// servers has ended, none is held before endsUntilAllHeld.
func (l *Ledger) recordEnds(now time.Time, ended []Fingerprint) (held []Fingerprint) {
	if known := l.heldOf(now, ended); len(known) > 0 {
		ended = known
	}
	l.reports++
	var strongest []Fingerprint
	most := endsUntilHeld
	for _, f := range ended {
		switch n := l.recordEnd(now, f); {
		case n > most:
			strongest, most = []Fingerprint{f}, n
		case n == most:
			strongest = append(strongest, f)
		}
	}
	if len(strongest) > 1 && most < endsUntilAllHeld {
		return nil
	}
	for _, f := range strongest {
		if l.hold(now, f, now.Add(holdDuration)) {
			held = append(held, f)
		}
	}
	return held
}

// heldOf returns those of the requests that are held.
func (l *Ledger) heldOf(now time.Time, requests []Fingerprint) (held []Fingerprint) {
	for _, f := range requests {
		if s, ok := l.suspects[f]; ok && s.isHeld(now) {
			held = append(held, f)
		}
	}
	return held
}

// recordEnd counts the end of a server against a request, and returns how many there are.
func (l *Ledger) recordEnd(now time.Time, f Fingerprint) int {
	s := l.suspect(f)
	if s == nil {
		return 0
	}
	if s.ends > 0 && now.Sub(s.lastEndAt) > SuspicionTTL && s.heldUntil.IsZero() {
		s.ends, s.reports = 0, nil
	}
	s.ends++
	s.reports = append(s.reports[max(0, len(s.reports)-endsUntilAllHeld):], l.reports)
	s.lastEndAt = now
	s.fire(eventStruck)
	return s.ends
}

// exonerateOthers takes back the ends that a request which is held explains from the others
// that stood beside it.
func (l *Ledger) exonerateOthers(guilty *suspect) {
	for f, s := range l.suspects {
		if s == guilty || s.machine.HasTag(tagHeld) {
			continue
		}
		before := len(s.reports)
		s.reports = slices.DeleteFunc(s.reports, func(n uint64) bool { return slices.Contains(guilty.reports, n) })
		if s.ends -= before - len(s.reports); s.ends <= 0 {
			l.clear(f)
		}
	}
}

// hold holds a request until the given time, and reports whether it was not held before.
func (l *Ledger) hold(now time.Time, f Fingerprint, until time.Time) bool {
	s := l.suspect(f)
	if s == nil || !until.After(s.heldUntil) {
		return false
	}
	before := s.isHeld(now)
	s.ends = max(s.ends, endsUntilHeld)
	s.heldUntil = until
	s.fire(eventConvict)
	if !before {
		l.exonerateOthers(s)
	}
	return !before
}

// suspect returns the entry of a request, which it adds if there is none.
func (l *Ledger) suspect(f Fingerprint) *suspect {
	if s, ok := l.suspects[f]; ok {
		return s
	}
	machine, err := l.chart.NewMachine(chart.Actions{})
	if err != nil {
		return nil
	}
	if len(l.suspects) >= maxSuspects {
		l.dropLeastSuspected()
	}
	s := &suspect{machine: machine}
	l.suspects[f] = s
	return s
}

// dropLeastSuspected removes the request with the fewest ends, the oldest of several.
func (l *Ledger) dropLeastSuspected() {
	var least Fingerprint
	var found *suspect
	for f, s := range l.suspects {
		if found == nil || s.ends < found.ends || s.ends == found.ends && s.lastEndAt.Before(found.lastEndAt) {
			least, found = f, s
		}
	}
	delete(l.suspects, least)
}

// RecordSuccess records that a server has finished a request. It reports whether the
// request was suspected until then.
func (l *Ledger) RecordSuccess(now time.Time, f Fingerprint) bool {
	cleared, _ := l.recordSuccess(now, f, true)
	return cleared
}

// recordSuccess also returns the requests that are held now that this one is cleared.
func (l *Ledger) recordSuccess(now time.Time, f Fingerprint, seen bool) (cleared bool, held []Fingerprint) {
	l.successes[f%successSlots] = success{fingerprint: f, at: now.UnixNano(), seen: seen}
	s, ok := l.suspects[f]
	if !ok {
		return false, nil
	}
	l.clear(f)
	return true, l.decideWithout(now, s)
}

func (l *Ledger) clear(f Fingerprint) {
	l.suspects[f].fire(eventClear)
	delete(l.suspects, f)
}

// decideWithout holds the ambiguous requests that only one which has been cleared made so. A
// node that has seen no answer to a popular request learns only after the report of an end
// that it had just been finished. One that is finished later, in its trial, decides
// nothing: the others are on trial too, and may be innocent.
func (l *Ledger) decideWithout(now time.Time, cleared *suspect) (held []Fingerprint) {
	for f, s := range l.suspects {
		if s.ends < endsUntilHeld || s.isHeld(now) || now.Sub(s.lastEndAt) > TrialDelay || !s.stoodBeside(cleared) || l.hasRival(s) {
			continue
		}
		if l.hold(now, f, now.Add(holdDuration)) {
			held = append(held, f)
		}
	}
	return held
}

// hasRival reports whether another request, under which as many servers have ended, stood
// beside the last end.
func (l *Ledger) hasRival(s *suspect) bool {
	for _, other := range l.suspects {
		if other != s && other.ends >= s.ends && slices.Contains(other.reports, s.reports[len(s.reports)-1]) {
			return true
		}
	}
	return false
}

// stoodBeside reports whether a server ended under both requests.
func (s *suspect) stoodBeside(other *suspect) bool {
	return slices.ContainsFunc(s.reports, func(n uint64) bool { return slices.Contains(other.reports, n) })
}

// Held returns the requests that are held, and until when.
func (l *Ledger) Held(now time.Time) map[Fingerprint]time.Time {
	held := map[Fingerprint]time.Time{}
	for f, s := range l.suspects {
		if s.isHeld(now) {
			held[f] = s.heldUntil
		}
	}
	return held
}

// Ambiguous returns the requests that would be held if others had not stood beside the same
// ends, and when the last server has ended under each.
func (l *Ledger) Ambiguous(now time.Time) map[Fingerprint]time.Time {
	ambiguous := map[Fingerprint]time.Time{}
	for f, s := range l.suspects {
		if s.ends >= endsUntilHeld && !s.isHeld(now) && now.Sub(s.lastEndAt) <= SuspicionTTL {
			ambiguous[f] = s.lastEndAt
		}
	}
	return ambiguous
}

// Suspects returns how many requests are remembered.
func (l *Ledger) Suspects() int { return len(l.suspects) }

// isHeld reports whether the request is held, and ends a hold that is over.
func (s *suspect) isHeld(now time.Time) bool {
	if s.machine.HasTag(tagHeld) && !now.Before(s.heldUntil) {
		s.fire(eventLapse)
		s.heldUntil, s.ends, s.lastEndAt, s.reports = time.Time{}, endsUntilHeld-1, now, nil
	}
	return s.machine.HasTag(tagHeld)
}

// fire follows the chart. An event that a state doesn't take changes nothing.
func (s *suspect) fire(e chart.Event) {
	if s.machine.Accepts(e) {
		_ = s.machine.Fire(e) // accepted
	}
}
