package upstream

// AsHedge returns a copy of the request that is marked as the second send of a request
// which another server still runs.
func (r *Request) AsHedge() *Request {
	copied := *r
	copied.hedge = true
	return &copied
}

// IsHedge reports whether the request is the second send of one that another server still
// runs.
func (r *Request) IsHedge() bool { return r.hedge }

// WithBusy returns the event with whether more than 0.8 of the server's slots are in use.
func (e Event) WithBusy(busy bool) Event {
	e.busy = busy
	return e
}

// IsBusy reports whether more than 0.8 of the server's slots are in use.
func (e Event) IsBusy() bool { return e.busy }
