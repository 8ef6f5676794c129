package quota_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quota"
)

// callers is a queue of callers by the time of their next attempt.
type callers []caller

type caller struct {
	at, since time.Time // next and first attempt
}

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(caller)) }
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// TestTenantAboveItsLimit_CallersReturnInTime guards against refused callers that come
// back so late that they spend the tenant's credits on late responses. A tenant sends 1.6
// times its limit; a caller returns once, after at most a third of the second that it
// waits.
func TestTenantAboveItsLimit_CallersReturnInTime(t *testing.T) {
	const (
		limit     = 160.0
		latency   = 180 * time.Millisecond
		objective = 400 * time.Millisecond
		patience  = time.Second
	)
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	bucket := quota.NewBucket(start, limit, limit/2, 0)
	queue := &callers{}
	for at := start; at.Sub(start) < 20*time.Second; at = at.Add(time.Duration(rng.ExpFloat64() / (1.6 * limit) * float64(time.Second))) {
		heap.Push(queue, caller{at: at, since: at})
	}
	admitted, late := 0, 0
	for queue.Len() > 0 {
		c := heap.Pop(queue).(caller)
		if bucket.Take(c.at, 1) == 1 {
			admitted++
			if c.at.Sub(c.since)+latency > objective {
				late++
			}
			continue
		}
		if c.at.After(c.since) {
			continue
		}
		until := bucket.UntilToken(c.at)
		wait := until + time.Duration(rng.Int64N(int64(quota.RetrySpread(objective-latency-until))))
		heap.Push(queue, caller{at: c.at.Add(min(wait, patience/3)), since: c.since})
	}
	must.Greater(t, int(0.97*limit*20), admitted)
	must.Eq(t, 0, late)
}

// TestRetrySpread_HasBounds guards against callers that all return at once since none of
// them can meet its objective, or that are sent away for longer than a flood lasts.
func TestRetrySpread_HasBounds(t *testing.T) {
	must.Eq(t, 100*time.Millisecond, quota.RetrySpread(-time.Second))
	must.Eq(t, time.Second, quota.RetrySpread(time.Minute))
}
