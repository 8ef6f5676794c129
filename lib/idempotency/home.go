package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"savorygap.example/lib/balance"
)

// ParseKeyTime returns the time in a key. It reports false for a key that is not a
// UUIDv7.
func ParseKeyTime(value string) (time.Time, bool) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Home returns the home of a key among the targets that were announced early
// enough before the key was made. It reports false when there is none.
func Home(key Key, created time.Time, targets []balance.Target) (balance.Target, bool) {
	var best balance.Target
	var bestWeight uint64
	found := false
	for _, t := range targets {
		if t.AnnouncedAt().Add(MinTargetAge).After(created) {
			continue
		}
		w := weight(key, t.ID())
		if !found || w > bestWeight {
			best, bestWeight, found = t, w, true
		}
	}
	return best, found
}

func weight(key Key, id balance.TargetID) uint64 {
	d := xxhash.New()
	for _, part := range []string{key.service, key.value, id.Node(), id.Address()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

const (
	maxSets = 256 // remembered sets of targets of one service
)

// TargetHistory remembers which targets a service had, so that a home knows which
// homes a key had before.
type TargetHistory struct {
	started time.Time
	sets    []targetSet
}

type targetSet struct {
	from    time.Time
	targets []balance.Target
}

// NewTargetHistory returns a history that knows of nothing before now.
func NewTargetHistory(now time.Time) *TargetHistory { return &TargetHistory{started: now} }

// Record notes the targets from now on.
func (h *TargetHistory) Record(now time.Time, targets []balance.Target) {
	if n := len(h.sets); n > 0 && sameTargets(h.sets[n-1].targets, targets) {
		return
	}
	h.sets = append(h.sets, targetSet{from: now, targets: targets})
	for len(h.sets) > 1 && (len(h.sets) > maxSets || now.Sub(h.sets[1].from) > Retention+MaxClockSkew) {
		h.sets = h.sets[1:]
		h.started = h.sets[0].from
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
		if since, ok := known[t.ID()]; !ok || !since.Equal(t.AnnouncedAt()) {
			return false
		}
	}
	return true
}

// Homes returns the present home of a key and the other homes that it may have
// had since it was made. It reports false when the history does not reach back
// that far or there is no home now.
func (h *TargetHistory) Homes(now time.Time, key Key, created time.Time) (balance.Target, []balance.Target, bool) {
	if len(h.sets) == 0 || created.Add(-MaxClockSkew).Before(h.started) {
		return balance.Target{}, nil, false
	}
	present, ok := Home(key, created, h.sets[len(h.sets)-1].targets)
	if !ok {
		return balance.Target{}, nil, false
	}
	return present, h.earlier(key, created, present), true
}

func (h *TargetHistory) earlier(key Key, created time.Time, present balance.Target) []balance.Target {
	var earlier []balance.Target
	seen := map[balance.TargetID]bool{present.ID(): true}
	for i := len(h.sets) - 1; i >= 0; i-- {
		if past, ok := Home(key, created, h.sets[i].targets); ok && !seen[past.ID()] {
			seen[past.ID()] = true
			earlier = append(earlier, past)
		}
		if h.sets[i].from.Before(created.Add(-MaxClockSkew)) {
			break
		}
	}
	return earlier
}
