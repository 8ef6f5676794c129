package link

import (
	"math"
	"time"

	"savorygap.example/lib/quota"
)

// Frame types of quotas.
const (
	typeQuotaRequest byte = 18
	typeQuotaGrant   byte = 19
)

// quotaPingInterval is the shortest time between two pings that accompany questions about
// quotas.
const quotaPingInterval = time.Second

// WithQuotas returns the hooks with functions that receive the questions and answers about
// quotas of a peer.
func (h Hooks) WithQuotas(question func(*Link, quota.Question), answer func(*Link, quota.Answer)) Hooks {
	h.quotaQuestion, h.quotaAnswer = question, answer
	return h
}

// AskQuota sends a question about a quota. It never blocks, and reports false if the link
// has ended or is congested.
func (l *Link) AskQuota(q quota.Question) bool { return l.inbox.TrySend(command{quota: &q}) }

// SendQuotaAnswer sends the answer to a question about a quota.
func (l *Link) SendQuotaAnswer(a quota.Answer) { l.enqueue(Encode(Message{quotaAnswer: &a})) }

// handleQuota sends a question, and from time to time a ping with it: an owner that is cut
// off is then noticed within peerTimeout, and a peer of a release that knows no quotas, which
// answers no question, is not taken to be silent.
func (l *Link) handleQuota(q *quota.Question) {
	if l.silent {
		return
	}
	l.enqueue(Encode(Message{quotaQuestion: q}))
	if now := l.clock.Now(); now.Sub(l.lastPingAt) >= quotaPingInterval {
		l.lastPingAt = now
		l.enqueue(Encode(Message{ping: true}))
		l.expectReply()
	}
}

func encodeQuotaQuestion(q *quota.Question) []byte {
	rate, burst := q.Limit()
	return newEncoder(typeQuotaRequest, 64).varint(1, q.Number()).text(2, q.Tenant()).varint(3, uint64(max(q.Needed(), 0))).
		varint(4, uint64(max(q.Wanted(), 0))).flag(5, q.Moved()).float(6, rate).float(7, burst).frame()
}

func encodeQuotaAnswer(a *quota.Answer) []byte {
	return newEncoder(typeQuotaGrant, 32).varint(1, a.Number()).varint(2, uint64(max(a.Granted(), 0))).duration(3, a.RetryAfter()).flag(4, a.Owned()).frame()
}

// maxQuestion bounds the credits that one question may ask for.
const maxQuestion = math.MaxInt16

func decodeQuotaQuestion(f *fields) Message {
	needed := min(f.count(3), maxQuestion)
	q := quota.NewQuestion(f.numbers[1], f.text(2), needed, max(needed, min(f.count(4), maxQuestion)), f.numbers[5] != 0).
		WithLimit(math.Float64frombits(f.numbers[6]), math.Float64frombits(f.numbers[7]))
	return Message{quotaQuestion: &q}
}

func decodeQuotaAnswer(f *fields) Message {
	a := quota.NewAnswer(f.numbers[1], min(f.count(2), maxQuestion), f.duration(3), f.numbers[4] != 0)
	return Message{quotaAnswer: &a}
}
