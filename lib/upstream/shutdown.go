package upstream

import "time"

// latencyMargin is the multiple of the expected latency that a request gets until the
// planned end of a process: servers slow down for a few hundred milliseconds at a time,
// and a slot offer has to be used first.
const latencyMargin = 2.0

// Shutdown is the planned end of a node process. The zero value is that of a process
// that goes on.
type Shutdown struct {
	end time.Time
}

// NewShutdown returns the shutdown of a process that ends at the given time.
func NewShutdown(end time.Time) Shutdown { return Shutdown{end: end} }

// Outlives reports whether a request with the given deadline may still be under way
// when the process ends.
func (s Shutdown) Outlives(deadline time.Time) bool {
	return !s.end.IsZero() && deadline.After(s.end)
}

// LatestStart returns the last time at which a server may start on a request, so that it
// is expected to end before the process does. It reports false if there is no such limit:
// the process goes on, or the time of the request is over before it ends.
func (s Shutdown) LatestStart(deadline time.Time, expectedLatency time.Duration) (time.Time, bool) {
	if !s.Outlives(deadline) {
		return time.Time{}, false
	}
	return s.end.Add(-time.Duration(latencyMargin * float64(expectedLatency))), true
}
