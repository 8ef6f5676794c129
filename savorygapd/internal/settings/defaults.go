package settings

import "time"

// SetListen sets the addresses on which the process listens, unless the file sets
// them. The advertised addresses default to those on which it listens.
func (t *Tree) SetListen(callers, calls, control, local, operators string) {
	setIfEmpty(&t.listen.callers, callers)
	setIfEmpty(&t.listen.calls, calls)
	setIfEmpty(&t.listen.control, control)
	setIfEmpty(&t.listen.local, local)
	setIfEmpty(&t.listen.operators, operators)
	setIfEmpty(&t.advertise.calls, t.listen.calls)
	setIfEmpty(&t.advertise.control, t.listen.control)
}

// SetStoreRateLimits sets the rate limits of calls to the store and the start jitter,
// unless the file sets them.
func (t *Tree) SetStoreRateLimits(readsPerSecond, writesPerSecond float64, burst int, startJitter time.Duration) {
	if t.store.startJitter == 0 {
		t.store.startJitter = startJitter
	}
	if t.store.readsPerSecond == 0 {
		t.store.readsPerSecond = readsPerSecond
	}
	if t.store.writesPerSecond == 0 {
		t.store.writesPerSecond = writesPerSecond
	}
	if t.store.burst == 0 {
		t.store.burst = burst
	}
}

// SetPolicy sets the balancing policy, unless the file sets it.
func (t *Tree) SetPolicy(name string) { setIfEmpty(&t.policy, name) }

// SetTransport sets the transport of calls between nodes, unless the file sets it.
func (t *Tree) SetTransport(name string) { setIfEmpty(&t.transport, name) }

// SetLogLevel sets the lowest level that is logged, unless the file sets it.
func (t *Tree) SetLogLevel(level string) { setIfEmpty(&t.logLevel, level) }

// SetDrain sets the periods of a drain, unless the file sets them.
func (t *Tree) SetDrain(acceptPeriod, timeout time.Duration) {
	if t.drain.acceptPeriod == 0 {
		t.drain.acceptPeriod = acceptPeriod
	}
	if t.drain.timeout == 0 {
		t.drain.timeout = timeout
	}
}

// SetCallerLimits sets the limits on callers, unless the file sets them.
func (t *Tree) SetCallerLimits(maxHeaderBytes int, headerTimeout time.Duration, maxConnections int) {
	if t.callerLimits.maxHeaderBytes == 0 {
		t.callerLimits.maxHeaderBytes = maxHeaderBytes
	}
	if t.callerLimits.headerTimeout == 0 {
		t.callerLimits.headerTimeout = headerTimeout
	}
	if t.callerLimits.maxConnections == 0 {
		t.callerLimits.maxConnections = maxConnections
	}
}
