package settings

import "time"

// SetListen sets the addresses that are not set yet.
func (t *Tree) SetListen(callers, calls, control, local, operators string) {
	setIfEmpty(&t.listen.callers, callers)
	setIfEmpty(&t.listen.calls, calls)
	setIfEmpty(&t.listen.control, control)
	setIfEmpty(&t.listen.local, local)
	setIfEmpty(&t.listen.operators, operators)
	setIfEmpty(&t.advertise.calls, t.listen.calls)
	setIfEmpty(&t.advertise.control, t.listen.control)
}

// SetStoreRateLimits sets the budget of calls to the store where it is not set.
func (t *Tree) SetStoreRateLimits(reads, writes float64, burst int, startJitter time.Duration) {
	if t.store.jitter == 0 {
		t.store.jitter = startJitter
	}
	if t.store.reads == 0 {
		t.store.reads = reads
	}
	if t.store.writes == 0 {
		t.store.writes = writes
	}
	if t.store.burst == 0 {
		t.store.burst = burst
	}
}

// SetPolicy sets the policy that chooses targets, if it is not set.
func (t *Tree) SetPolicy(name string) { setIfEmpty(&t.policy, name) }

// SetTransport sets what carries calls, if it is not set.
func (t *Tree) SetTransport(name string) { setIfEmpty(&t.transport, name) }

// SetLogLevel sets the least level that is logged, if it is not set.
func (t *Tree) SetLogLevel(level string) { setIfEmpty(&t.logLevel, level) }

// SetDrain sets how the process stops, where it is not set.
func (t *Tree) SetDrain(linger, timeout time.Duration) {
	if t.drain.linger == 0 {
		t.drain.linger = linger
	}
	if t.drain.timeout == 0 {
		t.drain.timeout = timeout
	}
}

// SetCallerLimits sets the limits on what callers send, where they are not set.
func (t *Tree) SetCallerLimits(headerBytes int, headerTime time.Duration, connections int) {
	if t.bounds.headerBytes == 0 {
		t.bounds.headerBytes = headerBytes
	}
	if t.bounds.headerTime == 0 {
		t.bounds.headerTime = headerTime
	}
	if t.bounds.connections == 0 {
		t.bounds.connections = connections
	}
}
