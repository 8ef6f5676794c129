package dispatch

import "savorygap.example/lib/routeconfig"

// weightedSelector divides the requests of one route among its services by
// smooth weighted round robin: with each request every service gains credit
// equal to its weight; the one with the most credit is chosen and loses credit
// equal to the sum of the weights.
type weightedSelector struct {
	credits map[string]float64
}

// next returns the service for the next request.
func (s *weightedSelector) next(services []routeconfig.WeightedService) string {
	if len(services) == 0 {
		return ""
	}
	if len(services) == 1 {
		return services[0].Service()
	}
	if s.credits == nil {
		s.credits = make(map[string]float64, len(services))
	}
	total, best := 0.0, ""
	for _, ws := range services {
		if ws.Weight() <= 0 {
			continue
		}
		total += ws.Weight()
		s.credits[ws.Service()] += ws.Weight()
		if best == "" || s.credits[ws.Service()] > s.credits[best] {
			best = ws.Service()
		}
	}
	s.credits[best] -= total
	return best
}
