package link_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/upstream"
)

// TestHedgeAndBusyServerAreKnownAcrossALink guards against a hedge that the node beside
// the server takes for a first send, and against a busy server that counts as free.
func TestHedgeAndBusyServerAreKnownAcrossALink(t *testing.T) {
	a, b, _ := pair(t)
	for number, hedge := range []bool{false, true} {
		events := make(chan upstream.Event, upstream.MaxEvents)
		a.link.Endpoint().Reserve(uint64(number), upstream.NewSlotRequest("shop", 1), events)
		r := <-b.slotRequests
		r.reply(upstream.NewEvent(upstream.Offered, uint64(number)).WithBusy(hedge))
		must.Eq(t, hedge, (<-events).IsBusy())
		request := upstream.NewRequest("id", "GET", "/", "h", http.Header{}, nil).WithDeadline(time.Now().Add(time.Second))
		if hedge {
			request = request.AsHedge()
		}
		a.link.Endpoint().Submit(uint64(number), request)
		must.Eq(t, hedge, (<-b.submitted).IsHedge())
	}
}
