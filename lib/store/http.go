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
)

// maxAnswer bounds the answers read from the service, in bytes: a value of
// 1 MiB in base64 and its envelope, times the entries of a list.
const maxAnswer = 16 << 20

// EntryForm is the written form of an entry.
type EntryForm struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// WriteForm is the written form of a compare-and-swap.
type WriteForm struct {
	Value    []byte `json:"value"`
	Expected uint64 `json:"expected"`
	Lease    string `json:"lease,omitempty"`
}

// LeaseForm is the written form of a lease.
type LeaseForm struct {
	ID  string `json:"id"`
	TTL int64  `json:"ttlMillis"`
}

// NewHTTP returns a client for the service at base, such as
// "http://127.0.0.1:7600". The transport must not retry on its own: requests
// that write carry a body without a rewind function, so net/http sends them
// once.
func NewHTTP(client *http.Client, base string) *Client {
	h := &httpCodec{client: client, base: base}
	return &Client{
		get: h.get, list: h.list, swap: h.swap, watch: h.watch,
		grant: h.grant, renew: h.renew, revoke: h.revoke,
	}
}

type httpCodec struct {
	client *http.Client
	base   string
}

func (h *httpCodec) get(ctx context.Context, key string) (Entry, error) {
	var form EntryForm
	if err := h.call(ctx, CallGet, http.MethodGet, "/v1/kv/"+key, nil, &form); err != nil {
		return Entry{}, err
	}
	return fromEntryForm(form), nil
}

func (h *httpCodec) list(ctx context.Context, prefix string) ([]Entry, error) {
	var forms []EntryForm
	if err := h.call(ctx, CallList, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &forms); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(forms))
	for _, f := range forms {
		entries = append(entries, fromEntryForm(f))
	}
	return entries, nil
}

func (h *httpCodec) watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var form EntryForm
	if err := h.call(ctx, CallWatch, http.MethodGet, "/v1/watch/"+key+"?"+query.Encode(), nil, &form); err != nil {
		return Entry{}, err
	}
	return fromEntryForm(form), nil
}

func (h *httpCodec) swap(ctx context.Context, w Write) (Entry, error) {
	body := WriteForm{Value: w.value, Expected: uint64(w.expected), Lease: string(w.lease)}
	var form EntryForm
	err := h.call(ctx, CallCompareAndSwap, http.MethodPut, "/v1/kv/"+w.key, body, &form)
	var status *statusError
	switch {
	case err == nil:
		return fromEntryForm(form), nil
	case errors.As(err, &status) && status.code == http.StatusConflict:
		return Entry{}, &ConflictError{key: w.key, expected: w.expected, actual: Version(status.version)}
	case errors.As(err, &status) && status.code == http.StatusServiceUnavailable, neverSent(err):
		return Entry{}, err
	}
	return Entry{}, &AmbiguousError{key: w.key, cause: err}
}

func (h *httpCodec) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var form LeaseForm
	if err := h.call(ctx, CallGrant, http.MethodPost, "/v1/leases", LeaseForm{TTL: ttl.Milliseconds()}, &form); err != nil {
		return "", err
	}
	return LeaseID(form.ID), nil
}

func (h *httpCodec) renew(ctx context.Context, id LeaseID) error {
	err := h.call(ctx, CallRenew, http.MethodPut, "/v1/leases/"+string(id), struct{}{}, nil)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotFound {
		return &LeaseExpiredError{id: id}
	}
	return err
}

func (h *httpCodec) revoke(ctx context.Context, id LeaseID) error {
	return h.call(ctx, CallRevoke, http.MethodDelete, "/v1/leases/"+string(id), nil, nil)
}

func (h *httpCodec) call(ctx context.Context, call Call, method, path string, body, answer any) error {
	err := h.exchange(ctx, method, path, body, answer)
	if err != nil {
		return &UnavailableError{call: call, cause: err}
	}
	return nil
}

func (h *httpCodec) exchange(ctx context.Context, method, path string, body, answer any) error {
	reader, err := encodeBody(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, reader)
	if err != nil {
		return err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		version, _ := strconv.ParseUint(response.Header.Get("X-Version"), 10, 64)
		return &statusError{code: response.StatusCode, version: version, text: string(bytes.TrimSpace(text))}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(text, answer)
}

// encodeBody hides the type of the reader so that net/http has no way to
// rewind the body and send the request again.
func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(text)), nil
}

func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func fromEntryForm(f EntryForm) Entry {
	return Entry{key: f.Key, value: f.Value, version: Version(f.Version)}
}

type statusError struct {
	code    int
	version uint64
	text    string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }
