package dispatch

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/task"
)

// isAmbiguous reports whether servers have ended under the request, and nothing tells it from
// others that were at work there.
func (p *pendingCall) isAmbiguous() bool {
	_, ambiguous := p.ambiguousSince()
	return ambiguous
}

func (p *pendingCall) ambiguousSince() (time.Time, bool) {
	ambiguous := *p.router.ambiguous.Load()
	if len(ambiguous) == 0 {
		return time.Time{}, false
	}
	since, ok := ambiguous[quarantine.FingerprintOf(p.call.request)]
	return since, ok && p.router.clock.Since(since) <= quarantine.SuspicionTTL
}

// findPermittedSlot reserves a slot at one of the candidates or, for an ambiguous request, at
// the only server that all nodes send it to: of those that send it at once, one server may
// end.
func (p *pendingCall) findPermittedSlot(ctx context.Context, candidates []candidate) (offer, bool) {
	if !p.isAmbiguous() {
		return p.findVersionSlot(ctx, candidates)
	}
	if !p.awaitTrial(ctx) {
		return offer{}, false
	}
	p.leaveTarget(ctx)
	p.onTrial = true
	m := &candidatesMessage{service: p.plan.service, exclude: p.tried, release: p.plan.release, trial: quarantine.FingerprintOf(p.call.request), reply: task.NewReply[[]candidate]()}
	if !p.router.inbox.Send(message{candidates: m}) {
		return offer{}, false
	}
	candidates, _ = m.reply.Wait(ctx, p.router.inbox.Done())
	return p.findSlot(ctx, candidates)
}

// awaitTrial waits until an ambiguous request may be sent again. It returns false if the
// request is held by then, or the time of the call is over.
func (p *pendingCall) awaitTrial(ctx context.Context) bool {
	for {
		since, ambiguous := p.ambiguousSince()
		wait := quarantine.TrialDelay - p.router.clock.Since(since)
		if !ambiguous || wait <= 0 {
			return !p.isHeld()
		}
		timer := p.router.clock.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			p.reason = "servers ended while they were at work on it, and its time is over"
			return false
		}
	}
}

// trialCandidate returns the server for the trial of a request, by rendezvous hashing, so
// that all nodes choose the same one.
func (r *Router) trialCandidate(m *candidatesMessage) []candidate {
	var chosen *server
	var highest uint64
	for _, s := range r.servers[m.service] {
		if !s.accepting || r.snapshot.Evacuated(s.dataCentre) || slices.Contains(m.exclude, s.node) || !r.hasRelease(m.service, s, m.release) {
			continue
		}
		if w := trialWeight(m.trial, s.node); chosen == nil || w > highest {
			chosen, highest = s, w
		}
	}
	if chosen == nil {
		return nil
	}
	return []candidate{r.newCandidate(r.clock.Now(), chosen)}
}

func trialWeight(f quarantine.Fingerprint, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(f)))
	return h.Sum64()
}
