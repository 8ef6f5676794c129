package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"savorygap.example/lib/responsehead"
)

// maxResponseBytes limits the size of a response from the service. A value takes
// up to 1 MiB before base64 encoding, and a list response holds several values.
const maxResponseBytes = 16 << 20

// EntryForm is the JSON representation of an entry.
type EntryForm struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// WriteForm is the JSON representation of a compare-and-swap.
type WriteForm struct {
	Value    []byte `json:"value"`
	Expected uint64 `json:"expected"`
	Lease    string `json:"lease,omitempty"`
}

// LeaseForm is the JSON representation of a lease.
type LeaseForm struct {
	ID  string `json:"id"`
	TTL int64  `json:"ttlMillis"`
}

// NewHTTP returns a client for the service at the base URL, for example
// "http://127.0.0.1:7600". The client's transport must not retry requests, since
// that could send a write twice. http.Transport does not retry writes, because
// their bodies cannot be rewound.
func NewHTTP(client *http.Client, base string) *Client {
	h := &httpClient{client: client, base: base}
	return &Client{
		get: h.get, list: h.list, compareAndSwap: h.compareAndSwap, watch: h.watch,
		grant: h.grant, renew: h.renew, revoke: h.revoke,
	}
}

type httpClient struct {
	client *http.Client
	base   string
}

func (h *httpClient) get(ctx context.Context, key string) (Entry, error) {
	var form EntryForm
	if err := h.call(ctx, CallGet, http.MethodGet, "/v1/kv/"+key, nil, &form); err != nil {
		return Entry{}, err
	}
	return entryOf(form), nil
}

func (h *httpClient) list(ctx context.Context, prefix string) ([]Entry, error) {
	var forms []EntryForm
	if err := h.call(ctx, CallList, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &forms); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(forms))
	for _, f := range forms {
		entries = append(entries, entryOf(f))
	}
	return entries, nil
}

func (h *httpClient) watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var form EntryForm
	if err := h.call(ctx, CallWatch, http.MethodGet, "/v1/watch/"+key+"?"+query.Encode(), nil, &form); err != nil {
		return Entry{}, err
	}
	return entryOf(form), nil
}

func (h *httpClient) compareAndSwap(ctx context.Context, w Write) (Entry, error) {
	body := WriteForm{Value: w.value, Expected: uint64(w.expected), Lease: string(w.lease)}
	var form EntryForm
	err := h.call(ctx, CallCompareAndSwap, http.MethodPut, "/v1/kv/"+w.key, body, &form)
	var statusErr *statusError
	switch {
	case err == nil:
		return entryOf(form), nil
	case errors.As(err, &statusErr) && statusErr.code == http.StatusConflict:
		return Entry{}, &ConflictError{key: w.key, expected: w.expected, actual: Version(statusErr.version)}
	case errors.As(err, &statusErr) && statusErr.code == http.StatusServiceUnavailable, failedToConnect(err):
		return Entry{}, err
	}
	return Entry{}, &AmbiguousError{key: w.key, cause: err}
}

func (h *httpClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var form LeaseForm
	if err := h.call(ctx, CallGrant, http.MethodPost, "/v1/leases", LeaseForm{TTL: ttl.Milliseconds()}, &form); err != nil {
		return "", err
	}
	return LeaseID(form.ID), nil
}

func (h *httpClient) renew(ctx context.Context, id LeaseID) error {
	err := h.call(ctx, CallRenew, http.MethodPut, "/v1/leases/"+string(id), struct{}{}, nil)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.code == http.StatusNotFound {
		return &LeaseExpiredError{id: id}
	}
	return err
}

func (h *httpClient) revoke(ctx context.Context, id LeaseID) error {
	return h.call(ctx, CallRevoke, http.MethodDelete, "/v1/leases/"+string(id), nil, nil)
}

func (h *httpClient) call(ctx context.Context, call Call, method, path string, body, result any) error {
	err := h.exchange(ctx, method, path, body, result)
	if err != nil {
		return &UnavailableError{call: call, cause: err}
	}
	return nil
}

func (h *httpClient) exchange(ctx context.Context, method, path string, body, result any) error {
	bodyReader, err := encodeBody(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bodyReader)
	if err != nil {
		return err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := responsehead.CheckNames(response.Header); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if err := responsehead.CheckNames(response.Trailer); err != nil {
		return err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		version, _ := strconv.ParseUint(response.Header.Get("X-Version"), 10, 64)
		return &statusError{code: response.StatusCode, version: version, text: string(bytes.TrimSpace(data))}
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// encodeBody returns the JSON encoding of body. It hides the type of the reader,
// so that net/http cannot rewind the body and send the request again.
func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// failedToConnect reports whether err occurred before the request was sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func entryOf(f EntryForm) Entry {
	return Entry{key: f.Key, value: f.Value, version: Version(f.Version)}
}

type statusError struct {
	code    int
	version uint64
	text    string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }
