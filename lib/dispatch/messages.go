package dispatch

import (
	"time"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// message is a closed union; exactly one part is set.
type message struct {
	plan      *planMessage
	more      *moreMessage
	spend     *spendMessage
	learned   *learned
	took      *tookMessage
	situation *fleet.Snapshot
	peers     *[]fleet.Peer
	local     *localMessage
	nodes     *int
	dump      task.Reply[Dump]
}

// plan is how a request starts.
type plan struct {
	route      *routeconfig.Route
	service    string
	version    uint64
	usual      time.Duration
	candidates []candidate
}

// candidate is a server to ask, with what its distance costs.
type candidate struct {
	port     *upstream.Endpoint
	distance float64
}

// costOf returns the cost of distance for a request with a body of size bytes.
func (c candidate) costOf(size int) float64 {
	if c.distance < costFar {
		return c.distance
	}
	return c.distance + min(costFarBody*float64(size), costFarMost)
}

// learned is what a reply to an ask said of a server.
type learned struct {
	service string
	node    string
	cost    float64
	silent  bool
}

// tookMessage tells how long a server took for a request of a route.
type tookMessage struct {
	key  string
	took time.Duration
}

// Dump is the state of a router for the state dump.
type Dump struct {
	version uint64
	servers map[string][]string
	tokens  map[string]float64
}

// Version returns the version of the configuration that requests are routed by.
func (d Dump) Version() uint64 { return d.version }

// Servers returns the nodes with an open server, by service.
func (d Dump) Servers() map[string][]string { return d.servers }

// RetryTokens returns the further attempts that this node may make now, by service.
func (d Dump) RetryTokens() map[string]float64 { return d.tokens }
