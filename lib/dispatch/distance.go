package dispatch

import (
	"math/rand/v2"
	"time"

	"savorygap.example/lib/locality"
)

const (
	// overflowSize is how many far servers are asked when nothing here is free: enough to
	// reach more than one data centre, since some may be as busy as this one.
	overflowSize = 4
	// measuringWindow is how long a search waits for the reply of a data centre whose round
	// trip is not known: twice the longest round trip between data centres.
	measuringWindow = 18 * time.Millisecond
)

// Scopes of a search, for the observer.
const (
	scopeHere     = "here"     // no far server was asked
	scopeJoined   = "joined"   // far servers were asked together with those here
	scopeOverflow = "overflow" // far servers were asked since nothing here was free
)

// distances is what the router knows of the distance of servers. It exists only with the
// setting dataCentres.farRoundTrip.
type distances struct {
	trips    *locality.RoundTrips
	balances map[string]*locality.Balance
}

// WithFarRoundTrip returns the settings with the round-trip time above which a data centre
// is far; 0 means that none is.
func (c Config) WithFarRoundTrip(d time.Duration) Config {
	c.farRoundTrip = d
	return c
}

// WithSearched returns the observer with a function that is called for each search for a
// slot while farRoundTrip is set, with its scope: "here", "joined" or "overflow".
func (o Observer) WithSearched(searched func(service, scope string)) Observer {
	o.searched = searched
	return o
}

func newDistances(farRoundTrip time.Duration) *distances {
	if farRoundTrip <= 0 {
		return nil
	}
	return &distances{trips: locality.NewRoundTrips(farRoundTrip), balances: map[string]*locality.Balance{}}
}

func (d *distances) balance(service string) *locality.Balance {
	b, ok := d.balances[service]
	if !ok {
		b = locality.NewBalance()
		d.balances[service] = b
	}
	return b
}

// newCandidate returns a server as a candidate. The reply of one whose round trip is
// unknown is waited for, so that it is measured.
func (r *Router) newCandidate(now time.Time, s *server) candidate {
	c := candidate{endpoint: s.endpoint, distanceFactor: r.distanceFactor(s)}
	if r.distances != nil && s.dataCentre != r.config.dataCentre {
		c.dataCentre = s.dataCentre
		switch r.distances.trips.Distance(now, s.dataCentre) {
		case locality.Unmeasured:
			c.replyWithin = measuringWindow
		case locality.Far:
			c.distant = true
		case locality.Near:
		}
	}
	return c
}

// candidatesByDistance returns the servers in this data centre and in near ones, those in
// far ones that are asked together with them, and those that are asked if nothing here is
// free. It reports false if there is nothing to choose: no usable server is far, or all are.
func (r *Router) candidatesByDistance(now time.Time, service string, latency time.Duration, usable []*server) ([]candidate, bool) {
	if r.distances == nil {
		return nil, false
	}
	var here, far []*server
	nearest := time.Duration(0)
	for _, s := range usable {
		if s.dataCentre == r.config.dataCentre || r.distances.trips.Distance(now, s.dataCentre) != locality.Far {
			here = append(here, s)
			continue
		}
		far = append(far, s)
		if trip := r.distances.trips.RoundTrip(s.dataCentre); nearest == 0 || trip < nearest {
			nearest = trip
		}
	}
	if len(here) == 0 || len(far) == 0 {
		return nil, false
	}
	if len(here) > maxUnsampled {
		here = r.sampleServers(now, here)
	}
	joined := r.farCandidates(now, service, latency, nearest)
	far = pickRandom(far, overflowSize)
	selected := make([]candidate, 0, len(here)+len(far))
	for _, s := range here {
		selected = append(selected, r.newCandidate(now, s))
	}
	for i, s := range far {
		c, trip := r.newCandidate(now, s), r.distances.trips.RoundTrip(s.dataCentre)
		c.far, c.roundTrip, c.extraCost = true, trip, locality.ExtraCost(trip, latency)
		if i < joined {
			c.replyWithin = trip + offerWindow
		} else {
			c.overflow = true
		}
		selected = append(selected, c)
	}
	return selected, true
}

// farCandidates returns how many far servers are asked together with those here, and logs
// when the first search does and when the last one did.
func (r *Router) farCandidates(now time.Time, service string, latency, roundTrip time.Duration) int {
	b := r.distances.balance(service)
	before := b.Share()
	n := b.FarCandidates(now, latency, roundTrip, rand.Float64())
	if after := b.Share(); (before == 0) != (after == 0) {
		here, elsewhere := b.Costs(now)
		r.log.Write("look-elsewhere", "service", service, "share", after, "cost_here", here, "cost_elsewhere", elsewhere,
			"round_trip_ms", float64(roundTrip.Microseconds())/1000, "latency_ms", latency.Milliseconds())
	}
	return n
}

// pickRandom returns up to n servers picked at random, so that a data centre is picked in
// proportion to its servers and nodes pick different ones. It reorders the list.
func pickRandom(list []*server, n int) []*server {
	n = min(n, len(list))
	for i := range n {
		j := i + rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// searchReport is what the replies to one search say about the servers of a service here
// and elsewhere; a cost of 0 means that there was no reply.
type searchReport struct {
	service         string
	here, elsewhere float64
	trips           []measuredTrip
}

// measuredTrip is the time from a slot request to its reply.
type measuredTrip struct {
	dataCentre string
	took       time.Duration
}

// recordSearch updates what is known of distances and costs.
func (r *Router) recordSearch(m *searchReport) {
	if r.distances == nil {
		return
	}
	now := r.clock.Now()
	for _, t := range m.trips {
		r.distances.trips.Record(now, t.dataCentre, t.took)
	}
	if m.here > 0 {
		r.distances.balance(m.service).RecordHere(now, m.here)
	}
	if m.elsewhere > 0 {
		r.distances.balance(m.service).RecordElsewhere(now, m.elsewhere)
	}
}
