package serverproxy

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/upstream"
)

const (
	// slowFactor is how many times longer than its sender expects a response of a sound
	// version may take, after division by the slowness that the server states.
	slowFactor = 3.0
	// endedFactor takes the place of slowFactor for a request without a response, since
	// callers give up on slow requests. The servers of the old version are judged alike.
	endedFactor = 2.0
	// maxExcusedSlowness bounds that division. Servers are up to 4 times slower for a few
	// hundred milliseconds, which then counts as twice; a bad version that is 8 times
	// slower and states that counts as 4 times slower.
	maxExcusedSlowness = 2.0

	reasonOtherVersion = "server of another version"
)

// Judgement says whether the response to a request was good, during a rollout.
type Judgement struct {
	instance string
	release  string
	route    string
	bad      bool
}

// Instance returns the id of the instance.
func (j Judgement) Instance() string { return j.instance }

// Release returns the version of the server.
func (j Judgement) Release() string { return j.release }

// Route returns the key of the route that the request matched.
func (j Judgement) Route() string { return j.route }

// Bad reports whether the server failed, broke off or was slow.
func (j Judgement) Bad() bool { return j.bad }

// WithRollouts returns the settings of a proxy that refuses requests of versions which
// SetAdmission does not admit, and passes judgements of responses to judged, which must
// not block.
func (c Config) WithRollouts(judged func(Judgement)) Config {
	c.judged = judged
	return c
}

// Release returns the version of the server, "" if unknown.
func (s ServerState) Release() string { return s.release }

// SetAdmission sets which versions accept requests. Until then none does.
func (p *Proxy) SetAdmission(a rollout.Admission) { p.inbox.Send(message{admission: &a}) }

// recalledServer is an instance that announced its version to an earlier process of this
// node.
type recalledServer struct {
	instance string
	release  string
}

// RecallRelease states the version that an instance announced to an earlier process of this
// node. It counts until the instance announces itself to this one.
func (p *Proxy) RecallRelease(instance, release string) {
	p.inbox.Send(message{recalled: &recalledServer{instance: instance, release: release}})
}

// knownRelease returns the version of the present instance, "" if it has not announced it
// to this node.
func (p *Proxy) knownRelease() string {
	switch {
	case p.announced:
		return p.latest.release
	case p.recalled != nil && p.instance != "" && p.instance == p.recalled.instance:
		return p.recalled.release
	}
	return ""
}

// setAdmission revokes the offers of a server whose version no longer accepts requests.
func (p *Proxy) setAdmission(a rollout.Admission) {
	p.admission = a
	if release := p.knownRelease(); p.config.judged != nil && !a.AdmitsServer(release) && release != "" {
		p.denyPending()
	}
}

// versionRefusal returns why the version of the server does not suit a slot request, or "".
func (p *Proxy) versionRefusal(r upstream.SlotRequest) string {
	if p.config.judged == nil || p.admission.Admits(p.knownRelease(), r.Release()) {
		return ""
	}
	return reasonOtherVersion
}

// isJudged reports whether the response to a request counts for or against the version of
// the server.
func (p *Proxy) isJudged(r *forwardedRequest) bool {
	return p.config.judged != nil && p.admission.Judges() && !r.judged && r.generation == p.generation
}

func (p *Proxy) judge(r *forwardedRequest, bad bool) {
	r.judged = true
	release := p.knownRelease()
	if release == "" {
		release = r.slot.Release()
	}
	p.config.judged(Judgement{instance: p.instance, release: release, route: r.slot.Route(), bad: bad})
}

// slowAfter returns the time after which a request at a server of the given slowness
// counts as slow: factor times what its sender expects.
func (p *Proxy) slowAfter(r *forwardedRequest, factor, slowness float64) time.Duration {
	expected := r.slot.ExpectedLatency()
	if expected <= 0 {
		return math.MaxInt64
	}
	return time.Duration(factor * min(max(slowness, 1), maxExcusedSlowness) * float64(expected))
}

// judgeFinished judges the response to a request. A request that its caller or its time
// ended says something only if it was slow by then; the server may not have stated its
// slowness yet.
func (p *Proxy) judgeFinished(now time.Time, r *forwardedRequest, result *httpclient.Result) {
	if !p.isJudged(r) {
		return
	}
	took := now.Sub(r.started)
	ended := errors.Is(result.Err(), context.Canceled) || errors.Is(result.Err(), context.DeadlineExceeded)
	switch {
	case ended:
		if took > p.slowAfter(r, endedFactor, 1) {
			p.judge(r, true)
		}
	case result.Outcome() == httpclient.NotRun:
	case result.Outcome() == httpclient.Unknown:
		p.judge(r, true)
	case result.Response().Status() >= http.StatusInternalServerError:
		p.judge(r, true)
	default:
		p.judge(r, took > p.slowAfter(r, slowFactor, max(r.slownessAtStart, p.slotLimiter.Slowness())))
	}
}

// judgeRunning judges the requests that take too long already, so that a slow version is
// recognised before its first responses.
func (p *Proxy) judgeRunning(now time.Time) {
	if p.config.judged == nil || !p.admission.Judges() {
		return
	}
	for _, r := range p.forwarded {
		if p.isJudged(r) && now.Sub(r.started) > p.slowAfter(r, slowFactor, max(r.slownessAtStart, p.slotLimiter.Slowness())) {
			p.judge(r, true)
		}
	}
}
