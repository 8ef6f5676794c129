package dispatch

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"savorygap.example/lib/fleet"
)

// candidates returns the servers to ask for a slot: all servers of a small
// service, a sample of a large one, those here first if others are far. Suspected
// servers are asked only when no other has a slot: one late reply makes a server
// suspected, and it may be the only one that is not full. latency is the usual
// latency of the route; release is the version of the servers, "" for any.
func (r *Router) candidates(service string, latency time.Duration, exclude []string, release string) []candidate {
	now := r.clock.Now()
	var usable, suspected []*server
	for _, s := range r.servers[service] {
		switch {
		case !s.accepting || r.snapshot.Evacuated(s.dataCentre) || slices.Contains(exclude, s.node) || !r.hasRelease(service, s, release):
		case now.Before(s.suspectUntil):
			suspected = append(suspected, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable, suspected = suspected, nil
	}
	if selected, ok := r.candidatesByDistance(now, service, latency, usable); ok {
		suspected = slices.DeleteFunc(suspected, func(s *server) bool { return s.dataCentre != r.config.dataCentre })
		return r.appendSuspected(now, selected, suspected)
	}
	if len(usable) > maxUnsampled {
		usable = r.sampleServers(now, usable)
	}
	selected := make([]candidate, 0, len(usable))
	for _, s := range usable {
		selected = append(selected, r.newCandidate(now, s))
	}
	return r.appendSuspected(now, selected, suspected)
}

// appendSuspected adds suspected servers to the candidates, for the case that no other has a
// slot.
func (r *Router) appendSuspected(now time.Time, candidates []candidate, suspected []*server) []candidate {
	for _, s := range pickRandom(suspected, overflowSize) {
		c := r.newCandidate(now, s)
		c.overflow, c.suspected = true, true
		candidates = append(candidates, c)
	}
	return candidates
}

// sampleServers selects servers of a large service: half of the sample has the
// lowest recent cost, the rest is random. Among servers of unknown cost,
// closer ones come first.
func (r *Router) sampleServers(now time.Time, usable []*server) []*server {
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	recentCost := func(s *server) float64 {
		if now.Sub(s.costUpdatedAt) > costTTL {
			return defaultCost * r.distanceFactor(s)
		}
		return s.cost
	}
	sort.SliceStable(usable, func(i, j int) bool { return recentCost(usable[i]) < recentCost(usable[j]) })
	best := sampleSize / 2
	rest := usable[best:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return usable[:sampleSize]
}

// defaultCost is the assumed cost of a server whose recent cost is unknown.
const defaultCost = 1.5

// distanceFactor returns the cost factor of the server's distance from this
// node.
func (r *Router) distanceFactor(s *server) float64 {
	switch {
	case s == r.local:
		return localFactor
	case s.dataCentre == r.config.dataCentre:
		return sameDataCentreFactor
	}
	return remoteFactor
}

// recordObservation updates the cost of a server, or marks it as suspected if
// it did not reply in time.
func (r *Router) recordObservation(o *observation) {
	for _, s := range r.servers[o.service] {
		if s.node != o.node {
			continue
		}
		if o.unresponsive {
			s.suspectUntil = r.clock.Now().Add(suspicionDuration)
			return
		}
		s.cost, s.costUpdatedAt, s.suspectUntil = o.cost, r.clock.Now(), time.Time{}
	}
}

// setPeers replaces the servers of other nodes and keeps the cost and suspicion
// of those that remain.
func (r *Router) setPeers(peers []fleet.Peer) {
	known := map[string]*server{}
	for _, list := range r.servers {
		for _, s := range list {
			known[s.node] = s
		}
	}
	r.servers = map[string][]*server{}
	for _, p := range peers {
		s, ok := known[p.Node()]
		if !ok {
			s = &server{node: p.Node()}
		}
		s.dataCentre, s.accepting, s.endpoint = p.DataCentre(), p.ServerState().Accepting(), p.Endpoint()
		r.learnRelease(s, p.ServerState().Instance(), p.ServerState().Release())
		r.servers[p.ServerState().Service()] = append(r.servers[p.ServerState().Service()], s)
	}
	if r.local != nil {
		r.servers[r.config.service] = append(r.servers[r.config.service], r.local)
	}
}

// setLocalServer updates the server on this host and the service that it
// belongs to.
func (r *Router) setLocalServer(m *localServerMessage) {
	if r.local == nil {
		r.local = &server{node: r.config.node, dataCentre: r.config.dataCentre}
	}
	list := r.servers[r.config.service]
	for i, s := range list {
		if s == r.local {
			r.servers[r.config.service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	r.config.service = m.service
	r.local.accepting, r.local.endpoint = m.accepting, m.endpoint
	r.servers[m.service] = append(r.servers[m.service], r.local)
}
