package registry_test

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/registry"
)

const (
	// readBound is the shortest time that deployments allow between the acknowledgement of
	// a version and its being in force everywhere.
	readBound = 2 * time.Second
	// callMargin is how much longer than its wait a call waits for a reply.
	callMargin = 2 * time.Second
)

// watchingFleet is a fleet of watchers of one store. The nodes with fast links can be cut
// off the store.
type watchingFleet struct {
	version  atomic.Uint64
	cut      atomic.Bool
	isSilent bool          // whether calls of nodes that are cut off get no reply, or are refused
	calls    atomic.Int64  // of all nodes
	read     chan struct{} // a node that is not cut off has read the change
}

func startFleet(t *testing.T, fast, slow int, isSilent bool) *watchingFleet {
	t.Helper()
	f := &watchingFleet{isSilent: isSilent, read: make(chan struct{}, fast+slow)}
	f.version.Store(7)
	fastWeight := math.Pow(20, 1.5) // a link of 200 Mbit/s beside those of 10
	total := float64(fast)*fastWeight + float64(slow)
	watchers := make([]*registry.Watcher, 0, fast+slow)
	for i := range fast + slow {
		name, isFast, weight := fmt.Sprint(i), i < fast, 1.0
		if isFast {
			weight = fastWeight
		}
		announce := func(phase registry.WatchPhase) {
			for other, w := range watchers {
				if other != i {
					w.ObservePeerWatch(name, phase)
				}
			}
		}
		update := func(u registry.Update) {
			if !u.Full() && !isFast {
				f.read <- struct{}{}
			}
		}
		share := registry.NewShare(weight/total, 1/float64(fast+slow))
		watchers = append(watchers, newWatcherWithShare(t, newStore(readEmpty, f.watch(isFast)), share, announce, update, func(error) {}))
	}
	for _, w := range watchers {
		start(t, w)
	}
	return f
}

// watch returns the watch of a node.
func (f *watchingFleet) watch(isFast bool) func(context.Context, uint64, time.Duration) ([]registry.Record, uint64, error) {
	return func(ctx context.Context, after uint64, wait time.Duration) ([]registry.Record, uint64, error) {
		f.calls.Add(1)
		ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
		defer cancel()
		for ends := time.Now().Add(wait); ; {
			isCut := isFast && f.cut.Load()
			version := f.version.Load()
			switch {
			case isCut && !f.isSilent:
				return nil, 0, errRefused
			case isCut:
			case version > after:
				return []registry.Record{registry.NewRecord(registry.KindConfiguration, "", nil).WithVersion(version)}, version, nil
			case !time.Now().Before(ends):
				return nil, after, nil
			}
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}

// TestNewVersionIsReadInTimeWhileFastNodesAreCutOff guards against a fleet that leaves the
// watches to nodes with fast links when these cannot reach the store: a dropped route and a
// revoked key worked for up to 4.1 s after the acknowledgement.
func TestNewVersionIsReadInTimeWhileFastNodesAreCutOff(t *testing.T) {
	const fleets = 10
	for _, isSilent := range []bool{true, false} {
		for i := range fleets {
			t.Run(fmt.Sprintf("silent=%t/%d", isSilent, i), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 4, 8, isSilent)
				time.Sleep(1500 * time.Millisecond)
				f.cut.Store(true)
				time.Sleep(100 * time.Millisecond)
				f.version.Add(1)
				select {
				case <-f.read:
				case <-time.After(readBound):
					t.Errorf("no node has read the change within %s", readBound)
				}
			})
		}
	}
}

// TestFleetOfHealthyNodesMakesOneWatchAtATime guards against watches that the nodes make
// beside each other while the store can be reached.
func TestFleetOfHealthyNodesMakesOneWatchAtATime(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, 8, true)
	time.Sleep(1500 * time.Millisecond)
	before := f.calls.Load()
	time.Sleep(4 * time.Second)
	must.LessEq(t, 8, f.calls.Load()-before)
}
