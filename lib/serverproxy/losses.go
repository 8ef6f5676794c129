package serverproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	// lossWindow is the time between a lost connection and a refused one, either way,
	// within which both are taken for the end of the instance.
	lossWindow = time.Second
	// maxLosses bounds the requests that are remembered.
	maxLosses = 256
	// gatherTime is how long the report of an end waits for the loss of further requests that
	// the instance was at work on. All connections of a process end together; requests that
	// are reported apart cannot be told from each other by what stood beside them.
	gatherTime = 30 * time.Millisecond
	// probeTimeout bounds the connection that shows whether the server has ended. On this
	// host, the system accepts or refuses it at once, also while the server is busy.
	probeTimeout = 250 * time.Millisecond
)

// loss is a request whose connection to the server was lost.
type loss struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// lossRecord is the evidence that the instance has ended: a single lost connection may be
// the server's way of refusing a request.
type lossRecord struct {
	losses  []loss
	endedAt time.Time // when the server last refused a connection
	// waiting are the lost requests whose senders await the verdict on the server. The
	// probe under way, if any, began when there were the first probed of them.
	waiting []lostRequest
	probed  int
	probing bool
	// reportAt is when the end of the instance is reported, zero if it has not ended.
	reportAt time.Time
	slot     limiter.Key // kept while a probe is under way, so that its connection is within the limit
}

// lostRequest is a request whose connection was lost and whose sender awaits the verdict.
type lostRequest struct {
	number uint64
	reason string
	reply  func(upstream.Event)
}

// verdict is the result of a probe.
type verdict struct {
	ended      bool
	generation uint64
}

// isLost reports whether the server closed the connection instead of answering.
func isLost(result *httpclient.Result) bool {
	err := result.Err()
	return result.Outcome() == httpclient.Unknown && err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// awaitVerdict holds back the end of a lost request until it is known whether the server
// has ended, and all nodes know if it has: its sender, and the senders of the same request
// at other nodes, would otherwise send it to the next server.
func (p *Proxy) awaitVerdict(m *finishedMessage) {
	pending, ok := p.requests[m.key]
	if !ok || !p.reportsEnds() || !isConnectionLost(m.result.Err()) {
		return
	}
	delete(p.requests, m.key)
	p.losses.waiting = append(p.losses.waiting, lostRequest{number: m.key.Number(), reason: m.result.Reason(), reply: pending.reply})
	pending.reply(upstream.NewEvent(upstream.Lost, m.key.Number()).WithReason(m.result.Reason()))
}

// settle ends lost requests after the verdict on their server.
func settle(requests []lostRequest) {
	for _, r := range requests {
		r.reply(upstream.NewEvent(upstream.Unknown, r.number).WithReason(r.reason).WithVerdict())
	}
}

// startProbe finds out whether the server has ended, if requests wait for that.
func (p *Proxy) startProbe(ctx context.Context) {
	if p.losses.probing || len(p.losses.waiting) == 0 {
		return
	}
	p.losses.probing, p.losses.probed = true, len(p.losses.waiting)
	p.evictIdleConn()
	go p.probe(ctx, p.latest.address, p.generation)
}

// probe connects to the server. One that takes longer than probeTimeout has not ended.
func (p *Proxy) probe(ctx context.Context, address string, generation uint64) {
	v := &verdict{generation: generation}
	defer func() { p.inbox.Send(message{verdict: v}) }()
	defer task.Catch(func(e *task.PanicError) { p.log.WritePanic("probe", e) })
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.config.dial(ctx, address)
	if err != nil {
		v.ended = ctx.Err() == nil
		return
	}
	p.observer.dialled()
	conn.Close()
}

// handleVerdict ends the requests that waited for a probe. Those that were lost after it
// began wait for the next one.
func (p *Proxy) handleVerdict(ctx context.Context, v *verdict) {
	p.losses.probing = false
	switch {
	case v.generation != p.generation:
	case v.ended:
		p.recordEnd(p.clock.Now())
		p.fireIfAccepted(eventUnreachable)
	default:
		alive := p.losses.waiting[:p.losses.probed]
		p.losses.waiting, p.losses.probed = p.losses.waiting[p.losses.probed:], 0
		settle(alive)
	}
	p.startProbe(ctx)
	if !p.losses.probing {
		p.slotLimiter.Release(p.losses.slot)
		p.advanceQueue(p.clock.Now())
	}
}

// reportsEnds reports whether the end of the instance is evidence against what it was at
// work on.
func (p *Proxy) reportsEnds() bool {
	return p.lifecycle.HasTag(tagAdmitting) || p.lifecycle.HasTag(tagChecking)
}

// isConnectionLost reports whether the connection ended, which a server that ends causes.
// One that sends what is no answer to the request is there.
func isConnectionLost(err error) bool {
	var broken *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}

// recordLoss remembers a request whose connection was lost, and has the server checked at
// once. It releases the slot of the request, or keeps it for the probe.
func (p *Proxy) recordLoss(ctx context.Context, now time.Time, key limiter.Key, r *upstream.Request) {
	if len(p.losses.losses) < maxLosses {
		p.losses.losses = append(p.losses.losses, loss{fingerprint: quarantine.FingerprintOf(r), at: now})
	}
	p.health.lastCheck = time.Time{}
	p.health.checkIfDue(now, p)
	if now.Sub(p.losses.endedAt) < lossWindow && !p.admits() {
		p.scheduleReport(now)
	}
	before := p.losses.probing
	p.startProbe(ctx)
	if p.losses.probing && !before {
		p.losses.slot = key
		return
	}
	p.slotLimiter.Release(key)
}

// recordEnd records that the server refuses connections.
func (p *Proxy) recordEnd(now time.Time) {
	p.losses.endedAt = now
	p.scheduleReport(now)
}

// recordReplacement records that another instance has taken the place of this one.
func (p *Proxy) recordReplacement(now time.Time) {
	p.losses.endedAt = now
	p.reportEnd(now)
}

// scheduleReport reports the end of the instance when all requests that it was at work on
// are lost, or after gatherTime.
func (p *Proxy) scheduleReport(now time.Time) {
	if p.losses.reportAt.IsZero() {
		p.losses.reportAt = now.Add(gatherTime)
	}
	p.reportIfGathered(now)
}

// reportIfGathered reports the end of the instance if that is due.
func (p *Proxy) reportIfGathered(now time.Time) {
	if !p.losses.reportAt.IsZero() && (len(p.forwarded) == 0 || !now.Before(p.losses.reportAt)) {
		p.reportEnd(now)
	}
}

// reportEnd passes on what the instance was at work on when it ended. Connections that an
// instance closes when it leaves say nothing.
func (p *Proxy) reportEnd(now time.Time) {
	var lost []quarantine.Fingerprint
	for _, l := range p.losses.losses {
		if now.Sub(l.at) < lossWindow {
			lost = append(lost, l.fingerprint)
		}
	}
	waiting := p.losses.waiting
	p.losses.reportAt = time.Time{}
	p.losses.losses, p.losses.waiting, p.losses.probed = p.losses.losses[:0], nil, 0
	if len(lost) == 0 || !p.reportsEnds() {
		settle(waiting)
		return
	}
	p.log.Write("server-ended", "instance", p.instance, "at_work", len(lost), "fingerprints", lost)
	p.hooks.ended(p.instance, lost, func() { p.inbox.Send(message{settled: waiting}) })
}
