package operator_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/certs/certstest"
	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
	"savorygap.example/lib/store"
	"savorygap.example/lib/store/standin"
)

// site is a node's resource API over a stand-in store.
type site struct {
	store   *standin.Server
	service *operator.Service
	current atomic.Pointer[document.Document]
	url     string
	ring    func(role certs.Role) *certs.Credentials
}

func start(t *testing.T) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewRealClock()
	s := &site{store: standin.New(clock)}
	go s.store.Run(ctx)
	backend := httptest.NewServer(s.store.Handler())
	s.service = operator.NewService(store.NewHTTP(backend.Client(), backend.URL), clock, func(d *document.Document) { s.current.Store(d) })
	s.current.Store(document.Empty())
	api := operator.NewAPI(s.service, clock, func(context.Context) *document.Document { return s.current.Load() },
		func(context.Context) operator.StatusForm {
			return operator.StatusForm{Revision: 1, Nodes: 1, UpToDate: 1}
		},
		func(string, string, document.Revision, error) {})
	go api.Run(ctx)
	authority := certstest.Authority(t)
	s.ring = func(role certs.Role) *certs.Credentials {
		return certstest.Credentials(t, authority, "holder-"+string(role), role)
	}
	front := httptest.NewUnstartedServer(api.Handler())
	front.TLS = certstest.Credentials(t, authority, "host-a", certs.RoleNode).ServerConfig([]certs.Role{certs.RoleOperate, certs.RoleRead}, "http/1.1")
	front.StartTLS()
	s.url = front.URL
	t.Cleanup(func() { cancel(); front.Close(); backend.CloseClientConnections(); backend.Close() })
	return s
}

func (s *site) client(role certs.Role) (*operator.Client, *http.Client) {
	config := s.ring(role).ClientConfig("host-a", "http/1.1")
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4}}
	return operator.NewClient(s.url, h), h
}

func out(name string, isOut bool) document.Resource {
	return document.DataCentreResource(document.NewDataCentre(name, "r", isOut))
}

func change(id string, puts ...document.Resource) document.Change {
	return document.NewChange(id, "", time.Unix(1, 0), puts, nil)
}

// The write took effect and its answer was lost: it is found by its operation
// id, and is there once.
func TestLostAnswerIsSettledByOperationID(t *testing.T) {
	s := start(t)
	s.store.Inject(standin.Faults().LoseAnswers(1))
	d, err := s.service.Apply(context.Background(), change("op-1", out("a", false)), false)
	must.NoError(t, err)
	must.Eq(t, document.Revision(1), d.Revision())
	must.Len(t, 1, d.Operations())
}

// The store takes the write, loses the answer and goes down: the operator is
// told that the outcome is not known, and sending the change again is safe.
func TestUnsettledChangeCanBeSentAgain(t *testing.T) {
	s := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	s.store.Inject(standin.Faults().LoseAnswers(1))
	downAfterWrite := make(chan struct{})
	go func() {
		defer close(downAfterWrite)
		for s.store.Counts()[store.CallSwap] == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		s.store.Inject(standin.Faults().Down(true))
	}()
	_, err := s.service.Apply(ctx, change("op-1", out("a", false)), false)
	<-downAfterWrite
	var unsettled *operator.UnknownOutcomeError
	if err != nil {
		must.True(t, errors.As(err, &unsettled))
	}
	s.store.Inject(standin.Faults())
	d, err := s.service.Apply(context.Background(), change("op-1", out("a", false)), false)
	must.NoError(t, err)
	must.Eq(t, document.Revision(1), d.Revision())
}

func TestRacingOperators(t *testing.T) {
	s := start(t)
	const operators = 8
	results := make(chan error, operators)
	for i := range operators {
		go func() {
			_, err := s.service.Apply(context.Background(), change(fmt.Sprint(i), out("a", i%2 == 0)).WithExpectedRevision(0), false)
			results <- err
		}()
	}
	won := 0
	for range operators {
		err := <-results
		var conflict *document.ConflictError
		if err == nil {
			won++
			continue
		}
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, document.Revision(1), conflict.Actual())
	}
	must.Eq(t, 1, won)
}

func TestDownStoreRefusesChangesClearly(t *testing.T) {
	s := start(t)
	s.store.Inject(standin.Faults().Down(true))
	c, _ := s.client(certs.RoleOperate)
	_, err := c.Apply(context.Background(), change("op", out("a", false)), nil, false)
	var answer *operator.ResponseError
	must.True(t, errors.As(err, &answer))
	must.Eq(t, http.StatusServiceUnavailable, answer.Status())
	must.Eq(t, "store-unavailable", answer.Problem().Code)
}

func TestAPI(t *testing.T) {
	s := start(t)
	ctx := context.Background()
	c, _ := s.client(certs.RoleOperate)
	result, err := c.Apply(ctx, change("op-1", out("a", false)), nil, true)
	must.NoError(t, err)
	must.True(t, result.DryRun)
	must.Eq(t, 0, s.store.Counts()[store.CallSwap])
	result, err = c.Apply(ctx, change("op-1", out("a", false), out("b", false)), nil, false)
	must.NoError(t, err)
	must.Eq(t, 1, result.Revision)
	_, list, err := c.List(ctx, "datacentre")
	must.NoError(t, err)
	must.Len(t, 2, list)

	stale := uint64(0)
	_, err = c.Apply(ctx, change("op-2", out("a", true)), &stale, false)
	var answer *operator.ResponseError
	must.True(t, errors.As(err, &answer))
	must.Eq(t, http.StatusConflict, answer.Status())
	must.Eq(t, 1, answer.Problem().Actual)
	must.Eq(t, "out", answer.Problem().Differing[0].Field)

	_, err = c.Apply(ctx, change("op-3", document.ServiceResource(document.NewService("s", "none", "/s/"))), nil, false)
	must.True(t, errors.As(err, &answer))
	must.Eq(t, "branch", answer.Problem().Field)
	_, err = c.Get(ctx, document.NewKey(document.KindBranch, "none"))
	must.True(t, errors.As(err, &answer))
	must.Eq(t, http.StatusNotFound, answer.Status())
	audit, err := c.Audit(ctx)
	must.NoError(t, err)
	must.Eq(t, "holder-operate", audit.Operations[0].Author)
}

func TestRolesAndRates(t *testing.T) {
	s := start(t)
	ctx := context.Background()
	reader, _ := s.client(certs.RoleRead)
	_, _, err := reader.List(ctx, "")
	must.NoError(t, err)
	_, err = reader.Apply(ctx, change("op", out("a", false)), nil, false)
	var answer *operator.ResponseError
	must.True(t, errors.As(err, &answer))
	must.Eq(t, http.StatusForbidden, answer.Status())
	limited := 0
	for range 200 {
		if _, _, err := reader.List(ctx, ""); errors.As(err, &answer) && answer.Status() == http.StatusTooManyRequests {
			limited++
		}
	}
	must.Greater(t, 50, limited)
	anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err = anonymous.Get(s.url + "/v1/resources")
	must.Error(t, err)
}

func TestConditionalWritesByHeader(t *testing.T) {
	s := start(t)
	_, h := s.client(certs.RoleOperate)
	put := func(match string) int {
		request, err := http.NewRequest(http.MethodPut, s.url+"/v1/resources/datacentre/a", httpBody(`{"kind":"datacentre","name":"a","region":"r"}`))
		must.NoError(t, err)
		request.Header.Set("If-Match", match)
		request.Header.Set("Idempotency-Key", "id"+match)
		response, err := h.Do(request)
		must.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	must.Eq(t, http.StatusOK, put(`"0"`))
	must.Eq(t, http.StatusConflict, put(`"7"`))
	must.Eq(t, http.StatusOK, put(`"1"`))
	must.Eq(t, http.StatusBadRequest, put(`"x"`))
}

func TestWatchResumes(t *testing.T) {
	s := start(t)
	ctx := context.Background()
	c, _ := s.client(certs.RoleOperate)
	for i := range 3 {
		_, err := c.Apply(ctx, change(fmt.Sprint(i), out("a", i%2 == 0)), nil, false)
		must.NoError(t, err)
	}
	var events []operator.EventForm
	must.NoError(t, c.Watch(ctx, 1, func(e operator.EventForm) bool {
		events = append(events, e)
		return false
	}))
	must.Eq(t, 3, events[0].Revision)
	must.Len(t, 2, events[0].Operations)
}

func httpBody(text string) *strings.Reader { return strings.NewReader(text) }
