package upstream

import "time"

// SlotRequest asks the node next to a server to reserve one of the server's
// slots.
type SlotRequest struct {
	service        string
	priority       int
	nested         bool
	maxWait        time.Duration
	requestID      string
	slowdownNotice bool
	maxSlowness    float64
	timeLeft       time.Duration
	latency        time.Duration
	tenant         string
	route          string
	release        string
}

// NewSlotRequest returns a request for a slot at a server of the service.
// Priority 0 is the highest.
func NewSlotRequest(service string, priority int) SlotRequest {
	return SlotRequest{service: service, priority: priority}
}

// WithNested returns the request with whether it belongs to a nested call: one
// that a running request waits for.
func (r SlotRequest) WithNested(nested bool) SlotRequest {
	r.nested = nested
	return r
}

// WithMaxWait returns the request with the longest time it may stay queued.
func (r SlotRequest) WithMaxWait(maxWait time.Duration) SlotRequest {
	r.maxWait = maxWait
	return r
}

// WithRequestID returns the request with the id of the HTTP request, for the
// log.
func (r SlotRequest) WithRequestID(id string) SlotRequest {
	r.requestID = id
	return r
}

// WithSlowdownNotice returns the request with whether a Slowed event is wanted
// when the server slows down while it runs the HTTP request.
func (r SlotRequest) WithSlowdownNotice(slowdownNotice bool) SlotRequest {
	r.slowdownNotice = slowdownNotice
	return r
}

// WithMaxSlowness returns the request with the largest slowness of the server
// at which the HTTP request is worth starting; 0 means any.
func (r SlotRequest) WithMaxSlowness(maxSlowness float64) SlotRequest {
	r.maxSlowness = maxSlowness
	return r
}

// WithTimes returns the request with the time left until its deadline, and how long the
// server is expected to take for it. A node that stops refuses what would outlive it; a
// time left of 0 means that it is not known.
func (r SlotRequest) WithTimes(timeLeft, expectedLatency time.Duration) SlotRequest {
	r.timeLeft, r.latency = timeLeft, expectedLatency
	return r
}

// WithTenant returns the request with the tenant that the HTTP request belongs to, "" for
// none.
func (r SlotRequest) WithTenant(tenant string) SlotRequest {
	r.tenant = tenant
	return r
}

// WithRoute returns the request with a key of the route that the HTTP request matched,
// the same on all nodes and in all versions of the configuration.
func (r SlotRequest) WithRoute(route string) SlotRequest {
	r.route = route
	return r
}

// WithRelease returns the request with the version that the server must have, "" for any.
func (r SlotRequest) WithRelease(release string) SlotRequest {
	r.release = release
	return r
}

// Release returns the version that the server must have, "" for any.
func (r SlotRequest) Release() string { return r.release }

// Tenant returns the tenant that the HTTP request belongs to, "" for none.
func (r SlotRequest) Tenant() string { return r.tenant }

// Route returns the key of the route that the HTTP request matched, "" if unknown.
func (r SlotRequest) Route() string { return r.route }

// TimeLeft returns the time left until the deadline of the HTTP request, 0 if unknown.
func (r SlotRequest) TimeLeft() time.Duration { return r.timeLeft }

// ExpectedLatency returns how long the server is expected to take.
func (r SlotRequest) ExpectedLatency() time.Duration { return r.latency }

// MaxSlowness returns the largest slowness of the server at which the HTTP
// request is worth starting, 0 for any.
func (r SlotRequest) MaxSlowness() float64 { return r.maxSlowness }

// WantsSlowdownNotice reports whether a Slowed event is wanted.
func (r SlotRequest) WantsSlowdownNotice() bool { return r.slowdownNotice }

// Service returns the name of the service.
func (r SlotRequest) Service() string { return r.service }

// Priority returns the priority; 0 is the highest.
func (r SlotRequest) Priority() int { return r.priority }

// IsNested reports whether a running request waits for this call.
func (r SlotRequest) IsNested() bool { return r.nested }

// MaxWait returns the longest time the request may stay queued.
func (r SlotRequest) MaxWait() time.Duration { return r.maxWait }

// RequestID returns the id of the HTTP request.
func (r SlotRequest) RequestID() string { return r.requestID }
