package serverproxy_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/upstream"
)

// TestLeave_StartIsThatOfTheInstance guards against departures that are recorded as older
// than the instance, and so don't apply to it: the server doesn't state its start.
func TestLeave_StartIsThatOfTheInstance(t *testing.T) {
	r := newOpenRig(t)
	startedAt, ok := r.proxy.Leave(context.Background(), "i-1", 0)
	must.True(t, ok)
	must.Eq(t, int64(1), startedAt)
	startedAt, _ = r.proxy.Leave(context.Background(), "i-unknown", 0)
	must.Eq(t, r.clock.Now().UnixMilli(), startedAt)

	met := newRig(t) // knows the instance from a health check alone
	met.awaitState("open")
	startedAt, _ = met.proxy.Leave(context.Background(), "i-1", 0)
	must.Eq(t, met.clock.Now().UnixMilli(), startedAt)
	must.Eq(t, "gone", met.proxy.Dump(context.Background()).State())
}

// TestDeparture_HoldsWhateverComesAfterIt has an instance leave in each way, its node
// start again or not, and messages from before arrive in each order. Once its leaving is
// acknowledged it must get nothing, whatever its health check says.
func TestDeparture_HoldsWhateverComesAfterIt(t *testing.T) {
	const startedAt = 1000
	leave := map[string]func(r *rig) int64{
		"draining": func(r *rig) int64 {
			must.True(r.t, r.announce(announcement("i-1", startedAt, 5).WithDraining(true)))
			return startedAt
		},
		"leave": func(r *rig) int64 {
			recorded, ok := r.proxy.Leave(context.Background(), "i-1", 0)
			must.True(r.t, ok)
			return recorded
		},
		"leave with start": func(r *rig) int64 {
			recorded, ok := r.proxy.Leave(context.Background(), "i-1", startedAt)
			must.True(r.t, ok)
			return recorded
		},
	}
	after := map[string]func(r *rig){
		"nothing":           func(*rig) {},
		"delayed heartbeat": func(r *rig) { r.announce(announcement("i-1", startedAt, 4)) },
		"later heartbeat":   func(r *rig) { r.announce(announcement("i-1", startedAt, 9)) },
		"heartbeat after a health check": func(r *rig) {
			r.run(300 * time.Millisecond)
			r.announce(announcement("i-1", startedAt, 4))
		},
		"a second leave": func(r *rig) {
			r.proxy.Leave(context.Background(), "i-1", 0)
			r.announce(announcement("i-1", startedAt, 4))
		},
	}
	for leaveName, leaving := range leave {
		for afterName, following := range after {
			for _, restart := range []bool{false, true} {
				for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
					t.Run(fmt.Sprint(leaveName, ", ", afterName, ", restart ", restart, ", health ", status), func(t *testing.T) {
						t.Parallel()
						r := newRig(t)
						must.True(t, r.announce(announcement("i-1", startedAt, 3)))
						r.awaitState("open")
						recorded := leaving(r)
						if restart {
							r = newRig(t)
						}
						r.setHealth(healthOf("i-1", status, ""))
						if restart {
							r.proxy.RecordDeparture("i-1", recorded)
						}
						following(r)
						r.run(500 * time.Millisecond) // several health checks
						must.Eq(t, upstream.Refused, (<-r.reserve(1, 0)).Kind())
					})
				}
			}
		}
	}
}
