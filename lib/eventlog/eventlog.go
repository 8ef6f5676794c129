// Package eventlog writes events as JSON lines without blocking its callers.
//
// A Log passes each line to a single task that owns the output. Lines that
// exceed the rate limit, or that find the buffer full, are dropped and counted;
// the count is logged before the next line that is written.
//
// # Usage
//
//	l := eventlog.New(os.Stdout, clock, "host-1")
//	go l.Run(ctx)
//	l.Write("refused", "request", id, "reason", "no place")
package eventlog

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"savorygap.example/lib/task"
)

const (
	// linesPerSecond bounds the cost of logging. The smallest hosts have a third of a
	// CPU core; writing this many lines a second takes about 2% of that share.
	linesPerSecond = 400
	maxBurst       = 400 // lines
	bufferSize     = 256 // lines
)

// Log is an event log. Its Write method is safe for concurrent use.
type Log struct {
	lines   chan []any
	done    chan struct{}
	logger  kitlog.Logger
	clock   clockwork.Clock
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// New returns a log that writes to w and adds the name of the host to each
// line.
func New(w io.Writer, clock clockwork.Clock, host string) *Log {
	return &Log{
		lines: make(chan []any, bufferSize), done: make(chan struct{}),
		logger: kitlog.With(kitlog.NewJSONLogger(w), "host", host),
		clock:  clock, limiter: rate.NewLimiter(linesPerSecond, maxBurst),
	}
}

// Write logs one event. fields holds alternating names and values.
func (l *Log) Write(event string, fields ...any) {
	now := l.clock.Now()
	if !l.limiter.AllowN(now, 1) {
		l.dropped.Add(1)
		return
	}
	line := make([]any, 0, len(fields)+4)
	line = append(line, "time", now.UTC().Format(time.RFC3339Nano), "event", event)
	line = append(line, fields...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

// WritePanic logs a panic that a task has survived, with its stack.
func (l *Log) WritePanic(name string, e *task.PanicError) {
	l.Write("panic", "task", name, "error", e.Error(), "stack", e.Stack())
}

// Writer returns a writer that logs each write as one event, for the logs of
// libraries.
func (l *Log) Writer(event string) io.Writer { return &lineWriter{log: l, event: event} }

type lineWriter struct {
	log   *Log
	event string
}

// Write implements io.Writer.
func (w *lineWriter) Write(text []byte) (int, error) {
	w.log.Write(w.event, "error", strings.TrimSpace(string(text)))
	return len(text), nil
}

// Dropped returns the number of lines dropped since the count was last logged.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Run writes lines until ctx ends, then writes the lines still buffered.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

// Done returns a channel that is closed after the last line is written.
func (l *Log) Done() <-chan struct{} { return l.done }

func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

// write writes one line, after a count of dropped lines if there are any.
// Errors are ignored because there is no other place to report them.
func (l *Log) write(line []any) {
	if n := l.dropped.Swap(0); n > 0 {
		_ = l.logger.Log("event", "lines-dropped", "count", n)
	}
	_ = l.logger.Log(line...)
}
