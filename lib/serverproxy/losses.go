package serverproxy

import (
	"context"
	"errors"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

const (
	// lossWindow is the time between a lost connection and a refused one, either way,
	// within which both are taken for the end of the instance.
	lossWindow = time.Second
	// maxLosses bounds the requests that are remembered.
	maxLosses = 256
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
}

// isLost reports whether the server closed the connection instead of answering.
func isLost(result *httpclient.Result) bool {
	err := result.Err()
	return result.Outcome() == httpclient.Unknown && err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// recordLoss remembers a request whose connection was lost, and has the server checked at
// once.
func (p *Proxy) recordLoss(now time.Time, r *upstream.Request) {
	if len(p.losses.losses) < maxLosses {
		p.losses.losses = append(p.losses.losses, loss{fingerprint: quarantine.FingerprintOf(r), at: now})
	}
	p.health.lastCheck = time.Time{}
	p.health.checkIfDue(now, p)
	if now.Sub(p.losses.endedAt) < lossWindow && !p.admits() {
		p.reportEnd(now)
	}
}

// recordEnd records that the server refuses connections or was replaced.
func (p *Proxy) recordEnd(now time.Time) {
	p.losses.endedAt = now
	p.reportEnd(now)
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
	p.losses.losses = p.losses.losses[:0]
	if len(lost) == 0 || !p.lifecycle.HasTag(tagAdmitting) && !p.lifecycle.HasTag(tagChecking) {
		return
	}
	p.log.Write("server-ended", "instance", p.instance, "at_work", len(lost), "fingerprints", lost)
	p.hooks.ended(p.instance, lost)
}
