package store_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/document"
	"savorygap.example/lib/store"
	"savorygap.example/lib/store/storetest"
	"savorygap.example/lib/wire"
)

const timeout = 10 * time.Second

func newStore(t *testing.T) (*storetest.Server, *store.Client, context.Context) {
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

func TestCompareAndSwap_FailsAtOtherVersion(t *testing.T) {
	_, c, ctx := newStore(t)
	e, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("one")))
	must.NoError(t, err)
	must.Eq(t, store.Version(1), e.Version())
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("two")))
	var conflict *store.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, store.Version(1), conflict.Actual())
}

func TestLostReply_IsAmbiguousAndWriteIsSentOnce(t *testing.T) {
	s, c, ctx := newStore(t)
	s.SetFaults(storetest.NewFaults().WithDroppedReplies(1))
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("one")))
	var ambiguous *store.AmbiguousError
	must.True(t, errors.As(err, &ambiguous))
	e, err := c.Get(ctx, "k")
	must.NoError(t, err)
	must.Eq(t, "one", string(e.Value()))
	must.Eq(t, 1, s.CallCounts()[store.CallCompareAndSwap], must.Sprint("number of writes sent"))
}

func TestUnavailableStore_IsNotAmbiguous(t *testing.T) {
	s, c, ctx := newStore(t)
	s.SetFaults(storetest.NewFaults().WithUnavailable(true))
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", nil))
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
	var ambiguous *store.AmbiguousError
	must.False(t, errors.As(err, &ambiguous))
}

func TestExpiredLease_RemovesItsKeys(t *testing.T) {
	s, c, ctx := newStore(t)
	id, err := c.Grant(ctx, time.Minute)
	must.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("v")).WithLease(id))
	must.NoError(t, err)
	must.NoError(t, c.Renew(ctx, id))
	s.SetFaults(storetest.NewFaults().WithExpiredLeases())
	var expired *store.LeaseExpiredError
	must.True(t, errors.As(c.Renew(ctx, id), &expired))
	entries, err := c.List(ctx, "")
	must.NoError(t, err)
	must.Len(t, 0, entries)
	_, err = c.CompareAndSwap(ctx, store.NewWrite("k", []byte("stale")).WithExpectedVersion(1))
	var conflict *store.ConflictError
	must.True(t, errors.As(err, &conflict))
}

func TestWatch_ReturnsOnChange(t *testing.T) {
	_, c, ctx := newStore(t)
	got := make(chan store.Entry, 1)
	go func() {
		e, _ := c.Watch(ctx, "k", 0, timeout)
		got <- e
	}()
	_, err := c.CompareAndSwap(ctx, store.NewWrite("k", []byte("v")))
	must.NoError(t, err)
	must.Eq(t, "v", string((<-got).Value()))
}

func TestRateLimit_DelaysCalls(t *testing.T) {
	_, c, ctx := newStore(t)
	clock := clockwork.NewFakeClock()
	limited := store.WithRateLimit(c, store.NewRateLimits(1, 1, 2), clock)
	for range 2 {
		_, err := limited.Get(ctx, "k")
		must.NoError(t, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := limited.Get(ctx, "k")
		done <- err
	}()
	must.NoError(t, clock.BlockUntilContext(ctx, 1))
	select {
	case err := <-done:
		t.Fatalf("call above the rate limit: got result %v without waiting, want a delay", err)
	default:
	}
	clock.Advance(time.Second)
	must.NoError(t, <-done)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err := limited.Get(cancelled, "k")
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// After an outage of the store or the loss of its lease, a watcher that stopped
// would leave the node with an old configuration or without a contact entry.
func TestWatcher_RecoversFromOutageAndExpiredLease(t *testing.T) {
	s, c, ctx := newStore(t)
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
	watcher := store.NewWatcher(c, clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), store.ContactForm{Name: "host-a", Control: "127.0.0.1:2"}, "dc", hooks)
	stopped := make(chan struct{})
	watcherCtx, stop := context.WithCancel(ctx)
	go func() { defer close(stopped); watcher.Run(watcherCtx) }()
	watcher.SetRole(true, true, true)
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
	awaitContactCount(ctx, t, c, 1)
	s.SetFaults(storetest.NewFaults().WithExpiredLeases())
	awaitContactCount(ctx, t, c, 0)
	watcher.SetRole(true, true, true)
	awaitContactCount(ctx, t, c, 1)
	stop()
	<-stopped
	awaitContactCount(ctx, t, c, 0)
}

func awaitContactCount(ctx context.Context, t *testing.T, c *store.Client, want int) {
	t.Helper()
	var entries []store.Entry
	var err error
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if entries, err = c.List(ctx, store.ContactPrefix); err == nil && len(entries) == want {
			return
		}
	}
	t.Fatalf("contact entries after %v: got %d (error %v), want %d", timeout, len(entries), err, want)
}

func TestResponse_OtherThanJSONIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }))
	defer server.Close()
	_, err := store.NewHTTP(server.Client(), server.URL).Get(context.Background(), "k")
	must.Error(t, err)
}

// statusTransport answers every call with a status and an empty object.
type statusTransport int

// RoundTrip implements http.RoundTripper.
func (s statusTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}")), Request: r}, nil
}

// TestStatusBelow200_IsNoSuccess guards against a lease that counts as renewed, and a key as read,
// because of a status that is no final response: net/http passes on 000 to 099 and 101.
func TestStatusBelow200_IsNoSuccess(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 199, 300, 600, 999} {
		c := store.NewHTTP(&http.Client{Transport: statusTransport(status)}, "http://store")
		must.Error(t, c.Renew(context.Background(), "lease"), must.Sprint(status))
		_, err := c.Get(context.Background(), "k")
		must.Error(t, err, must.Sprint(status))
	}
	must.NoError(t, store.NewHTTP(&http.Client{Transport: statusTransport(http.StatusOK)}, "http://store").Renew(context.Background(), "lease"))
}

// startRawService starts a service that answers each request with text and closes its
// connection. It returns a client for it.
func startRawService(t *testing.T, text string) *store.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return store.NewHTTP(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, server.URL)
}

// TestInvalidFieldName_IsNoSuccess guards against a lease that counts as renewed, and a write as made,
// because of a reply that is not HTTP: net/http passes on names that hold a space.
func TestInvalidFieldName_IsNoSuccess(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for _, rest := range []string{"X Note: a\r\nContent-Length: 2\r\n\r\n{}", "Content-Length : 90\r\n\r\n{}", chunks + "X Note: a\r\n\r\n"} {
		c := startRawService(t, "HTTP/1.1 200 OK\r\n"+rest)
		must.Error(t, c.Renew(context.Background(), "lease"), must.Sprintf("%q", rest))
		_, err := c.CompareAndSwap(context.Background(), store.NewWrite("k", nil))
		var ambiguous *store.AmbiguousError
		must.True(t, errors.As(err, &ambiguous), must.Sprintf("%q: %v", rest, err))
	}
	c := startRawService(t, "HTTP/1.1 200 OK\r\n"+chunks+"X-Note: a\r\n\r\n")
	must.NoError(t, c.Renew(context.Background(), "lease"))
}
