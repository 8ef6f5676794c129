package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/attempt"
	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/load"
	"savorygap.example/lib/outcome"
)

// Header fields that the node sets in requests to a server. Callers may send
// them too.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "Savorygap-Timeout-Ms"
	HeaderDepth          = "Savorygap-Depth"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ReasonNotHome is the reason why a node refuses a request with an idempotency
// key: according to its view of the targets, the home of the key is elsewhere.
// The sender can retry when the views of the two nodes have converged.
const ReasonNotHome = "not the home of the key"

// reasonFenced is the reason with which a previous home of a key reports that it
// fenced the key and will never run it.
const reasonFenced = "key promised"

// Runner runs attempts on the servers on this host. It runs a request with an
// idempotency key at most once, and only on the home of the key.
type Runner struct {
	registry   *Registry
	tracker    *idempotency.Tracker
	node       string
	queryFence func(ctx context.Context, node, peer string, c attempt.Call) (*attempt.Response, error)
	now        func() time.Time
}

// NewRunner returns a runner for the node with the given name. queryFence sends
// a call with the fence flag to the node on the host of a previous home of a
// key.
func NewRunner(registry *Registry, tracker *idempotency.Tracker, node string, now func() time.Time, queryFence func(ctx context.Context, node, peer string, c attempt.Call) (*attempt.Response, error)) *Runner {
	return &Runner{registry: registry, tracker: tracker, node: node, queryFence: queryFence, now: now}
}

// Attempt makes one attempt. It returns *outcome.NotRunError if no byte was
// written to a server, or *outcome.UnknownError if the request may have run.
func (r *Runner) Attempt(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	if c.Key() == "" {
		return r.runOnce(ctx, c, body)
	}
	key := idempotency.NewKey(c.Service(), c.Key())
	if c.Fence() {
		return r.fenceResponse(r.tracker.Fence(ctx, key, c.KeyCreated()))
	}
	return r.runKeyed(ctx, key, c, body)
}

// fenceResponse returns the response to a fence query.
func (r *Runner) fenceResponse(d idempotency.Decision) (*attempt.Response, error) {
	switch d.Kind() {
	case idempotency.Replay:
		return replayedResponse(d.Record()), nil
	case idempotency.Fenced:
		return nil, outcome.NewNotRun(reasonFenced).Permanent()
	}
	return nil, outcome.NewUnknown(d.Reason(), nil)
}

func (r *Runner) runKeyed(ctx context.Context, key idempotency.Key, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	homes := r.tracker.Homes(ctx, key, c.KeyCreated())
	if !homes.Known() {
		return nil, outcome.NewUnknown("the earlier homes of the key are not known", nil)
	}
	if homes.Current().ID().Node() != r.node || homes.Current().ID().Address() != c.Address() {
		return nil, outcome.NewNotRun(ReasonNotHome)
	}
	d := r.tracker.Begin(ctx, key, c.KeyCreated())
	switch d.Kind() {
	case idempotency.Replay:
		return replayedResponse(d.Record()), nil
	case idempotency.Reject, idempotency.Fenced:
		return nil, outcome.NewNotRun(d.Reason()).Permanent()
	case idempotency.Unknown, idempotency.Wait:
		return nil, outcome.NewUnknown(d.Reason(), nil)
	case idempotency.Run:
	}
	for _, previous := range homes.Previous() {
		response, err := r.fencePrevious(ctx, previous.ID().Node(), previous.PeerAddress(), previous.ID().Address(), c)
		if err != nil {
			r.tracker.MarkUnknown(key)
			return nil, err
		}
		if response != nil {
			return r.adoptRecord(key, response)
		}
	}
	return r.runAndRecord(ctx, key, c, body)
}

// adoptRecord records the response that a previous home recorded for the key.
func (r *Runner) adoptRecord(key idempotency.Key, response *attempt.Response) (*attempt.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body(), idempotency.MaxRecordBytes+1))
	response.Finish(err)
	if err != nil {
		r.tracker.MarkUnknown(key)
		return nil, outcome.NewUnknown("the record of the key is not whole", err)
	}
	record := idempotency.NewRecord(response.Status(), response.Header(), body)
	r.tracker.Complete(key, record)
	return replayedResponse(record), nil
}

// fencePrevious fences the key at one of its previous homes. It returns nil if
// that home will never run the key, or the response recorded there.
func (r *Runner) fencePrevious(ctx context.Context, node, peer, address string, c attempt.Call) (*attempt.Response, error) {
	query := c.WithFence().WithAddress(address).WithTimeout(remainingTimeout(ctx, r.now()))
	if node == r.node {
		key := idempotency.NewKey(c.Service(), c.Key())
		response, err := r.fenceResponse(r.tracker.Fence(ctx, key, c.KeyCreated()))
		return response, ignoreFenced(err)
	}
	response, err := r.queryFence(ctx, node, peer, query)
	return response, ignoreFenced(err)
}

// ignoreFenced returns nil if err reports that the previous home fenced the key.
// After any other error the outcome is unknown.
func ignoreFenced(err error) error {
	if err == nil {
		return nil
	}
	if notRun, ok := outcome.AsNotRun(err); ok && notRun.Reason() == reasonFenced {
		return nil
	}
	return outcome.NewUnknown("an earlier home of the key does not answer", err)
}

// runAndRecord runs a request with a key and records its response.
func (r *Runner) runAndRecord(ctx context.Context, key idempotency.Key, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	response, err := r.runOnce(ctx, c, body)
	if err != nil {
		if _, ok := outcome.AsNotRun(err); ok {
			r.tracker.Discard(key)
		} else {
			r.tracker.MarkUnknown(key)
		}
		return nil, err
	}
	recorded := &bytes.Buffer{}
	tee := io.TeeReader(response.Body(), &boundedBuffer{buffer: recorded})
	finish := func(bodyErr error) load.Report {
		if bodyErr == nil {
			r.tracker.Complete(key, idempotency.NewRecord(response.Status(), response.Header(), recorded.Bytes()))
		} else {
			r.tracker.MarkUnknown(key)
		}
		return response.Finish(bodyErr)
	}
	return attempt.NewResponse(response.Status(), response.Header(), response.Length(), tee, response.Trailer, response.Report, finish), nil
}

// boundedBuffer stores at most idempotency.MaxRecordBytes+1 bytes. The extra
// byte tells the tracker that the response is too large to record.
type boundedBuffer struct {
	buffer *bytes.Buffer
}

// Write implements io.Writer. It discards excess bytes and never fails.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	free := idempotency.MaxRecordBytes + 1 - b.buffer.Len()
	b.buffer.Write(p[:min(len(p), max(free, 0))])
	return len(p), nil
}

func replayedResponse(record idempotency.Record) *attempt.Response {
	header := record.Header().Clone()
	header.Set("Savorygap-Replayed", "true")
	none := func() load.Report { return load.Report{} }
	return attempt.NewResponse(record.Status(), header, int64(len(record.Body())), bytes.NewReader(record.Body()),
		func() http.Header { return nil }, none, func(error) load.Report { return load.Report{} })
}

// runOnce acquires a slot and sends the request once.
func (r *Runner) runOnce(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	proxy, ok := r.registry.Lookup(ctx, c.Service(), c.Address())
	if !ok {
		return nil, outcome.NewNotRun("no such server")
	}
	deadline := r.now().Add(remainingTimeout(ctx, r.now()))
	slot := proxy.Acquire(ctx, c.Class(), c.Depth(), c.Short(), c.FailFast(), deadline)
	if !slot.Granted() {
		return nil, outcome.NewNotRun(slot.Reason().String()).WithReport(slot.Report())
	}
	request, err := r.newRequest(ctx, c, body)
	if err != nil {
		proxy.releaseUnused(slot)
		return nil, outcome.NewNotRun("malformed request").Permanent()
	}
	c.NotifyAdmitted()
	x, err := proxy.Send(ctx, slot, c.Address(), request)
	if err != nil {
		return nil, err
	}
	return responseOf(x), nil
}

// releaseUnused releases a slot for which no request was sent.
func (p *Proxy) releaseUnused(s Slot) {
	p.Release(s, s.conn, admission.ResultIgnored, 0)
}

func (r *Runner) newRequest(ctx context.Context, c attempt.Call, body io.Reader) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.URI())
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: c.Method(), URL: u, Host: c.Host(), Header: c.Header().Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: c.Length(),
	}
	if c.Length() != 0 && body != nil {
		request.Body = io.NopCloser(body)
		addTrailers(request, c)
	}
	request.Header.Set(HeaderRequestID, c.RequestID())
	request.Header.Set(HeaderDepth, strconv.Itoa(c.Depth()))
	request.Header.Set(HeaderTimeout, strconv.FormatInt(remainingTimeout(ctx, r.now()).Milliseconds(), 10))
	if c.Key() != "" {
		request.Header.Set(HeaderIdempotencyKey, c.Key())
	}
	return request, nil
}

// addTrailers declares the trailer fields and sets their values at the end of
// the body. It makes the request chunked, as HTTP/1.1 requires for trailers.
func addTrailers(request *http.Request, c attempt.Call) {
	if len(c.TrailerNames()) == 0 {
		return
	}
	request.ContentLength = -1
	request.Trailer = http.Header{}
	for _, name := range c.TrailerNames() {
		request.Trailer[http.CanonicalHeaderKey(name)] = nil
	}
	body := request.Body
	request.Body = io.NopCloser(readerFunc(func(p []byte) (int, error) {
		n, err := body.Read(p)
		if errors.Is(err, io.EOF) {
			for name, values := range c.Trailer() {
				request.Trailer[name] = values
			}
		}
		return n, err
	}))
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// defaultTimeout applies to requests without a deadline.
const defaultTimeout = time.Hour

func remainingTimeout(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return max(deadline.Sub(now), 0)
}

func responseOf(x *Exchange) *attempt.Response {
	response := x.Response()
	trailer := func() http.Header { return response.Trailer }
	return attempt.NewResponse(response.StatusCode, response.Header, response.ContentLength,
		response.Body, trailer, x.Report, x.Finish)
}
