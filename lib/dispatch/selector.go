package dispatch

import "savorygap.example/lib/routeconfig"

// spreader deals the requests of one route out to its services in proportion to
// their weights, as evenly as possible: each gets a credit of its weight a
// request, and the one with most credit pays for the request.
type spreader struct {
	credit map[string]float64
}

func (s *spreader) next(shares []routeconfig.WeightedService) string {
	if len(shares) == 0 {
		return ""
	}
	if len(shares) == 1 {
		return shares[0].Service()
	}
	if s.credit == nil {
		s.credit = make(map[string]float64, len(shares))
	}
	total, best := 0.0, ""
	for _, share := range shares {
		if share.Weight() <= 0 {
			continue
		}
		total += share.Weight()
		s.credit[share.Service()] += share.Weight()
		if best == "" || s.credit[share.Service()] > s.credit[best] {
			best = share.Service()
		}
	}
	s.credit[best] -= total
	return best
}
