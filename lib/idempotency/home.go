package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"savorygap.example/lib/balance"
)

// ParseKeyTime returns the creation time in a key. It returns false if the key
// is not a UUIDv7.
func ParseKeyTime(value string) (time.Time, bool) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Home returns the home of a key among the targets that were announced at least
// MinTargetAge before the key was created. It returns false if there is none.
func Home(key Key, created time.Time, targets []balance.Target) (balance.Target, bool) {
	var best balance.Target
	var bestWeight uint64
	found := false
	for _, t := range targets {
		if t.AnnouncedAt().Add(MinTargetAge).After(created) {
			continue
		}
		w := rendezvousWeight(key, t.ID())
		if !found || w > bestWeight {
			best, bestWeight, found = t, w, true
		}
	}
	return best, found
}

func rendezvousWeight(key Key, id balance.TargetID) uint64 {
	d := xxhash.New()
	for _, part := range []string{key.service, key.value, id.Node(), id.Address()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

const maxTargetSets = 256 // per service

// TargetHistory records the past target sets of a service, from which the
// previous homes of a key can be determined.
type TargetHistory struct {
	start time.Time
	sets  []targetSet
}

type targetSet struct {
	from    time.Time
	targets []balance.Target
}

// NewTargetHistory returns an empty history that starts now.
func NewTargetHistory(now time.Time) *TargetHistory { return &TargetHistory{start: now} }

// Record adds the set of targets in service from now on. It drops sets that
// ended longer ago than any key is remembered, and the oldest ones beyond
// maxTargetSets.
func (h *TargetHistory) Record(now time.Time, targets []balance.Target) {
	if n := len(h.sets); n > 0 && sameTargets(h.sets[n-1].targets, targets) {
		return
	}
	h.sets = append(h.sets, targetSet{from: now, targets: targets})
	for len(h.sets) > 1 && (len(h.sets) > maxTargetSets || now.Sub(h.sets[1].from) > Retention+MaxClockSkew) {
		h.sets = h.sets[1:]
		h.start = h.sets[0].from
	}
}

func sameTargets(a, b []balance.Target) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[balance.TargetID]time.Time, len(a))
	for _, t := range a {
		known[t.ID()] = t.AnnouncedAt()
	}
	for _, t := range b {
		if announcedAt, ok := known[t.ID()]; !ok || !announcedAt.Equal(t.AnnouncedAt()) {
			return false
		}
	}
	return true
}

// Homes returns the current home of a key and the other targets that may have
// been its home since its creation. It returns false if the history starts
// later than that or if there is no current home.
func (h *TargetHistory) Homes(now time.Time, key Key, created time.Time) (balance.Target, []balance.Target, bool) {
	if len(h.sets) == 0 || created.Add(-MaxClockSkew).Before(h.start) {
		return balance.Target{}, nil, false
	}
	current, ok := Home(key, created, h.sets[len(h.sets)-1].targets)
	if !ok {
		return balance.Target{}, nil, false
	}
	return current, h.previousHomes(key, created, current), true
}

func (h *TargetHistory) previousHomes(key Key, created time.Time, current balance.Target) []balance.Target {
	var previous []balance.Target
	seen := map[balance.TargetID]bool{current.ID(): true}
	for i := len(h.sets) - 1; i >= 0; i-- {
		if home, ok := Home(key, created, h.sets[i].targets); ok && !seen[home.ID()] {
			seen[home.ID()] = true
			previous = append(previous, home)
		}
		if h.sets[i].from.Before(created.Add(-MaxClockSkew)) {
			break
		}
	}
	return previous
}
