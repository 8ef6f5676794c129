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
	"savorygap.example/lib/store/storetest"
)

// testNode serves the resource API of a node on top of an in-memory store.
type testNode struct {
	store       *storetest.Server
	service     *operator.Service
	current     atomic.Pointer[document.Document]
	url         string
	credentials func(role certs.Role) *certs.Credentials
}

func startNode(t *testing.T) *testNode {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewRealClock()
	s := &testNode{store: storetest.New(clock)}
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
	s.credentials = func(role certs.Role) *certs.Credentials {
		return certstest.Credentials(t, authority, "holder-"+string(role), role)
	}
	apiServer := httptest.NewUnstartedServer(api.Handler())
	apiServer.TLS = certstest.Credentials(t, authority, "host-a", certs.RoleNode).ServerConfig([]certs.Role{certs.RoleOperate, certs.RoleRead}, "http/1.1")
	apiServer.StartTLS()
	s.url = apiServer.URL
	t.Cleanup(func() { cancel(); apiServer.Close(); backend.CloseClientConnections(); backend.Close() })
	return s
}

func (s *testNode) client(role certs.Role) (*operator.Client, *http.Client) {
	config := s.credentials(role).ClientConfig("host-a", "http/1.1")
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4}}
	return operator.NewClient(s.url, h), h
}

func dataCentre(name string, outOfService bool) document.Resource {
	return document.DataCentreResource(document.NewDataCentre(name, "r", outOfService))
}

func newChange(id string, puts ...document.Resource) document.Change {
	return document.NewChange(id, "", time.Unix(1, 0), puts, nil)
}

// The write takes effect but its response is lost. Apply finds the change by
// its operation id and does not make it twice.
func TestLostResponseIsResolvedByOperationID(t *testing.T) {
	s := startNode(t)
	s.store.SetFaults(storetest.NewFaults().WithDroppedReplies(1))
	d, err := s.service.Apply(context.Background(), newChange("op-1", dataCentre("a", false)), false)
	must.NoError(t, err)
	must.Eq(t, document.Revision(1), d.Revision())
	must.Len(t, 1, d.Operations())
}

// The store accepts the write, loses the response and becomes unavailable. Apply
// may only fail with UnknownOutcomeError, and sending the change again does not
// make it twice.
func TestChangeOfUnknownOutcomeCanBeSentAgain(t *testing.T) {
	s := startNode(t)
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	s.store.SetFaults(storetest.NewFaults().WithDroppedReplies(1))
	downAfterWrite := make(chan struct{})
	go func() {
		defer close(downAfterWrite)
		for s.store.CallCounts()[store.CallCompareAndSwap] == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		s.store.SetFaults(storetest.NewFaults().WithUnavailable(true))
	}()
	_, err := s.service.Apply(ctx, newChange("op-1", dataCentre("a", false)), false)
	<-downAfterWrite
	var unknownOutcome *operator.UnknownOutcomeError
	if err != nil {
		must.True(t, errors.As(err, &unknownOutcome), must.Sprintf("got error %v, want %T", err, unknownOutcome))
	}
	s.store.SetFaults(storetest.NewFaults())
	d, err := s.service.Apply(context.Background(), newChange("op-1", dataCentre("a", false)), false)
	must.NoError(t, err)
	must.Eq(t, document.Revision(1), d.Revision())
}

func TestConcurrentConditionalChanges_OneSucceeds(t *testing.T) {
	s := startNode(t)
	const operators = 8
	results := make(chan error, operators)
	for i := range operators {
		go func() {
			_, err := s.service.Apply(context.Background(), newChange(fmt.Sprint(i), dataCentre("a", i%2 == 0)).WithExpectedRevision(0), false)
			results <- err
		}()
	}
	succeeded := 0
	for range operators {
		err := <-results
		var conflict *document.ConflictError
		if err == nil {
			succeeded++
			continue
		}
		must.True(t, errors.As(err, &conflict), must.Sprintf("got error %v, want %T", err, conflict))
		must.Eq(t, document.Revision(1), conflict.Actual())
	}
	must.Eq(t, 1, succeeded)
}

func TestApply_StoreUnavailable(t *testing.T) {
	s := startNode(t)
	s.store.SetFaults(storetest.NewFaults().WithUnavailable(true))
	c, _ := s.client(certs.RoleOperate)
	_, err := c.Apply(context.Background(), newChange("op", dataCentre("a", false)), nil, false)
	var responseErr *operator.ResponseError
	must.True(t, errors.As(err, &responseErr), must.Sprintf("got error %v, want %T", err, responseErr))
	must.Eq(t, http.StatusServiceUnavailable, responseErr.Status())
	must.Eq(t, "store-unavailable", responseErr.Problem().Code)
}

func TestAPI_AppliesChangesAndReportsErrors(t *testing.T) {
	s := startNode(t)
	ctx := context.Background()
	c, _ := s.client(certs.RoleOperate)
	result, err := c.Apply(ctx, newChange("op-1", dataCentre("a", false)), nil, true)
	must.NoError(t, err)
	must.True(t, result.DryRun)
	must.Eq(t, 0, s.store.CallCounts()[store.CallCompareAndSwap])
	result, err = c.Apply(ctx, newChange("op-1", dataCentre("a", false), dataCentre("b", false)), nil, false)
	must.NoError(t, err)
	must.Eq(t, 1, result.Revision)
	_, list, err := c.List(ctx, "datacentre")
	must.NoError(t, err)
	must.Len(t, 2, list)

	staleRevision := uint64(0)
	_, err = c.Apply(ctx, newChange("op-2", dataCentre("a", true)), &staleRevision, false)
	var responseErr *operator.ResponseError
	must.True(t, errors.As(err, &responseErr), must.Sprintf("got error %v, want %T", err, responseErr))
	must.Eq(t, http.StatusConflict, responseErr.Status())
	must.Eq(t, 1, responseErr.Problem().Actual)
	must.Eq(t, "out", responseErr.Problem().Differences[0].Field)

	_, err = c.Apply(ctx, newChange("op-3", document.ServiceResource(document.NewService("s", "none", "/s/"))), nil, false)
	must.True(t, errors.As(err, &responseErr), must.Sprintf("got error %v, want %T", err, responseErr))
	must.Eq(t, "branch", responseErr.Problem().Field)
	_, err = c.Get(ctx, document.NewKey(document.KindBranch, "none"))
	must.True(t, errors.As(err, &responseErr), must.Sprintf("got error %v, want %T", err, responseErr))
	must.Eq(t, http.StatusNotFound, responseErr.Status())
	audit, err := c.Audit(ctx)
	must.NoError(t, err)
	must.Eq(t, "holder-operate", audit.Operations[0].Author)
}

func TestAPI_EnforcesRolesAndRateLimits(t *testing.T) {
	s := startNode(t)
	ctx := context.Background()
	reader, _ := s.client(certs.RoleRead)
	_, _, err := reader.List(ctx, "")
	must.NoError(t, err)
	_, err = reader.Apply(ctx, newChange("op", dataCentre("a", false)), nil, false)
	var responseErr *operator.ResponseError
	must.True(t, errors.As(err, &responseErr), must.Sprintf("got error %v, want %T", err, responseErr))
	must.Eq(t, http.StatusForbidden, responseErr.Status())
	limited := 0
	for range 200 {
		if _, _, err := reader.List(ctx, ""); errors.As(err, &responseErr) && responseErr.Status() == http.StatusTooManyRequests {
			limited++
		}
	}
	must.Greater(t, 50, limited)
	anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err = anonymous.Get(s.url + "/v1/resources")
	must.Error(t, err)
}

func TestPut_ChecksIfMatch(t *testing.T) {
	s := startNode(t)
	_, h := s.client(certs.RoleOperate)
	put := func(match string) int {
		request, err := http.NewRequest(http.MethodPut, s.url+"/v1/resources/datacentre/a", newBody(`{"kind":"datacentre","name":"a","region":"r"}`))
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

func TestWatch_ResumesAfterRevision(t *testing.T) {
	s := startNode(t)
	ctx := context.Background()
	c, _ := s.client(certs.RoleOperate)
	for i := range 3 {
		_, err := c.Apply(ctx, newChange(fmt.Sprint(i), dataCentre("a", i%2 == 0)), nil, false)
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

func newBody(text string) *strings.Reader { return strings.NewReader(text) }
