package quota

import (
	"math"
	"time"
)

// Question asks the owner of a tenant for credits.
type Question struct {
	number uint64
	tenant string
	needed int
	wanted int
	moved  bool
	rate   float64
	burst  float64
}

// NewQuestion returns a question. needed is the number of requests that wait, wanted the
// number of credits that may be granted at most, and moved whether the asking node was
// lately granted credits by another owner.
func NewQuestion(number uint64, tenant string, needed, wanted int, moved bool) Question {
	return Question{number: number, tenant: tenant, needed: needed, wanted: wanted, moved: moved}
}

// WithLimit returns the question with the limit of the tenant that the asking node knows. An
// owner that does not know the tenant yet, since its configuration is older, goes by it.
func (q Question) WithLimit(rate, burst float64) Question {
	q.rate, q.burst = rate, burst
	return q
}

// Limit returns the limit of the tenant that the asking node knows, 0 for none.
func (q Question) Limit() (rate, burst float64) { return q.rate, q.burst }

// limit returns the limit as one, or false if it is none.
func (q Question) limit() (Limit, bool) {
	valid := q.rate > 0 && q.burst >= 0 && !math.IsInf(q.rate, 1) && !math.IsInf(q.burst, 1)
	return NewLimit(q.tenant, q.rate, q.burst), valid
}

// Number returns the number that the answer repeats.
func (q Question) Number() uint64 { return q.number }

// Tenant returns the name of the tenant.
func (q Question) Tenant() string { return q.tenant }

// Needed returns the number of requests that wait for credits.
func (q Question) Needed() int { return q.needed }

// Wanted returns the largest number of credits to grant.
func (q Question) Wanted() int { return q.wanted }

// Moved reports whether the asking node was lately granted credits by another owner.
func (q Question) Moved() bool { return q.moved }

// Answer is the reply to a question.
type Answer struct {
	number     uint64
	granted    int
	retryAfter time.Duration
	owned      bool
}

// NewAnswer returns the answer to the question with the given number: the credits
// granted, the time until the next one is available, and whether the answering node owns
// the tenant.
func NewAnswer(number uint64, granted int, retryAfter time.Duration, owned bool) Answer {
	return Answer{number: number, granted: granted, retryAfter: retryAfter, owned: owned}
}

// Number returns the number of the question.
func (a Answer) Number() uint64 { return a.number }

// Granted returns the number of credits granted.
func (a Answer) Granted() int { return a.granted }

// RetryAfter returns the time until the next credit is available.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// Owned reports whether the answering node owns the tenant in its own view.
func (a Answer) Owned() bool { return a.owned }

// Source is what decided on a request.
type Source string

// The sources of a verdict.
const (
	// FromOwner is an answer of the owner.
	FromOwner Source = "owner"
	// FromPause is the last refusal of the owner, which holds for a short time.
	FromPause Source = "pause"
	// FromFallback is the fallback of this node, since no owner answered.
	FromFallback Source = "fallback"
	// FromNoLimit stands for a tenant without a limit.
	FromNoLimit Source = "none"
)

// Verdict says whether a request may be sent.
type Verdict struct {
	admitted   bool
	source     Source
	owner      string
	share      int
	age        time.Duration
	retryAfter time.Duration
	expiresAt  time.Time
}

// Admit returns the verdict on a request that took a credit at hand, which may be returned
// until the given time.
func Admit(expiresAt time.Time) Verdict {
	return Verdict{admitted: true, source: FromOwner, expiresAt: expiresAt}
}

// Unlimited returns the verdict on a request of a tenant without a limit.
func Unlimited() Verdict { return Verdict{admitted: true, source: FromNoLimit} }

// Admitted reports whether the request may be sent.
func (v Verdict) Admitted() bool { return v.admitted }

// Source returns what decided.
func (v Verdict) Source() Source { return v.source }

// Owner returns the owner of the tenant in the view of this node.
func (v Verdict) Owner() string { return v.owner }

// Share returns the number of credits that this node was last granted.
func (v Verdict) Share() int { return v.share }

// Age returns how long ago that was, 0 if never.
func (v Verdict) Age() time.Duration { return v.age }

// RetryAfter returns when a credit may be available.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// ExpiresAt returns until when the credit of an admitted request may be returned.
func (v Verdict) ExpiresAt() time.Time { return v.expiresAt }
