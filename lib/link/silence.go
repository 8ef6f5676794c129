package link

import (
	"time"

	"savorygap.example/lib/upstream"
)

// tick sends pings, and handles a peer that has owed a reply for too long.
func (l *Link) tick() error {
	now := l.clock.Now()
	l.countSilence(now)
	l.pingIfDue(now)
	if l.overdue > peerTimeout {
		l.beginSilence()
		if len(l.pending) == 0 && !now.Before(l.servingUntil) {
			return &PeerTimeoutError{node: l.peer, silent: l.silence}
		}
	}
	l.scheduleTick()
	return nil
}

// countSilence adds the time since the last tick to the silence of the peer. Time in
// which this process did not run does not count.
func (l *Link) countSilence(now time.Time) {
	l.noticePause(now)
	elapsed := min(now.Sub(l.lastTickAt), l.tickDelay+maxTickLag)
	l.lastTickAt = now
	l.silence += elapsed
	if l.awaitingReply {
		l.overdue += elapsed
	}
}

func (l *Link) scheduleTick() {
	l.tickDelay = idleTickInterval
	if l.awaitingReply || len(l.pending) > 0 {
		l.tickDelay = busyTickInterval
	}
	l.tickTimer.Reset(l.tickDelay)
}

// expectReply records that the peer owes a reply to what was just sent.
func (l *Link) expectReply() {
	if l.awaitingReply {
		return
	}
	if l.tickDelay == idleTickInterval {
		now := l.clock.Now()
		l.countSilence(now)
		l.awaitingReply = true
		l.scheduleTick()
	}
	l.awaitingReply = true
}

func (l *Link) pingIfDue(now time.Time) {
	after, interval := idlePingInterval, busyPingInterval
	if len(l.pending) > 0 {
		after = busyPingInterval
	}
	if l.silent {
		interval = silentPingInterval
	}
	if l.silence > after && now.Sub(l.lastPingAt) >= interval {
		l.lastPingAt = now
		l.pingsSent++
		l.enqueue(Encode(Message{ping: true}))
		l.awaitingReply = true
	}
}

// noticePause records that this process did not run since the last tick.
func (l *Link) noticePause(now time.Time) {
	if gap := now.Sub(l.lastTickAt); gap > l.tickDelay+pauseThreshold {
		l.pause, l.resumedAt = gap, now
	}
}

// maxAge returns how long ago a message that is read now may have arrived.
func (l *Link) maxAge(now time.Time) time.Duration {
	l.noticePause(now)
	if now.Sub(l.resumedAt) < resumePeriod {
		return l.pause
	}
	return 0
}

// beginSilence ends the slot requests to the peer, so that their callers look
// elsewhere at once, and reports the silence for requests that were submitted. These
// go on: the peer may be at work on them.
func (l *Link) beginSilence() {
	if l.silent {
		return
	}
	l.silent = true
	for number, r := range l.pending {
		if r.submitted {
			l.reportSilence(number, r)
			continue
		}
		delete(l.pending, number)
		l.enqueue(Encode(Message{withdraw: &number}))
		r.events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(l.endpoint).WithReason(reasonSilent)
	}
	l.hooks.silence(l, true)
}

// reportSilence tells the caller of a submitted request, once, that the peer is
// silent.
func (l *Link) reportSilence(number uint64, r *pendingRequest) {
	if !r.silent {
		r.silent = true
		r.events <- upstream.NewEvent(upstream.Silent, number).WithEndpoint(l.endpoint)
	}
}

// endSilence records that the peer was heard.
func (l *Link) endSilence() {
	l.silence, l.overdue, l.awaitingReply = 0, 0, false
	if l.silent {
		l.silent = false
		l.hooks.silence(l, false)
	}
}
