package registry

import (
	"time"

	"savorygap.example/lib/chart"
)

// WatchPhase is what a node announces of a watch of the store.
type WatchPhase uint8

// The phases of a watch.
const (
	// WatchStarted is the start of a watch.
	WatchStarted WatchPhase = iota
	// WatchEnded is the end of a watch that the store replied to.
	WatchEnded
	// WatchFailed is the end of a watch that got no reply, or was refused.
	WatchFailed
)

// event returns the event of the chart "watch" for a phase.
func (p WatchPhase) event() chart.Event {
	return []chart.Event{eventStarted, eventEnded, eventFailed}[p]
}

// Share is the share of the fleet's watches that a node should make.
type Share struct {
	preferred float64
	equal     float64
}

// NewShare returns a share. Both fractions are above 0 and up to 1: preferred grows with
// the bandwidth of the host, and equal is the same for all nodes.
func NewShare(preferred, equal float64) Share { return Share{preferred: preferred, equal: equal} }

// Preferred returns the fraction that grows with the bandwidth of the host.
func (s Share) Preferred() float64 { return s.preferred }

// Equal returns the fraction that is the same for all nodes.
func (s Share) Equal() float64 { return s.equal }

// peerWatch reports a phase of the watch of a peer.
type peerWatch struct {
	peer  string
	phase WatchPhase
}

// Watch describes a watch of the store that has ended.
type Watch struct {
	turn      string
	announced bool
	idle      time.Duration
	took      time.Duration
	records   int
	err       error
}

// Turn returns the state of the chart "watch" when the watch started.
func (w Watch) Turn() string { return w.turn }

// Announced reports whether the peers were told of the watch.
func (w Watch) Announced() bool { return w.announced }

// Idle returns the time from the end of the node's previous call to the start of this one.
func (w Watch) Idle() time.Duration { return w.idle }

// Took returns how long the watch took.
func (w Watch) Took() time.Duration { return w.took }

// Records returns the number of changes that the watch returned.
func (w Watch) Records() int { return w.records }

// Err returns why the watch failed, nil if it did not.
func (w Watch) Err() error { return w.err }
