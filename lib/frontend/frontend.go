package frontend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/headernames"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// acceptRetryDelay is the delay after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// unreadRetryAfter is the retry delay of a request that could not be read, for
// example for want of memory, which a body holds for about as long.
const unreadRetryAfter = 200 * time.Millisecond

// Config holds the frontend's static settings.
type Config struct {
	names         headernames.Set
	originService string
	nested        func(id string) bool
	apiKey        func(http.Header) string
}

// NewConfig returns the settings of a frontend. originService is the service of
// the server on this host. nested reports, given an attempt ID, whether the
// attempt is a nested call, that is, one that a running request waits for.
func NewConfig(names headernames.Set, originService string, nested func(id string) bool) Config {
	return Config{names: names, originService: originService, nested: nested, apiKey: func(http.Header) string { return "" }}
}

// WithAPIKey returns the settings with a function that returns the API key in the header
// of a request, "" if there is none.
func (c Config) WithAPIKey(apiKey func(http.Header) string) Config {
	c.apiKey = apiKey
	return c
}

// Frontend serves HTTP/1.1 requests from callers.
type Frontend struct {
	config          Config
	serve           func(ctx context.Context, c dispatch.Call) *upstream.Response
	clock           clockwork.Clock
	log             *eventlog.Log
	limits          atomic.Pointer[routeconfig.Limits]
	draining        chan struct{}
	openConnections atomic.Int64
	memory          *upstream.BodyMemory
}

// New returns a frontend that passes requests to serve. The bodies of requests take their
// memory from memory; a request whose body gets none is refused.
func New(config Config, serve func(context.Context, dispatch.Call) *upstream.Response, memory *upstream.BodyMemory, clock clockwork.Clock, log *eventlog.Log) *Frontend {
	f := &Frontend{config: config, serve: serve, clock: clock, log: log, draining: make(chan struct{}), memory: memory}
	limits := routeconfig.DefaultLimits()
	f.limits.Store(&limits)
	return f
}

// SetLimits sets the limits that apply from the next request of each
// connection.
func (f *Frontend) SetLimits(l routeconfig.Limits) { f.limits.Store(&l) }

// Drain closes each connection after its next request or, if none arrives, after
// drainIdleTimeout. It must be called only once.
func (f *Frontend) Drain() { close(f.draining) }

// OpenConnections returns the number of open connections.
func (f *Frontend) OpenConnections() int { return int(f.openConnections.Load()) }

// Run accepts connections until the listener is closed.
func (f *Frontend) Run(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			f.log.Write("accept-failed", "error", err.Error())
			f.clock.Sleep(acceptRetryDelay)
			continue
		}
		f.openConnections.Add(1)
		c := newConn(f, raw)
		go func() {
			defer f.openConnections.Add(-1)
			c.run(ctx)
		}()
	}
}

func (f *Frontend) isDraining() bool {
	select {
	case <-f.draining:
		return true
	default:
		return false
	}
}

// errorResponse returns the response to a request that was not passed on.
func errorResponse(e *MalformedRequestError) *upstream.Response {
	header := http.Header{"Content-Type": {"text/plain"}}
	if e.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(unreadRetryAfter.Seconds(), 'f', -1, 64))
	}
	return upstream.NewResponse(e.status, header, []byte(e.reason+"\n"))
}

// encodeResponse returns the response in HTTP/1.1 wire format. The body is not copied.
func (f *Frontend) encodeResponse(response *upstream.Response, id, method string, last bool) net.Buffers {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(response.Status()), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(response.Status())...)
	b = append(b, "\r\n"...)
	for name, values := range response.Header() {
		if name == f.config.names.AttemptID() {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	if id != "" {
		b = appendField(b, f.config.names.AttemptID(), id)
	}
	if last {
		b = appendField(b, "Connection", "close")
	}
	if statesLength(response, method) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(response.Body())))
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead {
		return net.Buffers{b}
	}
	return net.Buffers{b, response.Body()}
}

// statesLength reports whether the length of the body is that of the resource. A response of a
// server to a HEAD request has no body, and its length is not known.
func statesLength(response *upstream.Response, method string) bool {
	if response.Status() == http.StatusNoContent || response.Status() == http.StatusNotModified {
		return false
	}
	return method != http.MethodHead || len(response.Body()) > 0
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
