package quota

import "time"

const (
	// minRetrySpread keeps the refused callers of a tenant from returning at the same
	// instant. A tenant that sends hundreds of requests a second has tens of them in it.
	minRetrySpread = 100 * time.Millisecond
	// maxRetrySpread is the spread of callers that are in no hurry. A flood of 7 times the
	// usual demand has more than three requests too many for each that is admitted, so
	// the callers are to come back over at least a second.
	maxRetrySpread = time.Second
)

// RetrySpread returns the time over which refused callers are spread, from the moment
// when credit is expected. slack is how long a caller may still wait from then on and
// meet its objective, 0 or less if it can't. A caller that is admitted later takes the
// credit of one whose response would be in time.
func RetrySpread(slack time.Duration) time.Duration {
	return min(max(slack, minRetrySpread), maxRetrySpread)
}
