// Package registry names what nodes keep in, and read from, the platform's
// store: the operators' configuration, the data centres that are out of
// service, the nodes that live, and the servers that leave.
//
// A Store is a concrete type made of function fields; a front end fills them
// with the protocol of its store. Follow keeps a node up to date with it.
//
// # Usage
//
//	s := registry.NewStore(read, follow, grant, renew, put)
//	records, version, err := s.Read(ctx)
package registry

import (
	"context"
	"fmt"
	"math"
	"strconv"
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
	// KindDeparture is a server that leaves, by the id of its instance.
	KindDeparture
)

var kindNames = []string{"configuration", "evacuation", "member", "departure"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Lease names a lease of the store; 0 is none.
type Lease uint64

// Record is one thing in the store at a version.
type Record struct {
	kind    Kind
	name    string
	value   []byte
	version uint64
	lease   Lease
	removed bool
}

// NewRecord returns a record.
func NewRecord(kind Kind, name string, value []byte) Record {
	return Record{kind: kind, name: name, value: value}
}

// NewDeparture returns the record that an instance leaves which was started at
// born, in milliseconds of Unix time.
func NewDeparture(instance string, born int64) Record {
	return NewRecord(KindDeparture, instance, strconv.AppendInt(nil, born, 10))
}

// Born returns when the instance of a departure was started, in milliseconds of
// Unix time.
func (r Record) Born() int64 {
	born, err := strconv.ParseInt(string(r.value), 10, 64)
	if err != nil {
		// A departure without a readable start holds for any start of its instance.
		return math.MaxInt64
	}
	return born
}

// At returns the record with the version of the store that wrote it.
func (r Record) At(version uint64) Record {
	r.version = version
	return r
}

// Under returns the record with the lease that it ends with.
func (r Record) Under(l Lease) Record {
	r.lease = l
	return r
}

// Gone returns the record marked as removed.
func (r Record) Gone() Record {
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

// Lease returns the lease that the record ends with.
func (r Record) Lease() Lease { return r.lease }

// Removed reports whether the record was removed.
func (r Record) Removed() bool { return r.removed }

// Store is the platform's store. Its fields are seams.
type Store struct {
	read   func(ctx context.Context) ([]Record, uint64, error)
	follow func(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error)
	grant  func(ctx context.Context, ttl time.Duration) (Lease, error)
	renew  func(ctx context.Context, l Lease) error
	put    func(ctx context.Context, r Record) error
}

// NewStore returns a store made of five functions.
func NewStore(
	read func(context.Context) ([]Record, uint64, error),
	follow func(context.Context, uint64, time.Duration) ([]Record, uint64, error),
	grant func(context.Context, time.Duration) (Lease, error),
	renew func(context.Context, Lease) error,
	put func(context.Context, Record) error,
) *Store {
	return &Store{read: read, follow: follow, grant: grant, renew: renew, put: put}
}

// Read returns all records and the version of the store that they are from.
func (s *Store) Read(ctx context.Context) ([]Record, uint64, error) { return s.read(ctx) }

// Follow waits for changes after a version, for as long as wait. It returns them
// with the version to go on from, and *HistoryLostError when the store no longer
// knows them.
func (s *Store) Follow(ctx context.Context, after uint64, wait time.Duration) ([]Record, uint64, error) {
	return s.follow(ctx, after, wait)
}

// Grant asks for a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	return s.grant(ctx, ttl)
}

// Renew extends a lease. It returns *LapsedError when the lease has ended.
func (s *Store) Renew(ctx context.Context, l Lease) error { return s.renew(ctx, l) }

// Put writes a record under its lease, whatever was there before. It returns
// *LapsedError when the lease has ended.
func (s *Store) Put(ctx context.Context, r Record) error { return s.put(ctx, r) }

// HistoryLostError reports that the changes after a version cannot be had, and
// that all records have to be read.
type HistoryLostError struct {
	after uint64
	cause error
}

// NewHistoryLost returns the error for the changes after a version.
func NewHistoryLost(after uint64, cause error) *HistoryLostError {
	return &HistoryLostError{after: after, cause: cause}
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the changes after version %d cannot be had: %v", e.after, e.cause)
}

// Unwrap returns the cause.
func (e *HistoryLostError) Unwrap() error { return e.cause }

// LapsedError reports a lease that has ended.
type LapsedError struct {
	lease Lease
}

// NewLapsed returns the error for a lease.
func NewLapsed(l Lease) *LapsedError { return &LapsedError{lease: l} }

// Error implements error.
func (e *LapsedError) Error() string { return fmt.Sprintf("lease %d has ended", e.lease) }

// UnavailableError reports a call that the store did not serve. It may have
// taken effect unless the store refused it.
type UnavailableError struct {
	call    string
	status  int
	refused bool
	cause   error
}

// NewUnavailable returns the error for a call that got no answer.
func NewUnavailable(call string, cause error) *UnavailableError {
	return &UnavailableError{call: call, cause: cause}
}

// NewRefused returns the error for a call that the store refused with a status.
func NewRefused(call string, status int) *UnavailableError {
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
