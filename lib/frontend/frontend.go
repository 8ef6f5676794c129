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

// acceptPause is how long accepting waits after it failed, as when descriptors
// run out.
const acceptPause = 50 * time.Millisecond

// Config is what a front knows from the settings.
type Config struct {
	names  headernames.Set
	origin string
	nested func(id string) bool
}

// NewConfig returns the configuration of a front on a host whose own server
// serves the service origin. nested tells by the id of an attempt whether it is a
// call that a running request waits for.
func NewConfig(names headernames.Set, origin string, nested func(id string) bool) Config {
	return Config{names: names, origin: origin, nested: nested}
}

// Frontend serves callers.
type Frontend struct {
	config   Config
	serve    func(ctx context.Context, c dispatch.Call) *upstream.Response
	clock    clockwork.Clock
	log      *eventlog.Log
	limits   atomic.Pointer[routeconfig.Limits]
	draining chan struct{}
	open     atomic.Int64
	held     atomic.Int64
	bodyRoom int64
}

// New returns a front that passes requests to serve and holds at most bodyRoom
// bytes of bodies at once.
func New(config Config, serve func(context.Context, dispatch.Call) *upstream.Response, bodyRoom int64, clock clockwork.Clock, log *eventlog.Log) *Frontend {
	f := &Frontend{config: config, serve: serve, clock: clock, log: log, draining: make(chan struct{}), bodyRoom: bodyRoom}
	limits := routeconfig.DefaultLimits()
	f.limits.Store(&limits)
	return f
}

// SetLimits puts the limits on callers in force for the next request of each
// connection.
func (f *Frontend) SetLimits(l routeconfig.Limits) { f.limits.Store(&l) }

// Drain lets each connection end with its next answer, and idle ones at once. It
// is called once.
func (f *Frontend) Drain() { close(f.draining) }

// OpenConnections returns the number of open connections.
func (f *Frontend) OpenConnections() int { return int(f.open.Load()) }

// Run takes connections until the listener is closed.
func (f *Frontend) Run(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			f.log.Write("accept-failed", "error", err.Error())
			f.clock.Sleep(acceptPause)
			continue
		}
		f.open.Add(1)
		c := newConn(f, raw)
		go func() {
			defer f.open.Add(-1)
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

// refusal is the answer to a malformed request.
func refusal(e *MalformedRequestError) *upstream.Response {
	return upstream.NewResponse(e.status, http.Header{"Content-Type": {"text/plain"}}, []byte(e.reason+"\n"))
}

// encodeAnswer writes an answer as it goes to the caller.
func (f *Frontend) encodeAnswer(a *upstream.Response, id, method string, last bool) []byte {
	b := make([]byte, 0, 256+len(a.Body()))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status()), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status())...)
	b = append(b, "\r\n"...)
	for name, values := range a.Header() {
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
	if a.Status() != http.StatusNoContent && a.Status() != http.StatusNotModified {
		b = appendField(b, "Content-Length", strconv.Itoa(len(a.Body())))
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead {
		return b
	}
	return append(b, a.Body()...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
