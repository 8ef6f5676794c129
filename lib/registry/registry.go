// Package registry names what nodes keep in, and read from, the platform's
// store: the operators' configuration, the data centres that are out of
// service, the nodes that live, and the servers that leave.
//
// A Store is a concrete type made of function fields; a front end fills them
// with the protocol of its store. A Follower keeps a node up to date with it, in
// turns with other nodes; a Registrar writes what concerns the node.
//
// # Usage
//
//	s := registry.NewStore(read, follow, put, remove)
//	f := registry.NewFollower(s, clock, share, tell, update, health)
//	go f.Run(ctx)
//	r := registry.NewRegistrar(s, clock, "host-1", health)
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

// Kind says what a record is about.
type Kind uint8

// The kinds of records.
const (
	// KindConfiguration is the operators' configuration; there is one.
	KindConfiguration Kind = iota
	// KindEvacuation is a data centre that is out of service, by its name.
	KindEvacuation
	// KindMember is a node that lives, by its name.
	KindMember
	// KindDeparture is the server that left last beside a node, by the node's name.
	KindDeparture
)

var kindNames = []string{"configuration", "evacuation", "member", "departure"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Record is one thing in the store at a version.
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

// NewDeparture returns the record that the instance beside a node leaves, which
// was started at born, in milliseconds of Unix time.
func NewDeparture(node, instance string, born int64) Record {
	return NewRecord(KindDeparture, node, []byte(strconv.FormatInt(born, 10)+" "+instance))
}

// Departure returns the instance of a departure, and when it was started, in
// milliseconds of Unix time. A start that cannot be read holds for any.
func (r Record) Departure() (instance string, born int64) {
	text, instance, _ := strings.Cut(string(r.value), " ")
	born, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return instance, math.MaxInt64
	}
	return instance, born
}

// WithVersion returns the record with the version of the store that wrote it.
func (r Record) WithVersion(version uint64) Record {
	r.version = version
	return r
}

// AsRemoved returns the record marked as removed.
func (r Record) AsRemoved() Record {
	r.removed = true
	return r
}

// Kind returns what the record is about.
func (r Record) Kind() Kind { return r.kind }

// Name returns the name within the kind.
func (r Record) Name() string { return r.name }

// Value returns the value.
func (r Record) Value() []byte { return r.value }

// Version returns the version of the store that wrote or removed the record.
func (r Record) Version() uint64 { return r.version }

// Removed reports whether the record was removed.
func (r Record) Removed() bool { return r.removed }

// Store is the platform's store. Its fields are seams.
type Store struct {
	read   func(ctx context.Context) ([]Record, uint64, error)
	follow func(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error)
	put    func(ctx context.Context, r Record) error
	remove func(ctx context.Context, r Record) error
}

// NewStore returns a store made of four functions.
func NewStore(
	read func(context.Context) ([]Record, uint64, error),
	follow func(context.Context, uint64, time.Duration) ([]Record, uint64, error),
	put func(context.Context, Record) error,
	remove func(context.Context, Record) error,
) *Store {
	return &Store{read: read, follow: follow, put: put, remove: remove}
}

// Read returns all records and the version of the store that they are from.
func (s *Store) Read(ctx context.Context) ([]Record, uint64, error) { return s.read(ctx) }

// Watch waits for changes after a version, for as long as wait. It returns them
// with the version to go on from, and *HistoryLostError when the store no longer
// knows them.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error) {
	return s.follow(ctx, after, wait)
}

// Put writes a record, whatever was there before.
func (s *Store) Put(ctx context.Context, r Record) error { return s.put(ctx, r) }

// Remove removes a record if it still is at its version. It returns *ChangedError
// when it is not.
func (s *Store) Remove(ctx context.Context, r Record) error { return s.remove(ctx, r) }

// ConflictError reports a record that has changed since it was read.
type ConflictError struct {
	record Record
}

// NewConflictError returns the error for a record.
func NewConflictError(r Record) *ConflictError { return &ConflictError{record: r} }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the %s record of %q is not at version %d any more", e.record.kind, e.record.name, e.record.version)
}

// HistoryLostError reports that the changes after a version cannot be had, and
// that all records have to be read.
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
	return fmt.Sprintf("the changes after version %d cannot be had: %v", e.after, e.cause)
}

// Unwrap returns the cause.
func (e *HistoryLostError) Unwrap() error { return e.cause }

// UnavailableError reports a call that the store did not serve. It may have
// taken effect unless the store refused it.
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
