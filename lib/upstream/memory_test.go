package upstream_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/upstream"
)

const testMemory = 1 << 20 // bytes

// awaitUsed waits until n bytes are reserved.
func awaitUsed(t *testing.T, m *upstream.BodyMemory, n int64) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); m.Used() != n; runtime.GC() {
		must.True(t, time.Now().Before(until), must.Sprint(m.Used()))
	}
}

// TestBodyMemory_IsFreeOnceABodyIsUnused guards against memory that is never given back:
// whoever drops a body frees it.
func TestBodyMemory_IsFreeOnceABodyIsUnused(t *testing.T) {
	m := upstream.NewBodyMemory(testMemory)
	body, err := m.TryMake(testMemory)
	must.NoError(t, err)
	_, err = m.TryMake(testMemory)
	must.Error(t, err)
	runtime.KeepAlive(body)
	awaitUsed(t, m, 0)
}

// TestBodyMemory_WaitersAreServedInTurn has several wait; the first one gets its memory
// first, also if less would do for another.
func TestBodyMemory_WaitersAreServedInTurn(t *testing.T) {
	m := upstream.NewBodyMemory(testMemory)
	must.NoError(t, m.TryReserve(testMemory))
	served := make(chan int64, 2)
	for _, n := range []int64{testMemory, 10} {
		go func() {
			if m.Reserve(context.Background(), n) == nil {
				served <- n
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	must.Error(t, m.TryReserve(1))
	m.Release(testMemory)
	must.Eq(t, testMemory, <-served)
	m.Release(testMemory)
	must.Eq(t, 10, <-served)
	must.Eq(t, 10, m.Used())
}

func TestBodyMemory_WaitEndsWithItsContext(t *testing.T) {
	m := upstream.NewBodyMemory(testMemory)
	must.NoError(t, m.TryReserve(testMemory))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	must.Error(t, m.Reserve(ctx, 1))
	must.Error(t, m.Reserve(context.Background(), testMemory+1))
	m.Release(testMemory)
	must.Eq(t, 0, m.Used())
}

// TestBodyBuffer_LargestBodyFits has a body of nearly all the memory arrive in pieces.
func TestBodyBuffer_LargestBodyFits(t *testing.T) {
	const size = testMemory * 9 / 10
	m := upstream.NewBodyMemory(testMemory)
	b := m.NewBuffer(size, time.Second)
	for b.Len() < size {
		_, err := b.Write(make([]byte, min(1000, size-b.Len())))
		must.NoError(t, err)
	}
	must.Eq(t, size, len(b.Bytes()))
}
