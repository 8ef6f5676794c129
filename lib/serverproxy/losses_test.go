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
	must.Eq(t, upstream.Unknown, (<-events).Kind())
	r.run(2 * time.Second)
	must.Eq(t, 0, len(r.ended))
	must.Eq(t, "open", r.proxy.Dump(t.Context()).State())
}
