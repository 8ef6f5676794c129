package quota

import (
	"sync/atomic"
	"time"
)

const (
	creditBits = 22
	maxCredits = 1<<creditBits - 1
	// refusalMemory is how long after a refusal a tenant counts as being over its limit.
	refusalMemory = time.Second
)

// Account holds the credits of one tenant at this node. Any goroutine may use it.
type Account struct {
	base time.Time
	// state holds the credits in its low bits, and above them the time at which they
	// expire, in milliseconds after base.
	state    atomic.Uint64
	arrivals atomic.Int64
	// refusedAt is the time of the last refusal, in milliseconds after base, 0 for none.
	refusedAt atomic.Int64
}

// NewAccount returns an account without credits. Its times are after base.
func NewAccount(base time.Time) *Account { return &Account{base: base} }

func (a *Account) pack(credits int, expiresAt time.Time) uint64 {
	left := expiresAt.Sub(a.base).Milliseconds()
	if credits <= 0 || left <= 0 {
		return 0
	}
	return uint64(left)<<creditBits | uint64(min(credits, maxCredits))
}

func (a *Account) unpack(state uint64) (credits int, expiresAt time.Time) {
	return int(state & maxCredits), a.base.Add(time.Duration(state>>creditBits) * time.Millisecond)
}

// Take counts a request and takes a credit for it. It returns until when the credit may
// be returned, or false if there is none.
func (a *Account) Take(now time.Time) (time.Time, bool) {
	a.arrivals.Add(1)
	return a.take(now)
}

func (a *Account) take(now time.Time) (time.Time, bool) {
	for {
		state := a.state.Load()
		if state == 0 {
			return time.Time{}, false
		}
		credits, expiresAt := a.unpack(state)
		if !now.Before(expiresAt) {
			if a.state.CompareAndSwap(state, 0) {
				return time.Time{}, false
			}
			continue
		}
		if a.state.CompareAndSwap(state, a.pack(credits-1, expiresAt)) {
			return expiresAt, true
		}
	}
}

// Add adds credits that expire at the given time. Credits of two times are not kept
// apart: those that expire first determine the time of all, unless they are fewer, in which case they
// are dropped.
func (a *Account) Add(now time.Time, credits int, expiresAt time.Time) {
	if credits <= 0 || !now.Before(expiresAt) {
		return
	}
	for {
		state := a.state.Load()
		held, heldUntil := a.unpack(state)
		if held == 0 || !now.Before(heldUntil) {
			held, heldUntil = 0, expiresAt
		}
		total, until := held+credits, heldUntil
		switch {
		case expiresAt.Before(heldUntil) && credits >= held:
			until = expiresAt
		case expiresAt.Before(heldUntil):
			total = held
		case heldUntil.Before(expiresAt) && held < credits:
			total, until = credits, expiresAt
		}
		if a.state.CompareAndSwap(state, a.pack(total, until)) {
			return
		}
	}
}

// IsOverLimit reports whether a request of the tenant was lately refused here.
func (a *Account) IsOverLimit(now time.Time) bool {
	at := a.refusedAt.Load()
	return at != 0 && now.Sub(a.base)-time.Duration(at)*time.Millisecond < refusalMemory
}

// Clear drops the credits.
func (a *Account) Clear() { a.state.Store(0) }
