package upstream

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
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
	used       atomic.Int64
	free       *semaphore.Weighted
	collection rate.Sometimes
}

// NewBodyMemory returns a memory of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory {
	return &BodyMemory{limit: limit, free: semaphore.NewWeighted(limit), collection: rate.Sometimes{Interval: collectInterval}}
}

// Used returns the bytes that are reserved.
func (m *BodyMemory) Used() int64 { return m.used.Load() }

// TryReserve takes n bytes. It returns *BodyMemoryError if they are not free now.
func (m *BodyMemory) TryReserve(n int64) error {
	if !m.free.TryAcquire(n) {
		go m.collect()
		return &BodyMemoryError{limit: m.limit}
	}
	m.used.Add(n)
	return nil
}

// Reserve takes n bytes, and waits for them until ctx ends. It returns *BodyMemoryError if
// they don't become free in time.
func (m *BodyMemory) Reserve(ctx context.Context, n int64) error {
	if m.TryReserve(n) == nil {
		return nil
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	go m.collectUntil(waiting)
	if err := m.free.Acquire(ctx, n); err != nil {
		return &BodyMemoryError{limit: m.limit}
	}
	m.used.Add(n)
	return nil
}

// Release gives back n bytes.
func (m *BodyMemory) Release(n int64) {
	m.used.Add(-n)
	m.free.Release(n)
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
