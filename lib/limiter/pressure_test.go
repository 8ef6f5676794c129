package limiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
)

// TestPressure_CountsWhatFoundNoRoomInTime has a full server. It guards against pressure
// from requests that went elsewhere, that may not wait, that are no more urgent, or that only
// want a faster server, and against pressure that outlasts its cause.
func TestPressure_CountsWhatFoundNoRoomInTime(t *testing.T) {
	l := limiter.New(1)
	l.TrackPressure()
	startRequests(l, 0, 1)
	for n := range 5 {
		must.Eq(t, limiter.Queued, l.Reserve(at(n), key(10+n), limiter.NewRequest(1, false, 50*time.Millisecond)).Status())
		l.Withdraw(key(10 + n))
	}
	for n := range 10 {
		l.Reserve(at(10), key(20+n), limiter.NewRequest(1, false, 0))
	}
	l.Advance(at(100))
	must.Eq(t, 0, l.Pressure(at(100), 2))
	for n := range 15 {
		l.Reserve(at(100), key(40+n), limiter.NewRequest(1, false, 50*time.Millisecond))
	}
	must.Eq(t, 15, len(l.Advance(at(150))))
	must.Eq(t, 15.0/21, l.Pressure(at(160), 2))
	must.Eq(t, 0, l.Pressure(at(160), 1))
	must.Eq(t, 0, l.Pressure(at(160), 0))
	must.Eq(t, 0, l.Pressure(at(1300), 2))
}

// TestPressure_SlowServerIsNotShortOfRoom guards against pressure from requests that were
// denied since the server is slower than they want.
func TestPressure_SlowServerIsNotShortOfRoom(t *testing.T) {
	l := limiter.New(10)
	l.TrackPressure()
	l.ReportLoad(0, 4)
	for n := range 20 {
		l.Reserve(at(0), key(n), queueable(1).WithMaxSlowness(2))
	}
	must.Eq(t, 20, len(l.Advance(at(1000))))
	must.Eq(t, 0, l.Pressure(at(1000), 1))
}

// TestPressure_RareKindIsNoShortage guards against a route that is reduced because one of
// two requests of a rare kind found no room.
func TestPressure_RareKindIsNoShortage(t *testing.T) {
	l := limiter.New(1)
	l.TrackPressure()
	startRequests(l, 0, 1)
	l.Reserve(at(0), key(1), limiter.NewRequest(0, false, 50*time.Millisecond))
	must.Eq(t, 1, len(l.Advance(at(50))))
	must.Eq(t, 0.1, l.Pressure(at(50), 1))
}
