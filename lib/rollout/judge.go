package rollout

import (
	"slices"
	"time"
)

const (
	// leastResponses is how many responses a server must have for it to count as sound. Of
	// a version that fails half of its requests, 6 have at least 2 bad ones 8 times in 9.
	leastResponses = 6
	// suspectBad is how many of the newest responses of a server must be bad for it to
	// count against the version. With 5 in 100 responses lost, that and badRate are met by
	// chance once in 30 times, and by several servers at once hardly ever.
	suspectBad = 2
	// versionBad is how many of the newest responses of those servers must be bad together.
	versionBad = 8
	// blockBad is how many of them must be bad for the server to delay the next step.
	blockBad = 3
	// suspicionTime is the fraction of the time within which a bad version must be rolled
	// back after which a suspicion that is neither confirmed nor refuted counts.
	suspicionTime = 0.8
	// asideBad is how many of them must be bad for the server to be set aside alone.
	asideBad = 5
	// badRate is the least rate of bad responses of a suspected server. Bad versions fail
	// half of their requests; a sound server loses up to 5 in 100.
	badRate = 0.3
	// baselineFactor and baselineMargin raise that rate when the servers of the old
	// version have bad responses at the same time, whose cause is then not the version.
	baselineFactor = 2.0
	baselineMargin = 0.1
	// confirmingServers is how many servers must be suspected, or a majority of all target
	// servers where that is fewer. Of the servers of a good version, 14 in 100 fail half of
	// their requests: two that were chosen at random are both such servers once in 50
	// times, four once in 2,600.
	confirmingServers = 4
	// commonRate is the rate of bad responses of the median target server from which on the
	// version is bad although no single server is: a fault under load shows in a part of the
	// responses of all servers. Slow and faulty servers are a minority and don't move the
	// median. commonFactor and commonMargin raise the rate as above.
	commonRate   = 0.12
	commonFactor = 3.0
	commonMargin = 0.05
	// commonServers and commonResponses are how many servers must have how many of the
	// newest responses: of 6 servers that lose 5 in 100, 4 have 2 bad ones once in 70 times.
	commonServers   = 6
	commonResponses = 12
)

// Verdict is why a version is bad: the route, "" for all together, and the counts that
// decided.
type Verdict struct {
	route    string
	servers  int
	judged   int
	bad      int
	total    int
	baseline float64
	reason   string
}

// Route returns the route on which the version is bad, "" for all routes together.
func (v Verdict) Route() string { return v.route }

// Servers returns how many servers have too many bad responses.
func (v Verdict) Servers() int { return v.servers }

// Judged returns how many servers have enough responses to be judged.
func (v Verdict) Judged() int { return v.judged }

// Bad returns the number of bad responses of the newest ones that decided.
func (v Verdict) Bad() int { return v.bad }

// Total returns the number of those newest responses.
func (v Verdict) Total() int { return v.total }

// Baseline returns the rate of bad responses of the median server of the old version.
func (v Verdict) Baseline() float64 { return v.baseline }

// Reason returns which rule decided.
func (v Verdict) Reason() string { return v.reason }

// baseline returns the rate of bad responses of the median server of the old version on a
// route.
func (r *Rollout) baseline(route string) float64 {
	var rates []float64
	for _, t := range r.tallies {
		if c := t.routes[route]; t.release == r.previous() && c.length >= leastResponses {
			rates = append(rates, c.rate())
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// threshold returns the rate of bad responses from which on a target server is suspected.
func (r *Rollout) threshold(route string) float64 {
	return max(badRate, baselineFactor*r.baseline(route)+baselineMargin)
}

// isSuspect reports whether the target server beside a node has too many bad responses.
func (r *Rollout) isSuspect(node string) bool {
	t, ok := r.targetTally(node)
	if !ok {
		return false
	}
	_, suspect := t.worst(blockBad, r.threshold)
	return suspect
}

// isSetAside reports whether the target server beside a node is replaced by another.
func (r *Rollout) isSetAside(node string) bool {
	t, ok := r.targetTally(node)
	if !ok {
		return false
	}
	_, aside := t.worst(asideBad, r.threshold)
	return aside
}

// targetTally returns the tally of the target server beside a node.
func (r *Rollout) targetTally(node string) (Tally, bool) {
	t, ok := r.tallies[node]
	return t, ok && t.release == r.order.target
}

// judge returns whether the target version is bad on any route, by the tallies of all
// target servers. count is the number of target servers.
func (r *Rollout) judge(now time.Time, count int) (Verdict, bool) {
	routes := map[string]bool{}
	for _, t := range r.tallies {
		if t.release != r.order.target {
			continue
		}
		for route := range t.routes {
			routes[route] = true
		}
	}
	if v, bad := r.judgeTogether(); bad {
		return v, true
	}
	suspected := false
	for route := range routes {
		v := r.judgeRoute(route)
		if v.servers == 0 || 3*v.servers <= 2*v.judged {
			continue
		}
		if v.reason = r.confirm(now, v, max(count, v.judged)); v.reason != "" {
			return v, true
		}
		suspected = suspected || v.servers >= min(2, max(count, 1))
	}
	if !suspected {
		r.suspectedSince = time.Time{}
	}
	return Verdict{}, false
}

// judgeTogether returns whether most target servers have more bad responses than those of
// the old version at the same time, all routes together.
func (r *Rollout) judgeTogether() (Verdict, bool) {
	v := Verdict{route: allRoutes, baseline: r.baseline(allRoutes), reason: "median server"}
	var rates []float64
	for _, t := range r.tallies {
		c := t.routes[allRoutes]
		if t.release != r.order.target || c.length < commonResponses {
			continue
		}
		rates = append(rates, c.rate())
		v.judged, v.bad, v.total = v.judged+1, v.bad+c.recentBad(), v.total+c.length
		if c.recentBad() >= suspectBad {
			v.servers++
		}
	}
	if v.judged < commonServers {
		return Verdict{}, false
	}
	slices.Sort(rates)
	median := rates[(len(rates)-1)/2]
	return v, median >= max(commonRate, commonFactor*v.baseline+commonMargin)
}

// judgeRoute counts the target servers with too many bad responses on a route.
func (r *Rollout) judgeRoute(route string) Verdict {
	v := Verdict{route: route, baseline: r.baseline(route)}
	threshold := r.threshold(route)
	for _, t := range r.tallies {
		c := t.routes[route]
		if t.release != r.order.target {
			continue
		}
		isBad := c.recentBad() >= suspectBad && c.rate() >= threshold
		if isBad || c.length >= leastResponses {
			v.judged++
		}
		if isBad {
			v.servers++
			v.bad += c.recentBad()
			v.total += c.length
		}
	}
	return v
}

// confirm returns the reason why the evidence against a majority of count target servers
// suffices, or "".
func (r *Rollout) confirm(now time.Time, v Verdict, count int) string {
	switch {
	case count == 1:
		if v.bad >= asideBad {
			return "only server"
		}
		return ""
	case v.servers < 2 || v.bad < versionBad:
		return ""
	case v.servers >= min(confirmingServers, count/2+1):
		return "majority of servers"
	case r.totalBad() >= int(r.bounds.slack/2):
		// Half of the bad responses after which the version must be rolled back.
		return "bad responses"
	}
	if r.suspectedSince.IsZero() {
		r.suspectedSince = now
	}
	if now.Sub(r.suspectedSince) >= time.Duration(suspicionTime*float64(r.bounds.rollbackAfter)) {
		return "no better server in time"
	}
	return ""
}

// totalBad returns the number of bad responses of the target version.
func (r *Rollout) totalBad() int {
	n := 0
	for _, t := range r.tallies {
		if t.release == r.order.target {
			n += t.routes[allRoutes].bad
		}
	}
	return n
}
