package rollout

import (
	"maps"
	"math/bits"
)

const (
	// recentSize is how many of the newest responses decide. A version that turns bad
	// late must not be covered by its earlier good responses.
	recentSize = 16
	// maxRoutes bounds the routes of a tally. Responses of further routes count only
	// among those of all routes.
	maxRoutes = 32
	// allRoutes is the key of the counts of all routes together.
	allRoutes = ""
)

// Counts are the judged responses of a server to the requests of one route.
type Counts struct {
	good   int
	bad    int
	recent uint16 // the newest responses, 1 for a bad one, the newest in bit 0
	length int    // of recent
}

// NewCounts returns counts of good and bad responses. The lowest length bits of recent
// are the newest responses, 1 for a bad one.
func NewCounts(good, bad int, recent uint16, length int) Counts {
	return Counts{good: good, bad: bad, recent: recent, length: min(max(length, 0), recentSize)}
}

// Good returns the number of good responses.
func (c Counts) Good() int { return c.good }

// Bad returns the number of bad responses.
func (c Counts) Bad() int { return c.bad }

// Recent returns the newest responses as bits, 1 for a bad one, and how many they are.
func (c Counts) Recent() (outcomes uint16, length int) { return c.recent, c.length }

// add counts a response.
func (c Counts) add(bad bool) Counts {
	c.recent <<= 1
	if bad {
		c.bad++
		c.recent |= 1
	} else {
		c.good++
	}
	c.length = min(c.length+1, recentSize)
	return c
}

// recentBad returns how many of the newest responses are bad.
func (c Counts) recentBad() int { return bits.OnesCount16(c.recent & (1<<c.length - 1)) }

// rate returns the fraction of bad responses among the newest.
func (c Counts) rate() float64 {
	if c.length == 0 {
		return 0
	}
	return float64(c.recentBad()) / float64(c.length)
}

// Tally holds the judged responses of one server during a rollout.
type Tally struct {
	node     string
	release  string
	instance string
	running  int
	routes   map[string]Counts
}

// NewTally returns an empty tally of the instance beside the named node.
func NewTally(node, release, instance string) Tally {
	return Tally{node: node, release: release, instance: instance, routes: map[string]Counts{}}
}

// WithRunning returns the tally with the number of requests under way at the server.
func (t Tally) WithRunning(running int) Tally {
	t.running = running
	return t
}

// WithCounts returns the tally with the counts of a route, "" for all routes together.
func (t Tally) WithCounts(route string, c Counts) Tally {
	t.routes = maps.Clone(t.routes)
	t.routes[route] = c
	return t
}

// Add returns the tally with one more judged response.
func (t Tally) Add(route string, bad bool) Tally {
	t = t.WithCounts(allRoutes, t.routes[allRoutes].add(bad))
	if _, known := t.routes[route]; route != allRoutes && (known || len(t.routes) <= maxRoutes) {
		t.routes[route] = t.routes[route].add(bad)
	}
	return t
}

// Node returns the node beside the server.
func (t Tally) Node() string { return t.node }

// Release returns the version of the server.
func (t Tally) Release() string { return t.release }

// Instance returns the id of the instance.
func (t Tally) Instance() string { return t.instance }

// Running returns the number of requests under way at the server.
func (t Tally) Running() int { return t.running }

// Routes returns the counts by route, "" for all routes together. It must not be changed.
func (t Tally) Routes() map[string]Counts { return t.routes }

// total returns the number of judged responses.
func (t Tally) total() int { return t.routes[allRoutes].good + t.routes[allRoutes].bad }

// worst returns the counts of the route with the highest rate of bad responses among
// those with at least least of them, and false if there are none.
func (t Tally) worst(least int, threshold func(route string) float64) (route string, found bool) {
	worst := 0.0
	for name, c := range t.routes {
		if c.recentBad() >= least && c.rate() >= threshold(name) && (!found || c.rate() > worst) {
			route, worst, found = name, c.rate(), true
		}
	}
	return route, found
}
