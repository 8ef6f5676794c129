package serverproxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

func orderFingerprint(id string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(upstream.NewRequest(id, http.MethodPost, "/order/1", "farm", http.Header{}, []byte("x")))
}

// TestEnd_ReportsWhatTheServerWasAtWorkOn guards against a request that ends its servers
// unnoticed: connections are lost, and the server then refuses new ones.
func TestEnd_ReportsWhatTheServerWasAtWorkOn(t *testing.T) {
	r := newOpenRig(t)
	for n := range uint64(3) {
		r.mustOffer(n + 1)
		r.submit(n+1, "id", time.Hour)
		<-r.server.requests
	}
	r.server.refuse.Store(true)
	for range 3 {
		r.server.answers <- closeConnection
	}
	r.awaitState("checking")
	got := map[quarantine.Fingerprint]int{}
	for len(r.ended) > 0 {
		for _, f := range <-r.ended {
			got[f]++
		}
	}
	must.MapEq(t, map[quarantine.Fingerprint]int{orderFingerprint("id"): 3}, got)
}

// TestEnd_SingleLostConnectionIsNone has a server close a connection and live on.
func TestEnd_SingleLostConnectionIsNone(t *testing.T) {
	r := newOpenRig(t)
	events := r.mustOffer(1)
	r.submit(1, "id", time.Hour)
	<-r.server.requests
	r.server.answers <- closeConnection
	must.Eq(t, upstream.Lost, (<-events).Kind())
	must.Eq(t, upstream.Unknown, (<-events).Kind())
	r.run(2 * time.Second)
	must.Eq(t, 0, len(r.ended))
	must.Eq(t, "open", r.proxy.Dump(t.Context()).State())
}

// TestEnd_LostRequestEndsOnceAllNodesKnow guards against a request that is sent to the next
// server before its sender, and the senders of the same request at other nodes, know that
// the first one has ended under it.
func TestEnd_LostRequestEndsOnceAllNodesKnow(t *testing.T) {
	r := newOpenRig(t)
	events := r.mustOffer(1)
	r.submit(1, "id", time.Hour)
	<-r.server.requests
	r.server.refuse.Store(true)
	r.server.answers <- closeConnection
	must.Eq(t, upstream.Lost, (<-events).Kind())
	must.Eq(t, []quarantine.Fingerprint{orderFingerprint("id")}, <-r.ended)
	r.run(200 * time.Millisecond)
	must.Eq(t, 0, len(events))
	(<-r.told)()
	end := <-events
	must.Eq(t, upstream.Unknown, end.Kind())
	must.True(t, end.HasVerdict())
}

// TestEnd_LostRequestEndsAtOnceIfTheServerLives guards against retries that are late for
// want of a verdict: the server closes connections and lives on, and answers no health
// check. The clock stands still.
func TestEnd_LostRequestEndsAtOnceIfTheServerLives(t *testing.T) {
	r := newOpenRig(t)
	<-r.server.health
	for n := range uint64(3) {
		events := r.mustOffer(n + 1)
		r.submit(n+1, "id", time.Hour)
		<-r.server.requests
		r.server.answers <- closeConnection
		must.Eq(t, upstream.Lost, (<-events).Kind())
		end := <-events
		must.Eq(t, upstream.Unknown, end.Kind())
		must.True(t, end.HasVerdict())
	}
	must.Eq(t, 0, len(r.ended))
}
