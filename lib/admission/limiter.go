package admission

import (
	"math"
	"time"

	"savorygap.example/lib/document"
)

const (
	coldShare        = 0.25 // of the declared slots
	resultWindow     = 8    // answers
	badForCollapse   = 3    // bad answers within resultWindow
	failingShare     = 0.5  // of resultWindow
	slowFactor       = 4.0  // times the baseline latency
	slowMargin       = 5 * time.Millisecond
	heavyFactor      = 2.0 // times the baseline latency
	heavyDecrease    = 0.9
	shedDecrease     = 0.7
	busyShare        = 0.7  // of the limit in flight counts as evidence
	evidenceAnswers  = 8    // good answers before a cold server ramps
	baselineWeight   = 0.05 // of one ordinary answer
	slowWeight       = 0.01 // of one slow answer
	recentWeight     = 0.2
	minGrowInterval  = 25 * time.Millisecond
	maxGrowInterval  = 2 * time.Second
	heavyCheckEvery  = 8 // answers
	baselineWarmup   = 5 // answers
	stuckFactor      = 8.0
	stuckMin         = 50 * time.Millisecond
	stuckForCollapse = 3 // requests
)

// limiter adapts the number of requests that a server may hold at once.
type limiter struct {
	slots        int
	floor        float64
	limit        float64
	evidence     int
	bad          [resultWindow]bool
	failed       [resultWindow]bool
	next         int
	answers      int
	latency      [document.NumClasses]smoothed
	recent       smoothed
	recentRatio  smoothed
	growInterval time.Duration
	lastGrown    time.Time
}

// smoothed is an exponentially weighted mean.
type smoothed struct {
	value float64
	count int
}

func (s *smoothed) add(v, weight float64) {
	s.count++
	if s.count <= baselineWarmup {
		s.value += (v - s.value) / float64(s.count)
		return
	}
	s.value += (v - s.value) * weight
}

func newLimiter(slots int) *limiter {
	floor := math.Max(1, math.Floor(float64(slots)*coldShare))
	return &limiter{slots: slots, floor: floor, limit: floor, growInterval: minGrowInterval}
}

func (l *limiter) current() int { return int(l.limit) }

func (l *limiter) toFloor() {
	l.limit = l.floor
	l.evidence = 0
	l.bad = [resultWindow]bool{}
	l.recentRatio = smoothed{}
}

func (l *limiter) full() bool { return l.limit >= float64(l.slots) }

// observe records one answer and reports whether it is bad.
func (l *limiter) observe(class document.Class, result Result, latency time.Duration) bool {
	if result == ResultIgnored {
		return false
	}
	base := &l.latency[class]
	seconds := latency.Seconds()
	slow := l.isSlow(base, latency)
	if result == ResultSuccess {
		l.recent.add(seconds, recentWeight)
		if base.count > 0 && base.value > 0 {
			l.recentRatio.add(seconds/base.value, recentWeight)
		}
		weight := baselineWeight
		if slow {
			weight = slowWeight
		}
		base.add(seconds, weight)
	}
	bad := slow || result != ResultSuccess
	l.bad[l.next] = bad
	l.failed[l.next] = result != ResultSuccess
	l.next = (l.next + 1) % resultWindow
	l.answers++
	return bad
}

func (l *limiter) isSlow(base *smoothed, latency time.Duration) bool {
	if base.count < baselineWarmup {
		return false
	}
	limit := time.Duration(base.value*slowFactor*float64(time.Second)) + slowMargin
	return latency > limit
}

// mustCollapse reports whether the recent answers show a server that turned
// cold, slow or faulty.
func (l *limiter) mustCollapse() bool { return count(l.bad) >= badForCollapse }

func (l *limiter) failing() bool {
	return count(l.failed) >= int(resultWindow*failingShare)
}

func count(flags [resultWindow]bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// slowDown makes growth more patient after a collapse.
func (l *limiter) slowDown() {
	l.growInterval = min(2*l.growInterval, maxGrowInterval)
}

// grow raises the limit by one after a good answer at high use. It reports
// whether it did.
func (l *limiter) grow(now time.Time) bool {
	if l.full() || now.Sub(l.lastGrown) < l.growInterval {
		return false
	}
	l.lastGrown = now
	l.limit = math.Min(l.limit+1, float64(l.slots))
	return true
}

// ease lowers the limit while answers are markedly slower than the baseline.
// It reports whether it did.
func (l *limiter) ease() bool {
	if l.answers%heavyCheckEvery != 0 || l.recentRatio.count < baselineWarmup {
		return false
	}
	if l.recentRatio.value < heavyFactor {
		return false
	}
	return l.lower(heavyDecrease)
}

func (l *limiter) lower(factor float64) bool {
	before := l.current()
	l.limit = math.Max(l.floor, l.limit*factor)
	return l.current() < before
}

// stuckAfter returns the age from which a request counts as stuck.
func (l *limiter) stuckAfter(class document.Class) time.Duration {
	base := l.latency[class]
	if base.count < baselineWarmup {
		return math.MaxInt64
	}
	return max(stuckMin, time.Duration(base.value*stuckFactor*float64(time.Second)))
}

// typical returns the usual latency of a class, or of all classes when the
// class has none yet.
func (l *limiter) typical(class document.Class) time.Duration {
	value := l.latency[class].value
	if l.latency[class].count == 0 {
		value = l.recent.value
	}
	return time.Duration(value * float64(time.Second))
}
