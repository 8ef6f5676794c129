package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/document"
	"savorygap.example/lib/store"
	"savorygap.example/lib/store/storetest"
	"savorygap.example/lib/wire"
)

const eventually = 10 * time.Second

func start(t *testing.T) (*storetest.Server, *store.Client, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := storetest.New(clockwork.NewRealClock())
	go s.Run(ctx)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	return s, store.NewHTTP(server.Client(), server.URL), ctx
}

func TestSwapMovesOnlyFromTheExpectedVersion(t *testing.T) {
	_, c, ctx := start(t)
	e, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("one")))
	must.NoError(t, err)
	must.Eq(t, store.Version(1), e.Version())
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("two")))
	var moved *store.ConflictError
	must.True(t, errors.As(err, &moved))
	must.Eq(t, store.Version(1), moved.Actual())
}

func TestLostAnswerIsAmbiguousAndTheWriteTookEffect(t *testing.T) {
	s, c, ctx := start(t)
	s.SetFaults(storetest.NewFaults().WithDroppedReplies(1))
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("one")))
	var ambiguous *store.AmbiguousError
	must.True(t, errors.As(err, &ambiguous))
	e, err := c.Get(ctx, "k")
	must.NoError(t, err)
	must.Eq(t, "one", string(e.Value()))
	must.Eq(t, 1, s.CallCounts()[store.CallCompareAndSwap], must.Sprint("the write was sent once"))
}

func TestDownStoreIsUnavailable(t *testing.T) {
	s, c, ctx := start(t)
	s.SetFaults(storetest.NewFaults().WithUnavailable(true))
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", nil))
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
	var ambiguous *store.AmbiguousError
	must.False(t, errors.As(err, &ambiguous))
}

func TestLapsedLeaseTakesItsKeys(t *testing.T) {
	s, c, ctx := start(t)
	id, err := c.Grant(ctx, time.Minute)
	must.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("v")).WithLease(id))
	must.NoError(t, err)
	must.NoError(t, c.Renew(ctx, id))
	s.SetFaults(storetest.NewFaults().WithExpiredLeases())
	var lapsed *store.LeaseExpiredError
	must.True(t, errors.As(c.Renew(ctx, id), &lapsed))
	entries, err := c.List(ctx, "")
	must.NoError(t, err)
	must.Len(t, 0, entries)
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("stale")).WithExpectedVersion(1))
	var moved *store.ConflictError
	must.True(t, errors.As(err, &moved))
}

func TestWatchReturnsOnAChange(t *testing.T) {
	_, c, ctx := start(t)
	got := make(chan store.Entry, 1)
	go func() {
		e, _ := c.Watch(ctx, "k", 0, eventually)
		got <- e
	}()
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("v")))
	must.NoError(t, err)
	must.Eq(t, "v", string((<-got).Value()))
}

func TestPacedCallsWaitForTheirBudget(t *testing.T) {
	_, c, ctx := start(t)
	clock := clockwork.NewFakeClock()
	paced := store.WithRateLimit(c, store.NewRateLimits(1, 1, 2), clock)
	for range 2 {
		_, err := paced.Get(ctx, "k")
		must.NoError(t, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := paced.Get(ctx, "k")
		done <- err
	}()
	must.NoError(t, clock.BlockUntilContext(ctx, 1))
	select {
	case err := <-done:
		t.Fatalf("a call above the budget did not wait: %v", err)
	default:
	}
	clock.Advance(time.Second)
	must.NoError(t, <-done)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err := paced.Get(cancelled, "k")
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// The follower delivers each document, survives an outage of the store, and
// writes its contact entry again after the lease lapsed.
func TestFollowerSurvivesOutageAndLapse(t *testing.T) {
	s, c, ctx := start(t)
	documents := make(chan *document.Document, 64)
	failures := make(chan error, 64)
	hooks := store.NewWatcherHooks(
		func(d *document.Document) { documents <- d },
		func([]store.ContactForm) {},
		func(_ string, err error) {
			select {
			case failures <- err:
			default:
			}
		})
	f := store.NewWatcher(c, clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), store.ContactForm{Name: "host-a", Control: "127.0.0.1:2"}, "dc", hooks)
	ended := make(chan struct{})
	running, stop := context.WithCancel(ctx)
	go func() { defer close(ended); f.Run(running) }()
	f.SetDuty(true, true, true)
	must.Eq(t, document.Revision(0), (<-documents).Revision())
	s.SetFaults(storetest.NewFaults().WithUnavailable(true))
	must.Error(t, <-failures)
	s.SetFaults(storetest.NewFaults())
	next, err := document.Empty().Apply(document.NewChange("op", "a", time.Unix(1, 0), []document.Resource{
		document.DataCentreResource(document.NewDataCentre("dc", "r", false)),
	}, nil))
	must.NoError(t, err)
	value, err := wire.EncodeDocument(next)
	must.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, store.NewWrite(store.ConfigurationKey, value))
	must.NoError(t, err)
	for d := range documents {
		if d.Revision() == 1 {
			break
		}
	}
	awaitContact(ctx, t, c, 1)
	s.SetFaults(storetest.NewFaults().WithExpiredLeases())
	awaitContact(ctx, t, c, 0)
	f.SetDuty(true, true, true)
	awaitContact(ctx, t, c, 1)
	stop()
	<-ended
	awaitContact(ctx, t, c, 0)
}

func awaitContact(ctx context.Context, t *testing.T, c *store.Client, want int) {
	t.Helper()
	for until := time.Now().Add(eventually); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if entries, err := c.List(ctx, store.ContactPrefix); err == nil && len(entries) == want {
			return
		}
	}
	t.Fatalf("there are never %d contact entries", want)
}

func TestAnswersThatAreNotJSONAreErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }))
	defer server.Close()
	_, err := store.NewHTTP(server.Client(), server.URL).Get(context.Background(), "k")
	must.Error(t, err)
}
