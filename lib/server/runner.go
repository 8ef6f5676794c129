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

// Header fields that a server receives besides the caller's own.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Savorygap-Timeout-Ms"
	HeaderDepth     = "Savorygap-Depth"
	HeaderKey       = "Idempotency-Key"
)

// ReasonNotHome is the refusal of a keyed request by a node that, in its view,
// is not beside the home of the key. The views agree a moment later.
const ReasonNotHome = "not the home of the key"

// reasonPromised is the refusal by which an earlier home of a key promises
// never to run it.
const reasonPromised = "key promised"

// Runner runs attempts at the servers of this host. Its function fields are
// seams.
type Runner struct {
	registry *Registry
	ledger   *idempotency.Tracker
	node     string
	ask      func(ctx context.Context, node, peer string, c attempt.Call) (*attempt.Response, error)
	now      func() time.Time
}

// NewRunner returns a runner for the named node. ask sends an inquiry to the
// node beside an earlier home of a key.
func NewRunner(r *Registry, l *idempotency.Tracker, node string, now func() time.Time, ask func(ctx context.Context, node, peer string, c attempt.Call) (*attempt.Response, error)) *Runner {
	return &Runner{registry: r, ledger: l, node: node, ask: ask, now: now}
}

// Run makes one attempt. It returns *outcome.NotRunError when no byte was
// written to a server and *outcome.UnknownError when the request may have run.
func (r *Runner) Run(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	if c.Key() == "" {
		return r.attempt(ctx, c, body)
	}
	key := idempotency.NewKey(c.Service(), c.Key())
	if c.Fence() {
		return r.inquired(r.ledger.Fence(ctx, key, c.KeyCreated()))
	}
	return r.runKeyed(ctx, key, c, body)
}

// inquired turns the verdict on another node's inquiry into an answer.
func (r *Runner) inquired(v idempotency.Decision) (*attempt.Response, error) {
	switch v.Kind() {
	case idempotency.Replay:
		return replay(v.Record()), nil
	case idempotency.Fenced:
		return nil, outcome.NewNotRun(reasonPromised).Permanent()
	}
	return nil, outcome.NewUnknown(v.Reason(), nil)
}

func (r *Runner) runKeyed(ctx context.Context, key idempotency.Key, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	homes := r.ledger.Homes(ctx, key, c.KeyCreated())
	if !homes.Known() {
		return nil, outcome.NewUnknown("the earlier homes of the key are not known", nil)
	}
	if homes.Current().ID().Node() != r.node || homes.Current().ID().Address() != c.Address() {
		return nil, outcome.NewNotRun(ReasonNotHome)
	}
	v := r.ledger.Begin(ctx, key, c.KeyCreated())
	switch v.Kind() {
	case idempotency.Replay:
		return replay(v.Record()), nil
	case idempotency.Reject, idempotency.Fenced:
		return nil, outcome.NewNotRun(v.Reason()).Permanent()
	case idempotency.Unknown, idempotency.Wait:
		return nil, outcome.NewUnknown(v.Reason(), nil)
	case idempotency.Run:
	}
	for _, earlier := range homes.Previous() {
		answer, err := r.askEarlier(ctx, earlier.ID().Node(), earlier.PeerAddress(), earlier.ID().Address(), c)
		if err != nil {
			r.ledger.MarkUnknown(key)
			return nil, err
		}
		if answer != nil {
			return r.adopt(key, answer)
		}
	}
	return r.record(ctx, key, c, body)
}

// adopt takes over the record of an earlier home.
func (r *Runner) adopt(key idempotency.Key, answer *attempt.Response) (*attempt.Response, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body(), idempotency.MaxRecordBytes+1))
	answer.Finish(err)
	if err != nil {
		r.ledger.MarkUnknown(key)
		return nil, outcome.NewUnknown("the record of the key is not whole", err)
	}
	record := idempotency.NewRecord(answer.Status(), answer.Header(), body)
	r.ledger.Complete(key, record)
	return replay(record), nil
}

// askEarlier returns nothing when the earlier home promised never to run the
// key.
func (r *Runner) askEarlier(ctx context.Context, node, peer, address string, c attempt.Call) (*attempt.Response, error) {
	inquiry := c.WithFence().WithAddress(address).WithTimeout(remaining(ctx, r.now()))
	if node == r.node {
		key := idempotency.NewKey(c.Service(), c.Key())
		answer, err := r.inquired(r.ledger.Fence(ctx, key, c.KeyCreated()))
		return answer, unlessPromised(err)
	}
	answer, err := r.ask(ctx, node, peer, inquiry)
	return answer, unlessPromised(err)
}

func unlessPromised(err error) error {
	if err == nil {
		return nil
	}
	if notRun, ok := outcome.AsNotRun(err); ok && notRun.Reason() == reasonPromised {
		return nil
	}
	return outcome.NewUnknown("an earlier home of the key does not answer", err)
}

// record runs a keyed request and keeps its answer.
func (r *Runner) record(ctx context.Context, key idempotency.Key, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	answer, err := r.attempt(ctx, c, body)
	if err != nil {
		if _, ok := outcome.AsNotRun(err); ok {
			r.ledger.Discard(key)
		} else {
			r.ledger.MarkUnknown(key)
		}
		return nil, err
	}
	copied := &bytes.Buffer{}
	recorded := io.TeeReader(answer.Body(), &boundedBuffer{buffer: copied})
	finish := func(bodyErr error) load.Report {
		if bodyErr == nil {
			r.ledger.Complete(key, idempotency.NewRecord(answer.Status(), answer.Header(), copied.Bytes()))
		} else {
			r.ledger.MarkUnknown(key)
		}
		return answer.Finish(bodyErr)
	}
	return attempt.NewResponse(answer.Status(), answer.Header(), answer.Length(), recorded, answer.Trailer, answer.Report, finish), nil
}

// boundedBuffer keeps up to one byte more than a record may hold, so that the
// ledger sees that the answer was too long.
type boundedBuffer struct {
	buffer *bytes.Buffer
}

// Write implements io.Writer; it never fails.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	room := idempotency.MaxRecordBytes + 1 - b.buffer.Len()
	b.buffer.Write(p[:min(len(p), max(room, 0))])
	return len(p), nil
}

func replay(r idempotency.Record) *attempt.Response {
	header := r.Header().Clone()
	header.Set("Savorygap-Replayed", "true")
	none := func() load.Report { return load.Report{} }
	return attempt.NewResponse(r.Status(), header, int64(len(r.Body())), bytes.NewReader(r.Body()),
		func() http.Header { return nil }, none, func(error) load.Report { return load.Report{} })
}

// attempt asks for a slot and sends the request once.
func (r *Runner) attempt(ctx context.Context, c attempt.Call, body io.Reader) (*attempt.Response, error) {
	keeper, ok := r.registry.Lookup(ctx, c.Service(), c.Address())
	if !ok {
		return nil, outcome.NewNotRun("no such server")
	}
	deadline := r.now().Add(remaining(ctx, r.now()))
	slot := keeper.Acquire(ctx, c.Class(), c.Depth(), c.Short(), c.FailFast(), deadline)
	if !slot.Granted() {
		return nil, outcome.NewNotRun(slot.Reason().String()).WithReport(slot.Report())
	}
	request, err := r.request(ctx, c, body)
	if err != nil {
		keeper.giveBack(slot)
		return nil, outcome.NewNotRun("malformed request").Permanent()
	}
	c.NotifyAdmitted()
	x, err := keeper.Send(ctx, slot, c.Address(), request)
	if err != nil {
		return nil, err
	}
	return answerOf(x), nil
}

// giveBack releases a slot that was not used.
func (k *Keeper) giveBack(s Slot) {
	k.Release(s, s.conn, admission.ResultIgnored, 0)
}

func (r *Runner) request(ctx context.Context, c attempt.Call, body io.Reader) (*http.Request, error) {
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
	request.Header.Set(HeaderTimeout, strconv.FormatInt(remaining(ctx, r.now()).Milliseconds(), 10))
	if c.Key() != "" {
		request.Header.Set(HeaderKey, c.Key())
	}
	return request, nil
}

// addTrailers announces the trailer fields and fills in their values when the
// body was read to its end. HTTP/1.1 sends them after a chunked body.
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

const noDeadline = time.Hour

func remaining(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadline
	}
	return max(deadline.Sub(now), 0)
}

func answerOf(x *Exchange) *attempt.Response {
	response := x.Response()
	trailer := func() http.Header { return response.Trailer }
	return attempt.NewResponse(response.StatusCode, response.Header, response.ContentLength,
		response.Body, trailer, x.Report, x.Finish)
}
