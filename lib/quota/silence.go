package quota

import (
	"slices"
	"time"
)

// timeout is the next time at which an open question is looked at.
type timeout struct {
	due    time.Time
	number uint64
}

// addTimeout schedules the first look at a question.
func (n *Node) addTimeout(now time.Time, open *openQuestion) {
	n.insertTimeout(timeout{due: now.Add(answerTimeout), number: open.number})
}

// NextTimeout returns when Expire must be called, or false if no question is open.
func (n *Node) NextTimeout() (time.Time, bool) {
	for len(n.timeouts) > 0 {
		if _, ok := n.open[n.timeouts[0].number]; ok {
			return n.timeouts[0].due, true
		}
		n.timeouts = n.timeouts[1:]
	}
	return time.Time{}, false
}

// Expire handles the questions that were not answered in time.
func (n *Node) Expire(now time.Time) {
	for {
		due, ok := n.NextTimeout()
		if !ok || now.Before(due) {
			return
		}
		open := n.open[n.timeouts[0].number]
		n.timeouts = n.timeouts[1:]
		n.expire(now, open)
	}
}

// expire handles a question that is due: the fallback is used after answerTimeout, and
// after refusalTimeout no request waits for the owner any more. An answer that comes later
// still counts, until its credits would have lapsed.
func (n *Node) expire(now time.Time, open *openQuestion) {
	age := now.Sub(open.askedAt)
	if age >= creditLifetime {
		delete(n.open, open.number)
	} else {
		next := refusalTimeout
		if age >= refusalTimeout {
			next = creditLifetime
		}
		n.insertTimeout(timeout{due: open.askedAt.Add(next), number: open.number})
	}
	w, ok := n.wallets[open.tenant]
	if !ok || w.question != open {
		return
	}
	if age >= refusalTimeout {
		w.question = nil
		n.goSilent(now, open.askedAt, w)
		return
	}
	open.timedOut = true
	w.fallback.begin(open.askedAt, n.view.phase(open.tenant))
	n.fallBack(now, w, false)
}

// insertTimeout adds a timeout in order of time. It goes behind most others: a first look is
// later than other first looks, and earlier only than further looks at older questions.
func (n *Node) insertTimeout(t timeout) {
	i := len(n.timeouts)
	for i > 0 && n.timeouts[i-1].due.After(t.due) {
		i--
	}
	n.timeouts = slices.Insert(n.timeouts, i, t)
}

// goSilent records that no owner answers since the given time, and decides on the waiting
// requests by the fallback.
func (n *Node) goSilent(now, since time.Time, w *wallet) {
	w.isSilent = true
	w.fallback.begin(since, n.view.phase(w.limit.tenant))
	n.fallBack(now, w, true)
}

// fallBack admits as many of the waiting requests as the fallback has tokens, and refuses
// the rest if they are not to wait.
func (n *Node) fallBack(now time.Time, w *wallet, refuse bool) {
	owner := w.askedNode
	for len(w.waiting) > 0 {
		ok, retryAfter := w.fallback.take(now, n.view.part()*w.limit.rate)
		if !ok {
			if refuse {
				for _, id := range n.takeWaiting(w, len(w.waiting)) {
					n.refuse(w, id, w.verdict(now, false, FromFallback, owner, retryAfter))
				}
			}
			return
		}
		n.observer.granted(FromFallback, 1)
		n.settle(n.takeWaiting(w, 1)[0], w.verdict(now, true, FromFallback, owner, 0))
	}
}

// takeWaiting removes the first count requests that wait.
func (n *Node) takeWaiting(w *wallet, count int) []uint64 {
	taken := w.waiting[:count:count]
	w.waiting = append([]uint64(nil), w.waiting[count:]...)
	return taken
}

// settleAll settles all requests of a tenant that wait.
func (n *Node) settleAll(w *wallet, v Verdict) {
	for _, id := range n.takeWaiting(w, len(w.waiting)) {
		n.settle(id, v)
	}
}

// refuse settles a request that is refused.
func (n *Node) refuse(w *wallet, id uint64, v Verdict) {
	n.observer.refused(w.limit.tenant, v)
	n.settle(id, v)
}
