package link_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/upstream"
)

// TestResetDuringBodiesDeliversNoPart guards against a body that broke off and counts as
// whole: both ends write a long one when the connection is reset, so that a writer may
// consume the reset.
func TestResetDuringBodiesDeliversNoPart(t *testing.T) {
	broken := 0
	for range 20 {
		a, b, conns := pair(t)
		first, second := make(chan upstream.Event, upstream.MaxEvents), make(chan upstream.Event, upstream.MaxEvents)
		body := make([]byte, 8<<20)
		for number, events := range map[uint64]chan upstream.Event{1: first, 2: second} {
			a.link.Endpoint().Reserve(number, upstream.NewSlotRequest("shop", 1), events)
		}
		replies := map[uint64]func(upstream.Event){}
		for range 2 {
			r := <-b.slotRequests
			replies[r.key.Number()] = r.reply
		}
		request := upstream.NewRequest("id", "POST", "/", "h", http.Header{}, nil).WithDeadline(time.Now().Add(time.Second))
		a.link.Endpoint().Submit(1, request)
		<-b.submitted
		replies[1](upstream.NewEvent(upstream.Answered, 1).WithResponse(upstream.NewResponse(200, http.Header{}, body)))
		a.link.Endpoint().Submit(2, upstream.NewRequest("id-2", "POST", "/", "h", http.Header{}, body).WithDeadline(time.Now().Add(time.Second)))
		must.NoError(t, conns[1].(*net.TCPConn).SetLinger(0))
		must.NoError(t, conns[1].Close())
		must.Eq(t, upstream.Unknown, (<-second).Kind())
		// What had arrived before the reset may be whole.
		if e := <-first; e.Kind() != upstream.Unknown {
			must.Eq(t, upstream.Answered, e.Kind())
			must.Eq(t, len(body), len(e.Response().Body()))
		} else {
			broken++
		}
		if len(b.submitted) > 0 {
			must.Eq(t, len(body), len((<-b.submitted).Body()))
		}
	}
	must.Positive(t, broken)
}
