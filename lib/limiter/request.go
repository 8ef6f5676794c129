package limiter

import (
	"time"
)

// Key identifies a request: the link that it arrived on and its number on that
// link.
type Key struct {
	link   uint64
	number uint64
}

// NewKey returns the key of the request with the given number on the link.
func NewKey(link, number uint64) Key { return Key{link: link, number: number} }

// Link returns the link that the request arrived on.
func (k Key) Link() uint64 { return k.link }

// Number returns the number of the request on its link.
func (k Key) Number() uint64 { return k.number }

// Request describes what a request for a slot needs.
type Request struct {
	priority    int
	nested      bool
	maxWait     time.Duration
	maxSlowness float64
	tenant      string
	weight      float64
}

// NewRequest returns a request. Priority 0 is the highest; a nested call is
// one that a running request waits for; maxWait is the longest time to queue.
func NewRequest(priority int, nested bool, maxWait time.Duration) Request {
	return Request{priority: priority, nested: nested, maxWait: maxWait}
}

// WithMaxSlowness returns the request with the largest slowness of the server
// at which it is worth starting; 0 means any.
func (r Request) WithMaxSlowness(maxSlowness float64) Request {
	r.maxSlowness = maxSlowness
	return r
}

// WithTenant returns the request with the tenant that it belongs to, "" for none.
func (r Request) WithTenant(tenant string) Request {
	r.tenant = tenant
	return r
}

// WithWeight returns the request with the share of the server that its tenant is due,
// relative to those of other tenants; 0 means 1.
func (r Request) WithWeight(weight float64) Request {
	r.weight = weight
	return r
}

// Status is the outcome of a request for a slot.
type Status uint8

// Possible statuses.
const (
	// Granted means that a slot is reserved.
	Granted Status = iota
	// Queued means that the request waits for a slot.
	Queued
	// Denied means that no slot is available.
	Denied
)

// Decision is the outcome of one request for a slot.
type Decision struct {
	key    Key
	status Status
	cost   float64
}

// Key returns the key of the request.
func (d Decision) Key() Key { return d.key }

// Status returns the status of the request.
func (d Decision) Status() Status { return d.status }

// Cost returns the expected slowness of the request at this server; it is set
// when a slot is granted.
func (d Decision) Cost() float64 { return d.cost }
