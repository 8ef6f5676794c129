package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"savorygap.example/lib/document"
	"savorygap.example/lib/wire"
)

const maxResponseBytes = 32 << 20

// Client is a client of the resource API.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the node with the given base URL.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, http: httpClient}
}

// Apply makes a change, or only validates it when dryRun is set. With expected
// not nil, the change only applies to that revision.
//
// After an error other than *ResponseError it is unknown whether the change was
// made. Calling Apply again with the same change is safe.
func (c *Client) Apply(ctx context.Context, change document.Change, expected *uint64, dryRun bool) (ResultForm, error) {
	form := ChangeForm{ID: change.ID(), Expected: expected, DryRun: dryRun}
	for _, r := range change.Puts() {
		raw, err := wire.EncodeResource(r)
		if err != nil {
			return ResultForm{}, err
		}
		form.Puts = append(form.Puts, raw)
	}
	for _, k := range change.Deletes() {
		form.Deletes = append(form.Deletes, k.String())
	}
	var result ResultForm
	return result, c.exchange(ctx, http.MethodPost, "/v1/changes", form, &result)
}

// List returns the revision in force and its resources of a kind, or all
// resources when kind is empty.
func (c *Client) List(ctx context.Context, kind string) (uint64, []document.Resource, error) {
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var form ListForm
	if err := c.exchange(ctx, http.MethodGet, path, nil, &form); err != nil {
		return 0, nil, err
	}
	resources := make([]document.Resource, 0, len(form.Resources))
	for _, raw := range form.Resources {
		r, err := wire.DecodeResource(raw)
		if err != nil {
			return 0, nil, err
		}
		resources = append(resources, r)
	}
	return form.Revision, resources, nil
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, key document.Key) (document.Resource, error) {
	var raw json.RawMessage
	path := "/v1/resources/" + url.PathEscape(string(key.Kind())) + "/" + url.PathEscape(key.Name())
	if err := c.exchange(ctx, http.MethodGet, path, nil, &raw); err != nil {
		return document.Resource{}, err
	}
	return wire.DecodeResource(raw)
}

// Effective returns the effective rules of a branch with the origin of every
// value.
func (c *Client) Effective(ctx context.Context, branch string) (EffectiveForm, error) {
	var form EffectiveForm
	return form, c.exchange(ctx, http.MethodGet, "/v1/effective/"+url.PathEscape(branch), nil, &form)
}

// Status returns the rollout status of the newest revision.
func (c *Client) Status(ctx context.Context) (StatusForm, error) {
	var form StatusForm
	return form, c.exchange(ctx, http.MethodGet, "/v1/status", nil, &form)
}

// Audit returns the audit log.
func (c *Client) Audit(ctx context.Context) (AuditForm, error) {
	var form AuditForm
	return form, c.exchange(ctx, http.MethodGet, "/v1/audit", nil, &form)
}

// Watch calls handle for every revision above after, until handle returns
// false, ctx ends or the stream ends.
func (c *Client) Watch(ctx context.Context, after uint64, handle func(EventForm) bool) error {
	path := "/v1/watch?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		var event EventForm
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return err
		}
		if !handle(event) {
			return nil
		}
	}
	return lines.Err()
}

// exchange sends a request with a JSON body, unless body is nil, and decodes
// the JSON response into result.
func (c *Client) exchange(ctx context.Context, method, path string, body, result any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
}

// responseError returns the *ResponseError for an unsuccessful response, whose
// body may not be JSON.
func responseError(response *http.Response) error {
	e := &ResponseError{status: response.StatusCode}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Join(e, err)
	}
	if json.Unmarshal(text, &e.problem) != nil {
		e.problem.Error = string(bytes.TrimSpace(text))
	}
	e.message = e.problem.Error
	return e
}
