// Package quarantine decides which requests are sent to no server, because servers end
// when they work on them.
//
// Two attempts are the same request if method, host, path, query and body are the same;
// callers repeat a request under a new id, and at another node. Each server that ends is
// evidence against everything that it was at work on. A request that a server finishes is
// cleared, so that a popular one is not held for standing beside another. If nothing tells
// the requests of two ends apart, none of them is held yet: they are ambiguous, and the third
// end decides. An end under a request that is held explains what stood beside it.
//
// # Usage
//
//	l, err := quarantine.NewLedger(charts)
//	held := l.Apply(now, quarantine.Struck(fingerprints))
//	cleared := l.RecordSuccess(now, fingerprint)
//	until, isHeld := l.Held(now)[fingerprint]
//	lastEnd, isAmbiguous := l.Ambiguous(now)[fingerprint]
//
// A Ledger reads no clock, opens no socket and starts no goroutine: the task that owns it
// passes the time, and what other nodes report, to each call.
package quarantine
