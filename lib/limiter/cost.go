package limiter

import (
	"math"
	"time"
)

// ReportLoad records a load report of the server: how many requests it is
// running, and its slowness, 0 if it did not report one. Requests beyond those
// that started here, less reportSlack, take up slots until the next report.
func (l *Limiter) ReportLoad(inFlight int, slowness float64) {
	if slowness > 0 {
		l.slowness = slowness
	}
	l.externalRequests = max(0, inFlight-l.startedCount()-reportSlack)
}

// RecordResult records whether the server failed a request.
func (l *Limiter) RecordResult(now time.Time, failed bool) {
	rate := l.currentFailureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	l.failureRate = rate + (sample-rate)*failureWeight
	l.failureRateAt = now
}

// currentFailureRate returns the failure rate after its decay since the last
// result.
func (l *Limiter) currentFailureRate(now time.Time) float64 {
	if l.failureRate == 0 {
		return 0
	}
	halfLives := now.Sub(l.failureRateAt).Seconds() / failureHalfLife.Seconds()
	return l.failureRate * math.Exp2(-halfLives)
}

// Cost returns the expected slowness of one more request, taking the server's
// load, recent failures and rate limit into account.
func (l *Limiter) Cost(now time.Time) float64 {
	load := 1 + loadWeight*float64(len(l.reservations)+l.externalRequests)/float64(l.ordinarySlots())
	failure := 1 + failurePenalty*math.Max(0, l.currentFailureRate(now)-failureWeight/2)
	return l.slowness*load*failure + rateWaitCost*l.RateWait(now).Seconds()
}
