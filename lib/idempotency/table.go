// Package idempotency prevents non-idempotent requests with an Idempotency-Key
// from running twice.
//
// A key is a UUIDv7, which contains the time at which the caller created it.
// Every key has one home among the targets of its service. The home is chosen
// by rendezvous hashing over the targets that were announced at least
// MinTargetAge before the key was created. The node on the home's host
// remembers the key: a repeated request waits for the first run and then gets
// the recorded response. When the home changes, the new home asks the previous
// homes. Each returns its recorded response or fences the key, that is,
// guarantees that it will never run it. If a previous home gives neither, the
// outcome is unknown and the key is not run.
//
// The guarantee holds while the nodes that share a service see the same
// targets, and for callers whose clocks differ from the nodes' by at most
// MaxClockSkew. If both sides of a network partition receive the same key, each
// may run it once; see docs/DESIGN.md.
//
// # Usage
//
//	t := idempotency.NewTable(idempotency.DefaultLimits(), now)
//	switch d := t.Begin(now, key, created); d.Kind() {
//	case idempotency.Run: ...
//	case idempotency.Replay: ...
//	}
//
// A Table belongs to one goroutine. Tracker is a task that owns a Table.
package idempotency

import (
	"container/list"
	"net/http"
	"time"
)

const (
	// MaxClockSkew is the largest allowed difference between the clocks of a
	// caller and a node.
	MaxClockSkew = 2 * time.Second
	// MinTargetAge is how long before the creation of a key a target must have
	// been announced to be a possible home of the key.
	MinTargetAge = 5 * time.Second
	// Retention is the minimum time for which a key is remembered, unless the
	// Limits are exceeded.
	Retention = 10 * time.Minute
	// MaxRecordBytes is the largest response body that is recorded.
	MaxRecordBytes = 64 << 10
)

// Key identifies a request within a service.
type Key struct {
	service string
	value   string
}

// NewKey returns the key with the given value in a service.
func NewKey(service, value string) Key { return Key{service: service, value: value} }

// Service returns the service.
func (k Key) Service() string { return k.service }

// Value returns the value that the caller sent.
func (k Key) Value() string { return k.value }

// Record is a complete recorded response.
type Record struct {
	status int
	header http.Header
	body   []byte
}

// NewRecord returns a record.
func NewRecord(status int, header http.Header, body []byte) Record {
	return Record{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (r Record) Status() int { return r.status }

// Header returns the HTTP header fields.
func (r Record) Header() http.Header { return r.header }

// Body returns the body.
func (r Record) Body() []byte { return r.body }

// Kind says how to handle a request with a key.
type Kind uint8

// Kinds of decisions.
const (
	// Run: this is the first request with the key. Run it and report its end.
	Run Kind = iota
	// Wait: the first request is still running.
	Wait
	// Replay: return the recorded response.
	Replay
	// Unknown: the request may have run. Do not run it.
	Unknown
	// Reject: the request was not run and will not be.
	Reject
	// Fenced: the key was never run here and never will be.
	Fenced
)

// Decision says how to handle a request with a key.
type Decision struct {
	kind   Kind
	record Record
	reason string
}

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// Record returns the recorded response of a Replay decision.
func (d Decision) Record() Record { return d.record }

// Reason returns why the outcome is unknown or the request is rejected.
func (d Decision) Reason() string { return d.reason }

// Limits bounds the size of a Table.
type Limits struct {
	keys  int
	bytes int
}

// NewLimits returns limits for the number of keys and the total size in bytes
// of the recorded bodies.
func NewLimits(keys, bytes int) Limits { return Limits{keys: keys, bytes: bytes} }

// DefaultLimits returns limits of 20,000 keys and 8 MiB of recorded bodies.
func DefaultLimits() Limits { return NewLimits(20_000, 8<<20) }

type phase uint8

const (
	phaseRunning phase = iota
	phaseRecorded
	phaseUnknown
	phaseFenced
)

type entry struct {
	key        Key
	created    time.Time
	insertedAt time.Time
	phase      phase
	record     Record
}

// Table remembers keys and recorded responses within its limits.
type Table struct {
	limits        Limits
	started       time.Time
	newestEvicted time.Time
	entries       map[Key]*list.Element
	order         *list.List
	bytes         int
}

// NewTable returns an empty table. It knows nothing about requests before now.
func NewTable(limits Limits, now time.Time) *Table {
	return &Table{limits: limits, started: now, entries: map[Key]*list.Element{}, order: list.New()}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return t.order.Len() }

// Bytes returns the total size of the recorded bodies in bytes.
func (t *Table) Bytes() int { return t.bytes }

// Begin decides how to handle a request that arrived at the home of its key.
func (t *Table) Begin(now time.Time, key Key, created time.Time) Decision {
	if d, ok := t.lookup(key); ok {
		return d
	}
	if created.After(now.Add(MaxClockSkew)) {
		return Decision{kind: Reject, reason: "the time in the key lies in the future"}
	}
	if !t.covers(now, created) {
		return Decision{kind: Unknown, reason: "the key is older than the memory of its home"}
	}
	t.insert(now, key, created, phaseRunning)
	return Decision{kind: Run}
}

// Fence handles a query from the node that is the new home of a key. It returns
// what is known about the key. If nothing is, it fences the key, so that it
// will never run here.
func (t *Table) Fence(now time.Time, key Key, created time.Time) Decision {
	if d, ok := t.lookup(key); ok {
		return d
	}
	if !t.covers(now, created) {
		return Decision{kind: Unknown, reason: "the key is older than the memory of its earlier home"}
	}
	t.insert(now, key, created, phaseFenced)
	return Decision{kind: Fenced}
}

func (t *Table) lookup(key Key) (Decision, bool) {
	element, ok := t.entries[key]
	if !ok {
		return Decision{}, false
	}
	e := element.Value.(*entry)
	switch e.phase {
	case phaseRunning:
		return Decision{kind: Wait}, true
	case phaseRecorded:
		return Decision{kind: Replay, record: e.record}, true
	case phaseFenced:
		return Decision{kind: Fenced, reason: "the key has another home"}, true
	}
	return Decision{kind: Unknown, reason: "the first run of the key has no recorded answer"}, true
}

// covers reports whether the table would still contain a key created at the
// given time if a request with it had arrived before.
func (t *Table) covers(now, created time.Time) bool {
	earliest := created.Add(-MaxClockSkew)
	return earliest.After(t.started) && earliest.After(t.newestEvicted) && now.Sub(created) < Retention
}

func (t *Table) insert(now time.Time, key Key, created time.Time, p phase) {
	t.evict(now)
	t.entries[key] = t.order.PushBack(&entry{key: key, created: created, insertedAt: now, phase: p})
}

// evict removes expired keys and, if the table is at its limits, the keys that
// were inserted first. Keys that are running are not evicted. After a key was
// evicted, keys that are as old or older are no longer run.
func (t *Table) evict(now time.Time) {
	for element := t.order.Front(); element != nil; {
		e := element.Value.(*entry)
		next := element.Next()
		overLimits := t.order.Len() >= t.limits.keys || t.bytes > t.limits.bytes
		expired := now.Sub(e.insertedAt) > Retention+MaxClockSkew
		if !overLimits && !expired {
			return
		}
		if e.phase != phaseRunning {
			t.evictEntry(element, e)
		}
		element = next
	}
}

func (t *Table) evictEntry(element *list.Element, e *entry) {
	t.order.Remove(element)
	delete(t.entries, e.key)
	t.bytes -= len(e.record.body)
	if e.created.After(t.newestEvicted) {
		t.newestEvicted = e.created
	}
}

// Complete records the response of a finished run. A response larger than
// MaxRecordBytes is not recorded; its outcome becomes unknown to repeated
// requests.
func (t *Table) Complete(key Key, r Record) {
	e := t.runningEntry(key)
	if e == nil {
		return
	}
	if len(r.body) > MaxRecordBytes {
		e.phase = phaseUnknown
		return
	}
	e.phase = phaseRecorded
	e.record = r
	t.bytes += len(r.body)
}

// MarkUnknown records that the outcome of a run is unknown.
func (t *Table) MarkUnknown(key Key) {
	if e := t.runningEntry(key); e != nil {
		e.phase = phaseUnknown
	}
}

// Discard removes a run of which no byte was written to the server, so that a
// repeated request may run.
func (t *Table) Discard(key Key) {
	if e := t.runningEntry(key); e != nil {
		element := t.entries[key]
		t.order.Remove(element)
		delete(t.entries, key)
	}
}

func (t *Table) runningEntry(key Key) *entry {
	element, ok := t.entries[key]
	if !ok {
		return nil
	}
	e := element.Value.(*entry)
	if e.phase != phaseRunning {
		return nil
	}
	return e
}
