package dispatch

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"savorygap.example/lib/fleet"
)

// candidates returns the servers to ask: all of a small service; of a large one
// those remembered as good and some at random.
func (r *Router) candidates(service string, tried []string) []candidate {
	now := r.clock.Now()
	var usable, doubted []*server
	for _, s := range r.servers[service] {
		switch {
		case !s.open || r.situation.Evacuated(s.dataCentre) || slices.Contains(tried, s.node):
		case now.Before(s.doubtUntil):
			doubted = append(doubted, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = doubted
	}
	if len(usable) > askAll {
		usable = r.sample(now, usable)
	}
	list := make([]candidate, 0, len(usable))
	for _, s := range usable {
		list = append(list, candidate{port: s.port, distance: r.distance(s)})
	}
	return list
}

// sample picks servers of a large service. Those of this data centre come first
// among the ones that are remembered equally well.
func (r *Router) sample(now time.Time, usable []*server) []*server {
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	known := func(s *server) float64 {
		if now.Sub(s.costAt) > rememberFor {
			return unknownCost * r.distance(s)
		}
		return s.cost
	}
	sort.SliceStable(usable, func(i, j int) bool { return known(usable[i]) < known(usable[j]) })
	best := askSome / 2
	rest := usable[best:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return usable[:askSome]
}

// unknownCost stands for the cost of a server of which nothing recent is known.
const unknownCost = 1.5

func (r *Router) distance(s *server) float64 {
	switch {
	case s == r.local:
		return costHere
	case s.dataCentre == r.config.dataCentre:
		return costDataCentre
	}
	return costFar
}

func (r *Router) learn(l *learned) {
	for _, s := range r.servers[l.service] {
		if s.node != l.node {
			continue
		}
		if l.silent {
			s.doubtUntil = r.clock.Now().Add(doubtFor)
			return
		}
		s.cost, s.costAt, s.doubtUntil = l.cost, r.clock.Now(), time.Time{}
	}
}

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
		s.dataCentre, s.open, s.port = p.DataCentre(), p.ServerState().Accepting(), p.Endpoint()
		r.servers[p.ServerState().Service()] = append(r.servers[p.ServerState().Service()], s)
	}
	if r.local != nil {
		r.servers[r.config.service] = append(r.servers[r.config.service], r.local)
	}
}

func (r *Router) setLocal(m *localMessage) {
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
	r.local.open, r.local.port = m.open, m.port
	r.servers[m.service] = append(r.servers[m.service], r.local)
}
