package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/document"
	"savorygap.example/lib/store"
	"savorygap.example/lib/wire"
)

const (
	maxChangeBytes       = 2 << 20
	applyTimeout         = 15 * time.Second
	maxOperationIDLength = 128
	watchPollInterval    = 250 * time.Millisecond
	maxWatchDuration     = 10 * time.Minute
)

// DocumentFunc returns the document in force at this node, nil when there is
// none.
type DocumentFunc func(ctx context.Context) *document.Document

// StatusFunc asks all nodes for their revision in force and returns the rollout
// status.
type StatusFunc func(ctx context.Context) StatusForm

// API serves the resource API of one node.
type API struct {
	service         *Service
	clock           clockwork.Clock
	documentInForce DocumentFunc
	fleetStatus     StatusFunc
	rateLimits      *rateLimits
	logChange       func(author, id string, revision document.Revision, err error)
}

// NewAPI returns the API. It calls logChange after every attempt to apply a
// change, except for dry runs.
func NewAPI(s *Service, clock clockwork.Clock, documentInForce DocumentFunc, fleetStatus StatusFunc, logChange func(author, id string, revision document.Revision, err error)) *API {
	return &API{service: s, clock: clock, documentInForce: documentInForce, fleetStatus: fleetStatus, rateLimits: newRateLimits(clock), logChange: logChange}
}

// Run runs the task of the rate limits until ctx ends. Requests are rejected
// when it has ended.
func (a *API) Run(ctx context.Context) { a.rateLimits.run(ctx) }

// Handler returns the HTTP handler. It requires TLS with a client certificate
// of the role operate or read.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resources", a.allow(certs.RoleRead, a.list))
	mux.HandleFunc("GET /v1/resources/{kind}", a.allow(certs.RoleRead, a.list))
	mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.allow(certs.RoleRead, a.get))
	mux.HandleFunc("PUT /v1/resources/{kind}/{name}", a.allow(certs.RoleOperate, a.put))
	mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", a.allow(certs.RoleOperate, a.delete))
	mux.HandleFunc("POST /v1/changes", a.allow(certs.RoleOperate, a.change))
	mux.HandleFunc("GET /v1/effective/{branch}", a.allow(certs.RoleRead, a.effective))
	mux.HandleFunc("GET /v1/status", a.allow(certs.RoleRead, a.status))
	mux.HandleFunc("GET /v1/watch", a.allow(certs.RoleRead, a.watch))
	mux.HandleFunc("GET /v1/audit", a.allow(certs.RoleRead, a.audit))
	return mux
}

// allow rejects requests whose certificate lacks the role, and those above the
// rate limit of the client. The role operate includes read.
func (a *API) allow(role certs.Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, held, ok := certs.Identity(r.TLS)
		if !ok || (held != role && held != certs.RoleOperate) {
			writeProblem(w, http.StatusForbidden, Problem{Code: "forbidden", Error: "role \"" + string(held) + "\" may not do this; role \"" + string(role) + "\" is wanted"})
			return
		}
		if !a.rateLimits.allow(r.Context(), name) {
			w.Header().Set("Retry-After", "1")
			writeProblem(w, http.StatusTooManyRequests, Problem{Code: "rate", Error: "too many requests from \"" + name + "\"; wait a second"})
			return
		}
		next(w, r)
	}
}

// author returns the common name of the client certificate.
func author(r *http.Request) string {
	name, _, _ := certs.Identity(r.TLS)
	return name
}

// document returns the document in force and sets the ETag header field to its
// revision. Without a document it writes an error and returns false.
func (a *API) document(w http.ResponseWriter, r *http.Request) (*document.Document, bool) {
	d := a.documentInForce(r.Context())
	if d == nil {
		writeProblem(w, http.StatusServiceUnavailable, Problem{Code: "none", Error: "no configuration is in force at this node yet"})
		return nil, false
	}
	w.Header().Set("ETag", etag(d.Revision()))
	return d, true
}

func etag(r document.Revision) string { return `"` + strconv.FormatUint(uint64(r), 10) + `"` }

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	d, ok := a.document(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	form := ListForm{Revision: uint64(d.Revision()), Resources: []json.RawMessage{}}
	for _, resource := range d.Resources() {
		if kind != "" && string(resource.Key().Kind()) != kind {
			continue
		}
		raw, err := wire.EncodeResource(resource)
		if err != nil {
			writeError(w, err)
			return
		}
		form.Resources = append(form.Resources, raw)
	}
	writeJSON(w, http.StatusOK, form)
}

func resourceKey(r *http.Request) document.Key {
	return document.NewKey(document.Kind(r.PathValue("kind")), r.PathValue("name"))
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	d, ok := a.document(w, r)
	if !ok {
		return
	}
	resource, ok := d.Get(resourceKey(r))
	if !ok {
		writeProblem(w, http.StatusNotFound, Problem{Code: "absent", Error: resourceKey(r).String() + " does not exist"})
		return
	}
	raw, err := wire.EncodeResource(resource)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, raw)
}

func (a *API) put(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&raw); err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Error: err.Error()})
		return
	}
	resource, err := wire.DecodeResource(raw)
	if err != nil {
		writeError(w, err)
		return
	}
	if resource.Key() != resourceKey(r) {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Error: "the body is " + resource.Key().String() + ", the path " + resourceKey(r).String()})
		return
	}
	a.applyConditional(w, r, []document.Resource{resource}, nil)
}

func (a *API) delete(w http.ResponseWriter, r *http.Request) {
	a.applyConditional(w, r, nil, []document.Key{resourceKey(r)})
}

// applyConditional makes a change with the expected revision in the header
// field If-Match and the operation id in Idempotency-Key.
func (a *API) applyConditional(w http.ResponseWriter, r *http.Request, puts []document.Resource, deletes []document.Key) {
	id := r.Header.Get("Idempotency-Key")
	c := document.NewChange(id, author(r), a.clock.Now(), puts, deletes)
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" && match != "*" {
		revision, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Field: "If-Match", Error: "If-Match takes a revision in quotes"})
			return
		}
		c = c.WithExpectedRevision(document.Revision(revision))
	}
	a.apply(w, r, c, r.URL.Query().Get("dryRun") == "true")
}

func (a *API) change(w http.ResponseWriter, r *http.Request) {
	var form ChangeForm
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&form); err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Error: err.Error()})
		return
	}
	puts := make([]document.Resource, 0, len(form.Puts))
	for _, raw := range form.Puts {
		resource, err := wire.DecodeResource(raw)
		if err != nil {
			writeError(w, err)
			return
		}
		puts = append(puts, resource)
	}
	deletes := make([]document.Key, 0, len(form.Deletes))
	for _, text := range form.Deletes {
		deletes = append(deletes, wire.ParseKey(text))
	}
	c := document.NewChange(form.ID, author(r), a.clock.Now(), puts, deletes)
	if form.Expected != nil {
		c = c.WithExpectedRevision(document.Revision(*form.Expected))
	}
	a.apply(w, r, c, form.DryRun)
}

func (a *API) apply(w http.ResponseWriter, r *http.Request, c document.Change, dryRun bool) {
	if c.ID() == "" || len(c.ID()) > maxOperationIDLength {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Field: "id", Error: "an operation id of 1 to 128 characters is wanted"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	d, err := a.service.Apply(ctx, c, dryRun)
	var revision document.Revision
	if d != nil {
		revision = d.Revision()
	}
	if !dryRun {
		a.logChange(author(r), c.ID(), revision, err)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, ResultForm{Revision: uint64(revision), DryRun: dryRun})
}

func (a *API) effective(w http.ResponseWriter, r *http.Request) {
	d, ok := a.document(w, r)
	if !ok {
		return
	}
	branch := r.PathValue("branch")
	if _, ok := d.Get(document.NewKey(document.KindBranch, branch)); !ok {
		writeProblem(w, http.StatusNotFound, Problem{Code: "absent", Error: "branch \"" + branch + "\" does not exist"})
		return
	}
	form := EffectiveForm{Branch: branch}
	for _, rule := range d.EffectiveRules(branch) {
		f := EffectiveRuleForm{Name: rule.Name()}
		for _, field := range document.Fields() {
			s := rule.Setting(field)
			f.Values = append(f.Values, EffectiveValueForm{Field: string(field), Value: s.Value(), Origin: string(s.Origin())})
		}
		form.Rules = append(form.Rules, f)
	}
	writeJSON(w, http.StatusOK, form)
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, a.fleetStatus(r.Context()))
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	d, ok := a.document(w, r)
	if !ok {
		return
	}
	form := AuditForm{Operations: []wire.OperationForm{}}
	for _, o := range d.Operations() {
		form.Operations = append(form.Operations, wire.ToOperationForm(o))
	}
	writeJSON(w, http.StatusOK, form)
}

// watch streams one JSON line for every revision that comes into force at this
// node and is above the query parameter "after", with the operations since the
// previous line. A client resumes by passing the last revision that it received.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), maxWatchDuration)
	defer cancel()
	w.Header().Set("Content-Type", "application/jsonl")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		if d := a.documentInForce(ctx); d != nil && uint64(d.Revision()) > after {
			if encoder.Encode(newEvent(d, document.Revision(after))) != nil {
				return
			}
			after = uint64(d.Revision())
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-a.clock.After(watchPollInterval):
		}
	}
}

// EventForm is one line of the watch stream.
type EventForm struct {
	Revision   uint64               `json:"revision" yaml:"revision"`
	Operations []wire.OperationForm `json:"operations" yaml:"operations"`
}

func newEvent(d *document.Document, after document.Revision) EventForm {
	event := EventForm{Revision: uint64(d.Revision()), Operations: []wire.OperationForm{}}
	for _, o := range d.Operations() {
		if o.Revision() > after {
			event.Operations = append(event.Operations, wire.ToOperationForm(o))
		}
	}
	return event
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, status int, p Problem) { writeJSON(w, status, p) }

func writeError(w http.ResponseWriter, err error) {
	var conflict *document.ConflictError
	var invalid *document.InvalidError
	var tooLarge *wire.TooLargeError
	var unknownOutcome *UnknownOutcomeError
	var unavailable *store.UnavailableError
	p := Problem{Error: err.Error()}
	switch {
	case errors.As(err, &conflict):
		writeProblem(w, http.StatusConflict, conflictProblem(conflict))
	case errors.As(err, &invalid):
		p.Code, p.Resource, p.Field = "invalid", invalid.Key().String(), invalid.Field()
		writeProblem(w, http.StatusUnprocessableEntity, p)
	case errors.As(err, &tooLarge):
		p.Code = "too-large"
		writeProblem(w, http.StatusRequestEntityTooLarge, p)
	case errors.As(err, &unknownOutcome):
		p.Code = "unsettled"
		writeProblem(w, http.StatusGatewayTimeout, p)
	case errors.As(err, &unavailable):
		p.Code = "store-unavailable"
		p.Error = "the store cannot be reached, so nothing was changed; the configuration in force stays: " + err.Error()
		writeProblem(w, http.StatusServiceUnavailable, p)
	default:
		p.Code = "failed"
		writeProblem(w, http.StatusBadRequest, p)
	}
}

func conflictProblem(c *document.ConflictError) Problem {
	p := Problem{Code: "conflict", Error: c.Error(), Expected: uint64(c.Expected()), Actual: uint64(c.Actual())}
	for _, d := range c.Differences() {
		p.Differences = append(p.Differences, DifferenceForm{Resource: d.Key().String(), Field: d.Field(), Want: d.Want(), Have: d.Have()})
	}
	return p
}
