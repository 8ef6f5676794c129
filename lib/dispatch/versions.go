package dispatch

import (
	"context"
	"math/rand/v2"

	"savorygap.example/lib/rollout"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// versions is the router's record of how requests are divided between versions. It is
// empty unless rollouts are followed.
type versions struct {
	policies map[string]rollout.Policy // by service
	credits  map[string]float64        // of the target version, by service
	releases rollout.Releases
}

// versionsMessage changes the policies, states the version of the server on this host, or
// asks for the version of a service for a request that is not to be sent to the target of
// a rollout; exactly one of policies, local and reply is set.
type versionsMessage struct {
	policies map[string]rollout.Policy
	local    *localRelease
	service  string
	reply    task.Reply[string]
}

type localRelease struct {
	instance string
	release  string
}

// SetPolicies sets how the requests of services are divided between versions.
func (r *Router) SetPolicies(policies map[string]rollout.Policy) {
	r.inbox.Send(message{versions: &versionsMessage{policies: policies}})
}

// SetLocalRelease sets the instance of the server on this host and its version, "" if
// unknown.
func (r *Router) SetLocalRelease(instance, release string) {
	r.inbox.Send(message{versions: &versionsMessage{local: &localRelease{instance: instance, release: release}}})
}

func (r *Router) handleVersions(m *versionsMessage) {
	switch {
	case m.reply != nil:
		m.reply <- r.baseRelease(m.service)
	case m.local != nil:
		if r.local == nil {
			r.local = &server{node: r.config.node, dataCentre: r.config.dataCentre}
		}
		r.learnRelease(r.local, m.local.instance, m.local.release)
	default:
		if r.versions.credits == nil {
			r.versions.credits = map[string]float64{}
		}
		r.versions.policies = m.policies
	}
}

// learnRelease records the version of a server. Without rollouts nodes state none.
func (r *Router) learnRelease(s *server, instance, release string) {
	s.instance, s.release = instance, release
	if r.versions.releases == nil && release == "" {
		return
	}
	if r.versions.releases == nil {
		r.versions.releases = rollout.Releases{}
	}
	s.release = r.versions.releases.Learn(instance, release)
}

// chooseRelease returns the version for the next request of a service, "" for any, and
// whether it is the target of a rollout. The requests are divided by smooth weighted
// round robin. It starts at random, since each of many nodes may see only a few requests.
func (r *Router) chooseRelease(service string) (release string, canary bool) {
	p, ok := r.versions.policies[service]
	if !ok || p.Target() == "" || p.Share() <= 0 {
		return p.Base(), false
	}
	if p.Share() >= 1 {
		return p.Target(), false
	}
	credit, begun := r.versions.credits[service]
	if !begun {
		credit = rand.Float64()
	}
	credit += p.Share()
	canary = credit >= 1
	if canary {
		credit--
	}
	r.versions.credits[service] = credit
	if canary {
		return p.Target(), true
	}
	return p.Base(), false
}

// baseRelease returns the version of a service for requests that are not to be sent to the
// target of a rollout, unless that gets all requests.
func (r *Router) baseRelease(service string) string {
	p := r.versions.policies[service]
	if p.Target() != "" && p.Share() >= 1 {
		return p.Target()
	}
	return p.Base()
}

// hasRelease reports whether requests for a version of a service may go to a server.
func (r *Router) hasRelease(service string, s *server, release string) bool {
	return release == "" || r.versions.policies[service].Uses(release, s.node, s.release)
}

// forVersion adds the version that the server must have to a slot request, and the route,
// by which its responses are judged.
func (p *pendingCall) forVersion(r upstream.SlotRequest) upstream.SlotRequest {
	if p.plan.release == "" {
		return r
	}
	return r.WithRelease(p.plan.release).WithRoute(routeKey(p.plan.route))
}

// findVersionSlot reserves a slot like findSlot. A request for the target of a rollout does
// not queue there: if no slot is free, it goes to the other version. A request that found
// no slot while the version of the service changed looks for one at the new version.
func (p *pendingCall) findVersionSlot(ctx context.Context, candidates []candidate) (offer, bool) {
	if p.plan.canary {
		if len(candidates) > 0 {
			if o, ok := p.searchSlot(ctx, candidates, p.slotRequest(0)); ok {
				return o, true
			}
		}
		candidates = p.untriedCandidates(ctx)
	}
	o, ok := p.findSlot(ctx, candidates)
	if ok || p.plan.release == "" || ctx.Err() != nil {
		return o, ok
	}
	if release, known := p.baseRelease(ctx); !known || release == p.plan.release {
		return o, false
	}
	p.plan.canary = true // left at once
	return p.findSlot(ctx, p.untriedCandidates(ctx))
}

// leaveTarget directs the call to the version that is not the target of a rollout.
func (p *pendingCall) leaveTarget(ctx context.Context) {
	if !p.plan.canary {
		return
	}
	p.plan.canary = false
	if release, known := p.baseRelease(ctx); known {
		p.plan.release = release
	}
}

// baseRelease asks the router for the version that requests get which are not to be sent
// to the target of a rollout.
func (p *pendingCall) baseRelease(ctx context.Context) (string, bool) {
	m := &versionsMessage{service: p.plan.service, reply: task.NewReply[string]()}
	if !p.router.inbox.Send(message{versions: m}) {
		return "", false
	}
	return m.reply.Wait(ctx, p.router.inbox.Done())
}

// hedgeRequest returns the slot request for a second attempt. That of a request which was
// sent to the target of a rollout goes to the other version.
func (p *pendingCall) hedgeRequest(ctx context.Context, r upstream.SlotRequest) upstream.SlotRequest {
	if !p.plan.canary {
		return r
	}
	if release, known := p.baseRelease(ctx); known {
		return r.WithRelease(release)
	}
	return r
}
