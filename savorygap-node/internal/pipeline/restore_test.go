package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/platform/platformtest"
)

const newerRoute = `,{"Name":"newer","PathPrefix":"/newer/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2}`

// restore makes the store unavailable for a moment and returns it to an earlier state.
// reissued is the number of changes that it makes afterwards, before a node can call it:
// they get revisions that other changes had before.
func (cl *cluster) restore(earlier platformtest.Copy, reissued int) {
	cl.store.SetUnavailable(true)
	time.Sleep(300 * time.Millisecond)
	cl.store.Restore(earlier)
	for n := range reissued {
		cl.store.Put(fmt.Sprint("other/", n), nil)
	}
	cl.store.SetUnavailable(false)
}

// storeRelay passes connections on to the store until it is cut.
type storeRelay struct {
	listener net.Listener
	cut      context.Context
}

// relayStore has hosts that are added from now on reach the store over a relay, and
// returns a function that cuts it.
func (cl *cluster) relayStore(t *testing.T) func() {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cut := context.WithCancel(context.Background())
	relay := &storeRelay{listener: listener, cut: ctx}
	direct := cl.address
	cl.address = listener.Addr().String()
	go relay.run(direct)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	t.Cleanup(cut)
	return func() {
		cl.address = direct
		cut()
	}
}

func (r *storeRelay) run(store string) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", store)
		if err != nil {
			_ = conn.Close()
			continue
		}
		context.AfterFunc(r.cut, func() { _, _ = conn.Close(), onward.Close() })
		go func() { _, _ = io.Copy(onward, conn) }()
		go func() { _, _ = io.Copy(conn, onward) }()
	}
}

func (h *host) serves(path string) bool {
	r, err := h.send(context.Background(), http.MethodGet, path, "id", "")
	return err == nil && r.status == http.StatusOK
}

// TestRestoredStore_ConfigurationNeverReverts guards against nodes that return to the
// configuration of the copy, and against nodes that ignore the one that operators write
// again, since its revision was issued before.
func TestRestoredStore_ConfigurationNeverReverts(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	earlier := cl.store.Copy()
	for n := range 20 {
		cl.store.Put(fmt.Sprint("other/", n), nil)
	}
	cl.store.Put("op/config", configuration(4, newRoute))
	for _, h := range []*host{a, b} {
		eventually(t, 3*time.Second, func() bool { return h.serves("/new/1") })
	}
	cl.restore(earlier, 0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		must.True(t, a.serves("/new/1"))
		must.True(t, b.serves("/new/1"))
	}
	// A node that starts now finds the older configuration only; its peers have the newer.
	c := cl.addHost(t, "shop", 0)
	eventually(t, 2*time.Second, func() bool { return c.serves("/new/1") })
	cl.store.Put("op/config", configuration(4, newRoute))
	cl.store.Put("op/config", configuration(5, newRoute+newerRoute))
	for _, h := range cl.hosts {
		eventually(t, 2500*time.Millisecond, func() bool { return h.serves("/newer/1") })
	}
}

// TestRestoredStore_EvacuationStaysInForce guards against an evacuation that ends because
// the restored store does not list it, also on a node that learns of the restore from its
// peers only, and on one that starts while the store lacks it. The revision of the store
// is above that of the evacuation again when the nodes read it.
func TestRestoredStore_EvacuationStaysInForce(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	cut := cl.relayStore(t)
	c := cl.addHost(t, "shop", 0)
	earlier := cl.store.Copy()
	cl.store.Put("op/evacuate/north", []byte("{}"))
	cl.awaitAccepting(t, b, "shop", false)
	cl.awaitAccepting(t, c, "shop", false)
	cut()
	cl.restore(earlier, 20)
	cl.store.CompactHistory()
	for range 10 {
		b.mustNotUse(t, a, b, c)
		c.mustNotUse(t, a, c)
		time.Sleep(200 * time.Millisecond)
	}
	b.restart(t)
	cl.awaitAccepting(t, c, "shop", false)
	time.Sleep(500 * time.Millisecond)
	b.mustNotUse(t, a, b, c)
	cl.store.Put("op/evacuate/north", []byte("{}"))
	time.Sleep(1500 * time.Millisecond)
	b.mustNotUse(t, a, b, c)
	cl.store.Remove("op/evacuate/north")
	for _, h := range []*host{a, b, c} {
		eventually(t, 3*time.Second, func() bool { return h.serves("/read/1") })
	}
}

// TestRestoredStore_EntriesAreWrittenAgain guards against a node that the store lists no
// more, so that a node that starts later does not find it.
func TestRestoredStore_EntriesAreWrittenAgain(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "till", 0)
	earlier := cl.store.Copy()
	b := cl.addHost(t, "shop", 0)
	must.Eq(t, 2, len(cl.store.Keys("savorygap/member/")))
	cl.restore(earlier, 20)
	must.Eq(t, 1, len(cl.store.Keys("savorygap/member/")))
	eventually(t, 3*time.Second, func() bool {
		must.True(t, a.serves("/read/1"))
		return len(cl.store.Keys("savorygap/member/")) == 2
	})
	a.kill()
	a.start(t)
	cl.awaitAccepting(t, b, "shop", true)
}

// TestRestoredStore_DepartureIsKept guards against requests to a server whose departure
// was acknowledged and lost by the store, after all nodes that knew of it have restarted.
func TestRestoredStore_DepartureIsKept(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	earlier := cl.store.Copy()
	b.announce(t, "draining")
	must.Eq(t, 1, len(cl.store.Keys("savorygap/departure/")))
	// The process that recorded the departure ends, so that its successor has to keep it.
	b.restart(t)
	cl.restore(earlier, 20)
	must.Eq(t, 0, len(cl.store.Keys("savorygap/departure/")))
	eventually(t, 3*time.Second, func() bool { return len(cl.store.Keys("savorygap/departure/")) == 1 })
	a.kill()
	b.kill()
	a.start(t)
	b.start(t)
	eventually(t, 10*time.Second, func() bool { ready, _ := b.process.Ready(); return ready })
	time.Sleep(500 * time.Millisecond)
	b.mustNotUse(t, a, b)
}
