// Package store speaks to the platform's key-value service.
//
// A Client is a concrete type made of function fields: get, compare-and-swap,
// list, watch and the three calls on leases. NewHTTP fills the fields with the
// service's HTTP and JSON protocol, which is known to http.go alone. Counted
// and Paced wrap a client so that every call is counted and kept within a
// budget.
//
// # Usage
//
//	c := store.Paced(store.NewHTTP(http.DefaultClient, "http://127.0.0.1:7600"), store.DefaultBudget(), clock)
//	entry, err := c.Get(ctx, "savorygap/configuration")
//	entry, err = c.Swap(ctx, store.NewWrite(key, value).Expecting(entry.Version()))
//
// An *AmbiguousError means that a write may or may not have taken effect.
package store

import (
	"context"
	"fmt"
	"time"
)

// Version numbers the writes to one key; 0 is the version of an absent key.
type Version uint64

// Entry is the value of a key at a version.
type Entry struct {
	key     string
	value   []byte
	version Version
}

// NewEntry returns an entry.
func NewEntry(key string, value []byte, version Version) Entry {
	return Entry{key: key, value: value, version: version}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value; nil for an absent key.
func (e Entry) Value() []byte { return e.value }

// Version returns the version; 0 for an absent key.
func (e Entry) Version() Version { return e.version }

// LeaseID names a lease that the service granted.
type LeaseID string

// Write is one compare-and-swap.
type Write struct {
	key      string
	value    []byte
	expected Version
	lease    LeaseID
}

// NewWrite returns a write that expects the key to be absent.
func NewWrite(key string, value []byte) Write { return Write{key: key, value: value} }

// WithExpectedVersion returns the write with the condition that the key is at version v.
func (w Write) WithExpectedVersion(v Version) Write {
	w.expected = v
	return w
}

// WithLease returns the write with its key bound to a lease: the key is removed
// when the lease lapses.
func (w Write) WithLease(id LeaseID) Write {
	w.lease = id
	return w
}

// Key returns the key to write.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// ExpectedVersion returns the version that the key must be at.
func (w Write) ExpectedVersion() Version { return w.expected }

// Lease returns the lease that the key is bound to, if any.
func (w Write) Lease() LeaseID { return w.lease }

// Client is the narrow view of the service. Its fields are seams: tests and
// wrappers replace them.
type Client struct {
	get    func(ctx context.Context, key string) (Entry, error)
	list   func(ctx context.Context, prefix string) ([]Entry, error)
	swap   func(ctx context.Context, w Write) (Entry, error)
	watch  func(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	renew  func(ctx context.Context, id LeaseID) error
	revoke func(ctx context.Context, id LeaseID) error
}

// Get returns the entry of a key; an absent key has version 0.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) { return c.get(ctx, key) }

// List returns the entries whose keys start with prefix, by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	return c.list(ctx, prefix)
}

// CompareAndSwap writes if the key is at the expected version. It returns *MovedError
// when it is not, and *AmbiguousError when the answer was lost.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (Entry, error) { return c.swap(ctx, w) }

// Watch waits until the key has a version above after, or until wait is over,
// and returns the entry that the key has then.
func (c *Client) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	return c.watch(ctx, key, after, wait)
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return c.grant(ctx, ttl)
}

// Renew extends a lease by its time to live. It returns *LapsedError when the
// lease is gone.
func (c *Client) Renew(ctx context.Context, id LeaseID) error { return c.renew(ctx, id) }

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error { return c.revoke(ctx, id) }

// ConflictError reports a compare-and-swap that found another version.
type ConflictError struct {
	key      string
	expected Version
	actual   Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at version %d, not %d", e.key, e.actual, e.expected)
}

// Actual returns the version that the key is at.
func (e *ConflictError) Actual() Version { return e.actual }

// AmbiguousError reports a write whose answer was lost.
type AmbiguousError struct {
	key   string
	cause error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("write to key %q may or may not have taken effect: %v", e.key, e.cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.cause }

// UnavailableError reports a call that had no effect because the service could
// not be reached or refused to serve.
type UnavailableError struct {
	call  Call
	cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store call %q failed: %v", e.call, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// LeaseExpiredError reports a lease that the service no longer knows.
type LeaseExpiredError struct {
	id LeaseID
}

// Error implements error.
func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %q has lapsed", e.id) }

// Call names a kind of call for counting.
type Call string

// The kinds of calls.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "swap"
	CallWatch          Call = "watch"
	CallGrant          Call = "grant"
	CallRenew          Call = "renew"
	CallRevoke         Call = "revoke"
)

// Writes reports whether the call changes the state of the service.
func (c Call) Writes() bool {
	switch c {
	case CallCompareAndSwap, CallGrant, CallRenew, CallRevoke:
		return true
	}
	return false
}
