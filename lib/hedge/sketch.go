package hedge

import (
	"math"
	"time"
)

const (
	// sketchWindow is the shortest length of a window. A quantile is taken over the current
	// and the last one, so that it follows servers that turn slow within 2 to 4 s.
	sketchWindow = 2 * time.Second
	// maxSketchWindow is the length of a window with too few latencies for the quantile.
	// One node of many sends only some requests a second of a route.
	maxSketchWindow = 10 * time.Second
	// bucketRatio is the ratio of the limits of a bucket. A delay that is up to a tenth
	// too long costs less than the spread of the latencies.
	bucketRatio = 1.1
	// minLatency and bucketCount cover latencies of 1 ms to 27 s, which is longer than
	// any route may take.
	minLatency  = time.Millisecond
	bucketCount = 108
)

var logBucketRatio = math.Log(bucketRatio)

// sketch holds the distribution of the latencies of a route in constant memory and
// forgets what is older than two windows. A window lasts until it holds least latencies.
type sketch struct {
	current   [bucketCount]uint32
	previous  [bucketCount]uint32
	count     int // in current
	least     int
	startedAt time.Time
	lastAt    time.Time // when the newest latency was recorded
}

// newSketch returns a sketch for a quantile.
func newSketch(now time.Time, quantile float64) *sketch {
	return &sketch{least: int(math.Ceil(1 / max(1-quantile, 0.001))), startedAt: now}
}

func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(latency)/float64(minLatency))/logBucketRatio)), bucketCount-1)
}

// upperLimit returns the highest latency of a bucket.
func upperLimit(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(bucketRatio, float64(bucket)))
}

// advance starts a new window if the current one has ended.
func (s *sketch) advance(now time.Time) {
	age := now.Sub(s.startedAt)
	if age < sketchWindow || s.count < s.least && age < maxSketchWindow {
		return
	}
	s.previous = s.current
	if now.Sub(s.lastAt) >= 2*sketchWindow {
		s.previous = [bucketCount]uint32{}
	}
	s.current, s.count, s.startedAt = [bucketCount]uint32{}, 0, now
}

func (s *sketch) record(now time.Time, latency time.Duration) {
	s.advance(now)
	s.current[bucketOf(latency)]++
	s.count++
	s.lastAt = now
}

// quantile returns a quantile of the recent latencies. It reports false while there are
// too few of them for one to be above it.
func (s *sketch) quantile(now time.Time, q float64) (time.Duration, bool) {
	s.advance(now)
	total := uint32(0)
	for i := range s.current {
		total += s.current[i] + s.previous[i]
	}
	if float64(total)*(1-q) < 1 {
		return 0, false
	}
	rank, seen := uint32(math.Ceil(q*float64(total))), uint32(0)
	for i := range s.current {
		if seen += s.current[i] + s.previous[i]; seen >= rank {
			return upperLimit(i), true
		}
	}
	return upperLimit(bucketCount - 1), true
}
