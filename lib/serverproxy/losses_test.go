package serverproxy_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/serverproxy"
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
	timeout := time.After(10 * time.Second)
	// The state changes with the first lost connection, the report comes with the last.
	for reported := 0; reported < 3; {
		select {
		case fingerprints := <-r.ended:
			reported += len(fingerprints)
			for _, f := range fingerprints {
				got[f]++
			}
		case <-timeout:
			t.Fatalf("%d of 3 requests were reported", reported)
		}
	}
	r.run(2 * time.Second)
	must.Eq(t, 0, len(r.ended))
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

// TestEnd_ProbeStaysWithinTheConnectionLimit guards against a server that is sent more
// connections than it accepts, since it is probed while all slots are in use: the slot of the
// lost request is kept until the probe is over.
func TestEnd_ProbeStaysWithinTheConnectionLimit(t *testing.T) {
	var r *rig
	ready, blocked := make(chan struct{}), make(chan struct{})
	var blocking atomic.Bool
	r = newRigWith(t, func(c serverproxy.Config) serverproxy.Config {
		return c.WithDial(func(context.Context, string) (*httpclient.Conn, error) {
			<-ready
			if blocking.Load() {
				<-blocked
			}
			near, far := net.Pipe()
			go r.server.serve(far)
			return httpclient.NewConn(near, upstream.NewBodyMemory(1<<20)), nil
		})
	})
	close(ready)
	// One connection is for health checks.
	services := []routeconfig.Service{routeconfig.NewService("shop", "/healthz", 6)}
	r.proxy.SetSnapshot(serverproxy.NewSnapshot(routeconfig.New(2, nil, services, routeconfig.DefaultLimits()), false, 2))
	must.True(t, r.announce(announcement("i-1", 1, 1)))
	r.awaitState("open")
	events := r.mustOffer(1)
	r.submit(1, "id", time.Hour)
	<-r.server.requests
	blocking.Store(true)
	r.server.answers <- closeConnection
	must.Eq(t, upstream.Lost, (<-events).Kind())
	number := uint64(1)
	offers := func() (offered int) {
		for {
			number++
			if (<-r.reserve(number, 0)).Kind() != upstream.Offered {
				return offered
			}
			offered++
		}
	}
	must.Positive(t, offers())
	blocking.Store(false)
	close(blocked)
	must.Eq(t, upstream.Unknown, (<-events).Kind())
	must.Eq(t, 1, offers())
}

// TestEnd_IsOneReport guards against requests under which a server has ended that are
// reported apart: those whose connections are lost last are not seen beside the first then.
func TestEnd_IsOneReport(t *testing.T) {
	r := newOpenRig(t)
	first, second := r.mustOffer(1), r.mustOffer(2)
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	r.submit(2, "id-2", time.Hour)
	<-r.server.requests
	r.server.refuse.Store(true)
	r.server.answers <- closeConnection
	for len(first)+len(second) == 0 {
		r.settle()
	}
	r.run(tick)
	must.Eq(t, 0, len(r.ended))
	r.server.answers <- closeConnection
	must.Len(t, 2, <-r.ended)
	must.Eq(t, 0, len(r.ended))
}
