// Package registry defines the records that nodes read from and write to the
// platform's store: the operators' configuration, evacuated data centres, member
// nodes, and the departures of servers.
//
// A Store is made of functions that implement the protocol of a particular store. A
// Watcher keeps a node up to date with the store and takes turns with the other
// nodes. A Registrar writes the records of its node.
//
// # Usage
//
//	s := registry.NewStore(read, watch, put, remove)
//	w, err := registry.NewWatcher(s, charts, clock, share, announce, update, observeResult)
//	go w.Run(ctx)
//	r := registry.NewRegistrar(s, clock, "host-1", observeResult)
//	go r.Run(ctx)
package registry

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	// KindConfiguration is the operators' configuration. It has no name, since there
	// is only one.
	KindConfiguration Kind = iota
	// KindEvacuation marks a data centre as evacuated. Its name is the data centre.
	KindEvacuation
	// KindMember is the entry of a node. Its name is the node.
	KindMember
	// KindDeparture is the last departure of a server on a node's host. Its name is
	// the node.
	KindDeparture
	// KindRolloutOrder is the operators' order to move a service to a version. Its name is
	// the service.
	KindRolloutOrder
	// KindRollout is the state of a rollout that nodes keep. Its name is the service.
	KindRollout
	// KindRolloutStatus is the state of a rollout as operators see it. Its name is the
	// service. Nodes write it and do not read it.
	KindRolloutStatus
)

var kindNames = []string{"configuration", "evacuation", "member", "departure", "rollout-order", "rollout", "rollout-status"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Record is an entry of the store at a version.
type Record struct {
	kind    Kind
	name    string
	value   []byte
	version uint64
	removed bool
}

// NewRecord returns a record.
func NewRecord(kind Kind, name string, value []byte) Record {
	return Record{kind: kind, name: name, value: value}
}

// NewDeparture returns the record of the departure of a server instance on a node's
// host. startedAt is when the instance was started, in milliseconds of Unix time.
func NewDeparture(node, instance string, startedAt int64) Record {
	return NewRecord(KindDeparture, node, []byte(strconv.FormatInt(startedAt, 10)+" "+instance))
}

// Departure returns the instance of a departure and when it was started, in
// milliseconds of Unix time. A start time that cannot be parsed counts as
// math.MaxInt64, so that the departure applies to any start of the instance.
func (r Record) Departure() (instance string, startedAt int64) {
	text, instance, _ := strings.Cut(string(r.value), " ")
	startedAt, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return instance, math.MaxInt64
	}
	return instance, startedAt
}

// WithVersion returns the record with the store version at which it was written.
func (r Record) WithVersion(version uint64) Record {
	r.version = version
	return r
}

// AsRemoved returns the record marked as removed.
func (r Record) AsRemoved() Record {
	r.removed = true
	return r
}

// Kind returns the kind of the record.
func (r Record) Kind() Kind { return r.kind }

// Name returns the name of the record, which is unique within its kind.
func (r Record) Name() string { return r.name }

// Value returns the value.
func (r Record) Value() []byte { return r.value }

// Version returns the store version at which the record was written or removed.
func (r Record) Version() uint64 { return r.version }

// Removed reports whether the record was removed.
func (r Record) Removed() bool { return r.removed }

// Store reads and writes the platform's store through the functions that it is made
// of.
type Store struct {
	read   func(ctx context.Context) ([]Record, uint64, error)
	watch  func(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error)
	put    func(ctx context.Context, r Record) error
	remove func(ctx context.Context, r Record) error
	swap   func(ctx context.Context, expected Record, writes []Record) (uint64, error)
	// eraStart returns the lowest version of the era of a version.
	eraStart func(version uint64) uint64
}

// NewStore returns a store made of four functions.
func NewStore(
	read func(context.Context) ([]Record, uint64, error),
	watch func(context.Context, uint64, time.Duration) ([]Record, uint64, error),
	put func(context.Context, Record) error,
	remove func(context.Context, Record) error,
) *Store {
	return &Store{read: read, watch: watch, put: put, remove: remove, eraStart: func(uint64) uint64 { return 0 }}
}

// WithEras returns the store with a function that returns the lowest version of the era
// to which a version belongs. Without it the store has one era.
func (s *Store) WithEras(eraStart func(version uint64) uint64) *Store {
	s.eraStart = eraStart
	return s
}

// EraStart returns the lowest version of the era to which a version belongs.
func (s *Store) EraStart(version uint64) uint64 { return s.eraStart(version) }

// Read returns all records and the version of the store at the read.
func (s *Store) Read(ctx context.Context) ([]Record, uint64, error) { return s.read(ctx) }

// Watch waits for changes after a version, at most for the time wait. It returns
// them with the version from which to continue. When the store no longer has them,
// it returns a *HistoryLostError, and an *EraChangedError when the store was restored to
// an older state.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error) {
	return s.watch(ctx, after, wait)
}

// Put writes a record unconditionally.
func (s *Store) Put(ctx context.Context, r Record) error { return s.put(ctx, r) }

// Remove removes a record if its version is still current, and returns a
// *ConflictError otherwise.
func (s *Store) Remove(ctx context.Context, r Record) error { return s.remove(ctx, r) }

// ConflictError reports that a record has changed since it was read.
type ConflictError struct {
	record Record
}

// NewConflictError returns the error for a record.
func NewConflictError(r Record) *ConflictError { return &ConflictError{record: r} }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s record %q is no longer at version %d", e.record.kind, e.record.name, e.record.version)
}

// HistoryLostError reports that the changes after a version are no longer
// available, so that all records have to be read.
type HistoryLostError struct {
	after uint64
	cause error
}

// NewHistoryLostError returns the error for the changes after a version.
func NewHistoryLostError(after uint64, cause error) *HistoryLostError {
	return &HistoryLostError{after: after, cause: cause}
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes after version %d are no longer available: %v", e.after, e.cause)
}

// Unwrap returns the cause.
func (e *HistoryLostError) Unwrap() error { return e.cause }

// UnavailableError reports a call that the store refused or did not answer. A call
// without an answer may have taken effect.
type UnavailableError struct {
	call    string
	status  int
	refused bool
	cause   error
}

// NewUnavailableError returns the error for a call that got no answer.
func NewUnavailableError(call string, cause error) *UnavailableError {
	return &UnavailableError{call: call, cause: cause}
}

// NewRefusedError returns the error for a call that the store refused with a status.
func NewRefusedError(call string, status int) *UnavailableError {
	return &UnavailableError{call: call, status: status, refused: true}
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.refused {
		return fmt.Sprintf("store call %q was refused with status %d", e.call, e.status)
	}
	return fmt.Sprintf("store call %q got no answer: %v", e.call, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }
