package upstream

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// collectInterval is the shortest time between two collections of garbage that are started
// because the memory of bodies is used up. Bodies hold no pointers, so that one takes
// a few milliseconds.
const collectInterval = 50 * time.Millisecond

const (
	// maxUnreserved is the size in bytes up to which a body takes no reserved memory; it is
	// that of the buffers which each connection has anyway.
	maxUnreserved = 4 << 10
	// minBufferSize is the first size of a buffer, in bytes.
	minBufferSize = 4 << 10
	// firstPartDivisor gives the part of a body that must arrive before it gets the memory
	// for its stated length. With it, the largest body fits beside its own first part.
	firstPartDivisor = 16
)

// BodyMemoryError reports that there is no memory for a body.
type BodyMemoryError struct {
	limit int64
}

// Error implements error.
func (e *BodyMemoryError) Error() string {
	return fmt.Sprintf("bodies take up all of the %d bytes for them", e.limit)
}

// BodyMemory bounds the bytes of the bodies that a process holds, whichever connection they
// came from. A process has one for requests and one for responses, so that neither keeps
// the other from being read. Memory is reserved before a body is read.
// It is free again when the garbage collector finds that nothing uses the body, since it
// passes through several tasks, and any of them may drop it.
type BodyMemory struct {
	limit      int64
	account    chan memoryAccount // holds the account while nobody changes it
	collection rate.Sometimes
}

// memoryAccount is what is reserved and who waits, the first one first.
type memoryAccount struct {
	used    int64
	waiting []memoryRequest
}

// memoryRequest is a wait for size bytes. granted is closed when they are reserved.
type memoryRequest struct {
	size    int64
	granted chan struct{}
}

// NewBodyMemory returns a memory of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory {
	m := &BodyMemory{limit: limit, account: make(chan memoryAccount, 1), collection: rate.Sometimes{Interval: collectInterval}}
	m.account <- memoryAccount{}
	return m
}

// change applies a change to the account, then grants what fits to those that wait.
func (m *BodyMemory) change(apply func(*memoryAccount)) {
	a := <-m.account
	apply(&a)
	for len(a.waiting) > 0 && a.used+a.waiting[0].size <= m.limit {
		a.used += a.waiting[0].size
		close(a.waiting[0].granted)
		a.waiting = a.waiting[1:]
	}
	m.account <- a
}

// Used returns the bytes that are reserved.
func (m *BodyMemory) Used() (used int64) {
	m.change(func(a *memoryAccount) { used = a.used })
	return used
}

// TryReserve takes n bytes. It returns *BodyMemoryError if they are not free now, or others
// wait for memory.
func (m *BodyMemory) TryReserve(n int64) error {
	reserved := false
	m.change(func(a *memoryAccount) {
		if reserved = len(a.waiting) == 0 && a.used+n <= m.limit; reserved {
			a.used += n
		}
	})
	if !reserved {
		go m.collect()
		return &BodyMemoryError{limit: m.limit}
	}
	return nil
}

// Reserve takes n bytes, and waits for them until ctx ends. It returns *BodyMemoryError if
// they don't become free in time.
func (m *BodyMemory) Reserve(ctx context.Context, n int64) error {
	if n > m.limit {
		return &BodyMemoryError{limit: m.limit}
	}
	r := memoryRequest{size: n, granted: make(chan struct{})}
	m.change(func(a *memoryAccount) { a.waiting = append(a.waiting, r) })
	select {
	case <-r.granted:
		return nil
	default:
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	go m.collectUntil(waiting)
	select {
	case <-r.granted:
		return nil
	case <-ctx.Done():
		m.withdraw(r)
		return &BodyMemoryError{limit: m.limit}
	}
}

// withdraw ends a wait, and gives back what was granted just now.
func (m *BodyMemory) withdraw(r memoryRequest) {
	m.change(func(a *memoryAccount) {
		before := len(a.waiting)
		a.waiting = slices.DeleteFunc(a.waiting, func(w memoryRequest) bool { return w.granted == r.granted })
		if len(a.waiting) == before {
			a.used -= r.size
		}
	})
}

// Release gives back n bytes.
func (m *BodyMemory) Release(n int64) {
	m.change(func(a *memoryAccount) { a.used -= n })
}

// releaseAfter gives back n reserved bytes once nothing uses the array that begins with
// first.
func (m *BodyMemory) releaseAfter(first *byte, n int64) { runtime.AddCleanup(first, m.Release, n) }

// Make returns a body of n bytes to be read into, and waits for the memory until ctx ends.
// All of it is reserved at once: of several bodies that each had a part and waited for the
// rest, none could be completed.
func (m *BodyMemory) Make(ctx context.Context, n int64) ([]byte, error) {
	return m.make(n, func(n int64) error { return m.Reserve(ctx, n) })
}

// TryMake is like Make, but returns *BodyMemoryError if there is no memory now.
func (m *BodyMemory) TryMake(n int64) ([]byte, error) { return m.make(n, m.TryReserve) }

func (m *BodyMemory) make(n int64, reserve func(int64) error) ([]byte, error) {
	if n <= maxUnreserved {
		return make([]byte, n), nil
	}
	if err := reserve(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	m.releaseAfter(&body[0], n)
	return body, nil
}

// BodyBuffer collects a body that may be shorter than its sender states. It takes memory
// as the body arrives.
type BodyBuffer struct {
	memory *BodyMemory
	stated int
	wait   time.Duration
	bytes  []byte
}

// NewBuffer returns an empty buffer that takes its memory from m, for a body of the stated
// length, 0 if it is not known. A write waits for memory for at most wait.
func (m *BodyMemory) NewBuffer(stated int, wait time.Duration) *BodyBuffer {
	return &BodyBuffer{memory: m, stated: stated, wait: wait}
}

// Bytes returns the body.
func (b *BodyBuffer) Bytes() []byte { return b.bytes }

// Len returns the length of the body so far, in bytes.
func (b *BodyBuffer) Len() int { return len(b.bytes) }

// Write implements io.Writer. It returns *BodyMemoryError if there is no memory to grow.
func (b *BodyBuffer) Write(p []byte) (int, error) {
	if need := len(b.bytes) + len(p); need > cap(b.bytes) {
		next, err := b.grow(need)
		if err != nil {
			return 0, err
		}
		b.bytes = next[:copy(next, b.bytes)]
	}
	b.bytes = append(b.bytes, p...)
	return len(p), nil
}

// grow returns a larger array. The old one counts until it has been copied, so that a body
// of a stated length gets all of its memory once a small part of it has arrived.
func (b *BodyBuffer) grow(need int) ([]byte, error) {
	size := max(2*cap(b.bytes), minBufferSize, need)
	if first := max(b.stated/firstPartDivisor, minBufferSize); b.stated > need {
		size = b.stated
		if need <= first {
			size = min(first, b.stated)
		}
	}
	if b.wait <= 0 {
		return b.memory.TryMake(int64(size))
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.wait)
	defer cancel()
	return b.memory.Make(ctx, int64(size))
}

// collectUntil collects garbage at intervals until ctx ends: bodies that were dropped
// free their memory only then, and a process that waits for memory makes no garbage.
func (m *BodyMemory) collectUntil(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		m.collect()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *BodyMemory) collect() { m.collection.Do(runtime.GC) }
