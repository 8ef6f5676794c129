// Package store is a client for the platform's key-value service.
//
// A Client can get, list, watch and compare-and-swap entries, and grant, renew
// and revoke leases. NewHTTP returns a client that uses the service's HTTP and
// JSON protocol, which only http.go depends on. WithObserver and WithRateLimit
// wrap a client to observe its calls and to limit their rate. A Watcher follows
// the configuration and maintains the node's contact entry.
//
// # Usage
//
//	c := store.NewHTTP(http.DefaultClient, "http://127.0.0.1:7600")
//	c = store.WithRateLimit(c, store.DefaultRateLimits(), clock)
//	entry, err := c.Get(ctx, key)
//	w := store.NewWrite(key, value).WithExpectedVersion(entry.Version())
//	entry, err = c.CompareAndSwap(ctx, w)
//
// An *AmbiguousError means that a write may or may not have taken effect.
package store

import (
	"context"
	"fmt"
	"time"
)

// Version counts the writes to a key. An absent key has version 0.
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

// Value returns the value, or nil for an absent key.
func (e Entry) Value() []byte { return e.value }

// Version returns the version, or 0 for an absent key.
func (e Entry) Version() Version { return e.version }

// LeaseID identifies a lease that the service granted.
type LeaseID string

// Write holds the arguments of a compare-and-swap.
type Write struct {
	key      string
	value    []byte
	expected Version
	lease    LeaseID
}

// NewWrite returns a write that expects the key to be absent.
func NewWrite(key string, value []byte) Write { return Write{key: key, value: value} }

// WithExpectedVersion returns the write with the condition that the key has the
// given version.
func (w Write) WithExpectedVersion(version Version) Write {
	w.expected = version
	return w
}

// WithLease returns the write with the key attached to a lease. The service
// removes the key when the lease expires.
func (w Write) WithLease(lease LeaseID) Write {
	w.lease = lease
	return w
}

// Key returns the key to write.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// ExpectedVersion returns the version that the key must have.
func (w Write) ExpectedVersion() Version { return w.expected }

// Lease returns the lease that the key is attached to, or "".
func (w Write) Lease() LeaseID { return w.lease }

// Client calls the service through function fields, which NewHTTP sets and
// Intercept wraps.
type Client struct {
	get            func(ctx context.Context, key string) (Entry, error)
	list           func(ctx context.Context, prefix string) ([]Entry, error)
	compareAndSwap func(ctx context.Context, w Write) (Entry, error)
	watch          func(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	grant          func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	renew          func(ctx context.Context, id LeaseID) error
	revoke         func(ctx context.Context, id LeaseID) error
}

// Get returns the entry of a key. The entry of an absent key has version 0.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) { return c.get(ctx, key) }

// List returns the entries whose keys start with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	return c.list(ctx, prefix)
}

// CompareAndSwap writes an entry if the key has the expected version. It returns
// *ConflictError if the key has another version, *UnavailableError if the write
// had no effect, and *AmbiguousError if it may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (Entry, error) {
	return c.compareAndSwap(ctx, w)
}

// Watch waits until the version of the key is greater than after, at most for
// wait, and returns the current entry.
func (c *Client) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	return c.watch(ctx, key, after, wait)
}

// Grant creates a lease with a time to live.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return c.grant(ctx, ttl)
}

// Renew extends a lease by its time to live. It returns *LeaseExpiredError if
// the lease no longer exists.
func (c *Client) Renew(ctx context.Context, id LeaseID) error { return c.renew(ctx, id) }

// Revoke ends a lease and removes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error { return c.revoke(ctx, id) }

// ConflictError reports that a key did not have the version that a
// compare-and-swap expected.
type ConflictError struct {
	key      string
	expected Version
	actual   Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at version %d, not %d", e.key, e.actual, e.expected)
}

// Actual returns the version of the key.
func (e *ConflictError) Actual() Version { return e.actual }

// AmbiguousError reports a write that may or may not have taken effect, for
// example because its response was lost.
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

// UnavailableError reports a failed call: the service could not be reached,
// refused the call or returned an invalid response. A compare-and-swap that
// fails with this error, and not with an *AmbiguousError, had no effect.
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

// LeaseExpiredError reports a lease that has expired or was revoked.
type LeaseExpiredError struct {
	id LeaseID
}

// Error implements error.
func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %q has expired", e.id) }

// Call is a kind of call to the service.
type Call string

// Kinds of calls, as used in metrics and errors.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "swap"
	CallWatch          Call = "watch"
	CallGrant          Call = "grant"
	CallRenew          Call = "renew"
	CallRevoke         Call = "revoke"
)

// Writes reports whether calls of this kind change the state of the service.
func (c Call) Writes() bool {
	switch c {
	case CallCompareAndSwap, CallGrant, CallRenew, CallRevoke:
		return true
	}
	return false
}
