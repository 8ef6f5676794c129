package admission

import (
	"math"
	"time"

	"savorygap.example/lib/document"
)

const (
	coldLimitRatio           = 0.25 // of the declared slots
	resultWindow             = 8    // most recent responses
	collapseThreshold        = 3    // bad responses within resultWindow
	failingRatio             = 0.5  // of resultWindow
	slowFactor               = 4.0  // times the baseline latency
	slowMargin               = 5 * time.Millisecond
	highLatencyFactor        = 2.0  // times the baseline latency
	normalSpread             = 4.0  // deviations from the baseline latency that are still normal
	highLatencyBackoffRatio  = 0.9  // the limit is multiplied by it
	overloadBackoffRatio     = 0.7  // the limit is multiplied by it
	highUseRatio             = 0.7  // of the limit in flight; good responses below it do not raise the limit
	rampUpResponses          = 8    // good responses before a cold server ramps up
	baselineWeight           = 0.02 // of one ordinary response; the mean of about 100 of them
	slowBaselineWeight       = 0.01 // of one slow response
	recentLatencyWeight      = 0.2
	minIncreaseInterval      = 25 * time.Millisecond
	maxIncreaseInterval      = 2 * time.Second
	highLatencyCheckInterval = 8   // responses
	minBaselineSamples       = 5   // responses
	stuckFactor              = 8.0 // times the baseline latency
	minStuckThreshold        = 50 * time.Millisecond
	stuckCollapseThreshold   = 3 // requests
)

// limiter adapts the concurrency limit of a server to its latency and failures.
type limiter struct {
	slots              int
	floor              float64
	limit              float64
	goodResponses      int
	recentBad          [resultWindow]bool
	recentFailed       [resultWindow]bool
	windowIndex        int
	responses          int
	baselines          [document.NumClasses]baseline
	recentLatency      movingAverage
	recentLatencyRatio movingAverage
	increaseInterval   time.Duration
	lastIncrease       time.Time
}

// recentDeviationRatio is the deviation of a moving average of weight
// recentLatencyWeight, as a multiple of that of its values.
var recentDeviationRatio = math.Sqrt(recentLatencyWeight / (2 - recentLatencyWeight))

// baseline holds the usual latency of the requests of a class: of those that are
// marked as short, and of the others.
type baseline struct {
	short movingAverage
	other movingAverage
}

// movingAverage is an exponentially weighted moving average and variance. Its first
// minBaselineSamples values have equal weight.
type movingAverage struct {
	value    float64
	variance float64
	count    int
}

func (m *movingAverage) add(v, weight float64) {
	m.count++
	if m.count <= minBaselineSamples {
		weight = 1 / float64(m.count)
	}
	difference := v - m.value
	m.value += difference * weight
	m.variance = (1 - weight) * (m.variance + weight*difference*difference)
}

// deviation returns the standard deviation of the values.
func (m *movingAverage) deviation() float64 { return math.Sqrt(m.variance) }

func newLimiter(slots int) *limiter {
	floor := math.Max(1, math.Floor(float64(slots)*coldLimitRatio))
	return &limiter{slots: slots, floor: floor, limit: floor, increaseInterval: minIncreaseInterval}
}

func (l *limiter) current() int { return int(l.limit) }

func (l *limiter) resetToFloor() {
	l.limit = l.floor
	l.goodResponses = 0
	l.recentBad = [resultWindow]bool{}
	l.recentLatencyRatio = movingAverage{}
}

func (l *limiter) atMaximum() bool { return l.limit >= float64(l.slots) }

// record adds the result of one request and reports whether it was bad: failed,
// overloaded or much slower than the baseline.
func (l *limiter) record(r Request, result Result, latency time.Duration) bool {
	if result == ResultIgnored {
		return false
	}
	base := l.baseline(r)
	seconds := latency.Seconds()
	slow := l.isSlow(base, latency)
	if result == ResultSuccess {
		l.recentLatency.add(seconds, recentLatencyWeight)
		if base.count > 0 && base.value > 0 {
			// The recent average is compared with the highest one that is normal for the class.
			normal := max(base.value*highLatencyFactor, base.value+normalSpread*recentDeviationRatio*base.deviation())
			l.recentLatencyRatio.add(seconds/normal, recentLatencyWeight)
		}
		weight := baselineWeight
		if slow {
			weight = slowBaselineWeight
		}
		base.add(seconds, weight)
	}
	bad := slow || result != ResultSuccess
	l.recentBad[l.windowIndex] = bad
	l.recentFailed[l.windowIndex] = result != ResultSuccess
	l.windowIndex = (l.windowIndex + 1) % resultWindow
	l.responses++
	return bad
}

// baseline returns the usual latency of requests like r.
func (l *limiter) baseline(r Request) *movingAverage {
	if r.short {
		return &l.baselines[r.class].short
	}
	return &l.baselines[r.class].other
}

// isSlow reports whether a latency is far above the baseline, and above the spread
// that is normal for the class, which may mix cheap and long requests. It returns
// false while the baseline has fewer than minBaselineSamples.
func (l *limiter) isSlow(base *movingAverage, latency time.Duration) bool {
	if base.count < minBaselineSamples {
		return false
	}
	normal := max(base.value*slowFactor, base.value+normalSpread*base.deviation())
	return latency > time.Duration(normal*float64(time.Second))+slowMargin
}

// shouldCollapse reports whether the recent results show that the server became
// cold, slow or faulty.
func (l *limiter) shouldCollapse() bool { return countTrue(l.recentBad) >= collapseThreshold }

// failing reports whether at least failingRatio of the recent results are
// failures or overload responses.
func (l *limiter) failing() bool {
	return countTrue(l.recentFailed) >= int(resultWindow*failingRatio)
}

func countTrue(flags [resultWindow]bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// backOffIncrease doubles the interval between increases after a collapse, up
// to maxIncreaseInterval.
func (l *limiter) backOffIncrease() {
	l.increaseInterval = min(2*l.increaseInterval, maxIncreaseInterval)
}

// increase raises the limit by one, at most once per increaseInterval. It
// reports whether the limit changed.
func (l *limiter) increase(now time.Time) bool {
	if l.atMaximum() || now.Sub(l.lastIncrease) < l.increaseInterval {
		return false
	}
	l.lastIncrease = now
	l.limit = math.Min(l.limit+1, float64(l.slots))
	return true
}

// reduceOnHighLatency lowers the limit while the recent latency is at least
// highLatencyFactor times the baseline and not normal for its spread. It reports whether the limit fell by at
// least one.
func (l *limiter) reduceOnHighLatency() bool {
	if l.responses%highLatencyCheckInterval != 0 || l.recentLatencyRatio.count < minBaselineSamples {
		return false
	}
	if l.recentLatencyRatio.value < 1 {
		return false
	}
	return l.reduce(highLatencyBackoffRatio)
}

// reduce multiplies the limit by factor, down to the floor. It reports whether
// the limit fell by at least one.
func (l *limiter) reduce(factor float64) bool {
	before := l.current()
	l.limit = math.Max(l.floor, l.limit*factor)
	return l.current() < before
}

// stuckThreshold returns the age beyond which a request counts as stuck. While
// there is no baseline, no request does.
func (l *limiter) stuckThreshold(r Request) time.Duration {
	base := l.baseline(r)
	if base.count < minBaselineSamples {
		return math.MaxInt64
	}
	return max(minStuckThreshold, time.Duration(base.value*stuckFactor*float64(time.Second)))
}

// expectedLatency returns the baseline latency of requests like r, or the recent
// latency of all requests while they have no baseline.
func (l *limiter) expectedLatency(r Request) time.Duration {
	value := l.baseline(r).value
	if l.baseline(r).count == 0 {
		value = l.recentLatency.value
	}
	return time.Duration(value * float64(time.Second))
}
