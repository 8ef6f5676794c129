// Package idempotency keeps non-idempotent requests with an Idempotency-Key from
// running twice.
//
// A key is a UUIDv7, whose time says when the caller made it. Each key has one
// home among the targets of its service, found by rendezvous hashing over the
// targets that were settled when the key was made. The node beside the home
// remembers the key: a repeat waits for the first run, then gets its recorded
// answer. A home that took over asks the earlier homes, which either give the
// record or promise never to run the key. Where that cannot be learned the
// outcome is unknown, and the key is not run.
//
// The guarantee holds while the nodes that share a service see the same
// targets, and for a caller whose clock is within MaxSkew. Two sides of a
// network partition that both receive the same key may each run it once; see
// docs/DESIGN.md.
//
// # Usage
//
//	m := once.NewMemory(once.DefaultBounds(), now)
//	switch v := m.Begin(now, key, created); v.Kind() {
//	case once.Run: ...
//	case once.Replay: ...
//	}
//
// A Memory belongs to one goroutine; Ledger is the task around it.
package idempotency

import (
	"container/list"
	"net/http"
	"time"
)

const (
	// MaxClockSkew is how far a caller's clock may differ from a node's.
	MaxClockSkew = 2 * time.Second
	// MinTargetAge is how long a target must have been announced before a key is
	// made that it may be the home of.
	MinTargetAge = 5 * time.Second
	// Retention is how long a key is remembered at least, within the bounds.
	Retention = 10 * time.Minute
	// MaxRecordBytes is the largest recorded answer body in bytes.
	MaxRecordBytes = 64 << 10
)

// Key identifies a request within a service.
type Key struct {
	service string
	value   string
}

// NewKey returns a key.
func NewKey(service, value string) Key { return Key{service: service, value: value} }

// Service returns the service.
func (k Key) Service() string { return k.service }

// Value returns the caller's key.
func (k Key) Value() string { return k.value }

// Record is a whole recorded answer.
type Record struct {
	status int
	header http.Header
	body   []byte
}

// NewRecord returns a record.
func NewRecord(status int, header http.Header, body []byte) Record {
	return Record{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r Record) Status() int { return r.status }

// Header returns the HTTP header fields.
func (r Record) Header() http.Header { return r.header }

// Body returns the body.
func (r Record) Body() []byte { return r.body }

// Kind says what to do with a keyed request.
type Kind uint8

// The kinds of verdicts.
const (
	// Run: this is the first arrival; run it and report the end.
	Run Kind = iota
	// Wait: the first arrival still runs.
	Wait
	// Replay: answer with the record.
	Replay
	// Unknown: it may have run; do not run it.
	Unknown
	// Reject: it was certainly not run and will not be.
	Reject
	// Fenced: it was never run here and never will be.
	Fenced
)

// Decision is the answer to a keyed request.
type Decision struct {
	kind   Kind
	record Record
	reason string
}

// Kind returns what to do.
func (v Decision) Kind() Kind { return v.kind }

// Record returns the record to replay.
func (v Decision) Record() Record { return v.record }

// Reason says why the outcome is uncertain or the request rejected.
func (v Decision) Reason() string { return v.reason }

// Limits limits a memory.
type Limits struct {
	keys  int
	bytes int
}

// NewLimits returns bounds in keys and in bytes of recorded answers.
func NewLimits(keys, bytes int) Limits { return Limits{keys: keys, bytes: bytes} }

// DefaultLimits returns 20,000 keys and 8 MiB of answers.
func DefaultLimits() Limits { return NewLimits(20_000, 8<<20) }

type phase uint8

const (
	phaseRunning phase = iota
	phaseDone
	phaseUncertain
	phaseFenced
)

type entry struct {
	key     Key
	created time.Time
	seen    time.Time
	phase   phase
	record  Record
}

// Table remembers keys within its bounds.
type Table struct {
	bounds    Limits
	started   time.Time
	forgotten time.Time
	entries   map[Key]*list.Element
	order     *list.List
	bytes     int
}

// NewTable returns an empty memory that knows of nothing before now.
func NewTable(bounds Limits, now time.Time) *Table {
	return &Table{bounds: bounds, started: now, entries: map[Key]*list.Element{}, order: list.New()}
}

// Len returns how many keys are remembered.
func (m *Table) Len() int { return m.order.Len() }

// Bytes returns the size of the recorded answers in bytes.
func (m *Table) Bytes() int { return m.bytes }

// Begin decides on an arrival of a key at its home.
func (m *Table) Begin(now time.Time, key Key, created time.Time) Decision {
	if v, known := m.known(key); known {
		return v
	}
	if created.After(now.Add(MaxClockSkew)) {
		return Decision{kind: Reject, reason: "the time in the key lies in the future"}
	}
	if !m.covers(now, created) {
		return Decision{kind: Unknown, reason: "the key is older than the memory of its home"}
	}
	m.insert(now, key, created, phaseRunning)
	return Decision{kind: Run}
}

// Fence answers another node that became the home of a key: with what is
// known, or with the promise never to run the key here.
func (m *Table) Fence(now time.Time, key Key, created time.Time) Decision {
	if v, known := m.known(key); known {
		return v
	}
	if !m.covers(now, created) {
		return Decision{kind: Unknown, reason: "the key is older than the memory of its earlier home"}
	}
	m.insert(now, key, created, phaseFenced)
	return Decision{kind: Fenced}
}

func (m *Table) known(key Key) (Decision, bool) {
	element, ok := m.entries[key]
	if !ok {
		return Decision{}, false
	}
	e := element.Value.(*entry)
	switch e.phase {
	case phaseRunning:
		return Decision{kind: Wait}, true
	case phaseDone:
		return Decision{kind: Replay, record: e.record}, true
	case phaseFenced:
		return Decision{kind: Fenced, reason: "the key has another home"}, true
	}
	return Decision{kind: Unknown, reason: "the first run of the key has no recorded answer"}, true
}

// covers reports whether a key made at created cannot have been here before
// without being remembered.
func (m *Table) covers(now, created time.Time) bool {
	earliest := created.Add(-MaxClockSkew)
	return earliest.After(m.started) && earliest.After(m.forgotten) && now.Sub(created) < Retention
}

func (m *Table) insert(now time.Time, key Key, created time.Time, p phase) {
	m.evict(now)
	m.entries[key] = m.order.PushBack(&entry{key: key, created: created, seen: now, phase: p})
}

// evict makes room for one more key. A key that is running stays. Once a key
// was forgotten, keys as old as it are no longer run.
func (m *Table) evict(now time.Time) {
	for element := m.order.Front(); element != nil; {
		e := element.Value.(*entry)
		next := element.Next()
		over := m.order.Len() >= m.bounds.keys || m.bytes > m.bounds.bytes
		expired := now.Sub(e.seen) > Retention+MaxClockSkew
		if !over && !expired {
			return
		}
		if e.phase != phaseRunning {
			m.forget(element, e)
		}
		element = next
	}
}

func (m *Table) forget(element *list.Element, e *entry) {
	m.order.Remove(element)
	delete(m.entries, e.key)
	m.bytes -= len(e.record.body)
	if e.created.After(m.forgotten) {
		m.forgotten = e.created
	}
}

// Complete records the whole answer of a run.
func (m *Table) Complete(key Key, r Record) {
	e := m.running(key)
	if e == nil {
		return
	}
	if len(r.body) > MaxRecordBytes {
		e.phase = phaseUncertain
		return
	}
	e.phase = phaseDone
	e.record = r
	m.bytes += len(r.body)
}

// MarkUnknown records that the outcome of a run is unknown.
func (m *Table) MarkUnknown(key Key) {
	if e := m.running(key); e != nil {
		e.phase = phaseUncertain
	}
}

// Discard forgets a run of which no byte was written, so that a repeat may
// run.
func (m *Table) Discard(key Key) {
	if e := m.running(key); e != nil {
		element := m.entries[key]
		m.order.Remove(element)
		delete(m.entries, key)
	}
}

func (m *Table) running(key Key) *entry {
	element, ok := m.entries[key]
	if !ok {
		return nil
	}
	e := element.Value.(*entry)
	if e.phase != phaseRunning {
		return nil
	}
	return e
}
