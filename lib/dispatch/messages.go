package dispatch

import (
	"time"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// message is a request to the router's task; exactly one field is set.
type message struct {
	plan        *planMessage
	candidates  *candidatesMessage
	retry       *retryMessage
	observation *observation
	searched    *searchReport
	latency     *latencyMessage
	snapshot    *fleet.Snapshot
	peers       *[]fleet.Peer
	localServer *localServerMessage
	nodeCount   *int
	stop        *stopTimes
	suspicions  []quarantine.Record
	versions    *versionsMessage
	hedging     *hedgingMessage
	dump        task.Reply[Dump]
}

// abandon ends the wait for the reply to the message, if it has one.
func (m message) abandon() {
	switch {
	case m.plan != nil:
		m.plan.reply.Abandon()
	case m.candidates != nil:
		m.candidates.reply.Abandon()
	case m.retry != nil:
		m.retry.reply.Abandon()
	case m.versions != nil:
		m.versions.reply.Abandon()
	case m.hedging != nil && m.hedging.take != nil:
		m.hedging.take.reply.Abandon()
	}
	m.dump.Abandon()
}

// stopTimes are the times of a node that stops.
type stopTimes struct {
	lastAccepted time.Time
	shutdown     upstream.Shutdown
}

type planMessage struct {
	call  Call
	reply task.Reply[planResult]
}

type planResult struct {
	plan plan
	err  error
}

type candidatesMessage struct {
	service string
	latency time.Duration
	exclude []string
	release string
	trial   quarantine.Fingerprint // 0, or the ambiguous request that the only candidate is for
	reply   task.Reply[[]candidate]
}

type retryMessage struct {
	service string
	reply   task.Reply[bool]
}

type localServerMessage struct {
	service   string
	accepting bool
	endpoint  *upstream.Endpoint
}

// plan is the result of matching a call: its route, the service chosen for it, and
// the servers to ask for a slot.
type plan struct {
	route       *routeconfig.Route
	service     string
	version     uint64
	meanLatency time.Duration
	candidates  []candidate
	// tenant is nil without tenants in the configuration, for an anonymous route and for
	// a nested call without an API key.
	tenant  *routeconfig.Tenant
	config  *routeconfig.Config
	nested  bool
	release string // of the servers to ask, "" for any
	canary  bool   // whether it is the target of a rollout that still has another version
	// hedgesLimited reports whether the settings limit hedges; hedgeAfter is then how long
	// an attempt runs before it is hedged, if hedgeKnown.
	hedgesLimited bool
	hedgeAfter    time.Duration
	hedgeKnown    bool
}

// candidate is a server to ask for a slot, with the cost factor of its
// distance. With far data centres, it also holds what distance.go decided.
type candidate struct {
	endpoint       *upstream.Endpoint
	distanceFactor float64
	dataCentre     string        // "" for this node's own, or if distances do not matter
	distant        bool          // in a far data centre
	far            bool          // in a far data centre, while there are servers here
	suspected      bool          // did not reply in time recently, while others do
	overflow       bool          // asked only if nothing else is free
	roundTrip      time.Duration // of a far server
	replyWithin    time.Duration // how long its reply is waited for after an offer, 0 for offerWindow
	extraCost      float64       // added to what it offers
	askedAt        time.Time
}

// costFactor returns the cost factor of the distance for a request with a body
// of size bytes.
func (c candidate) costFactor(size int) float64 {
	if c.distanceFactor < remoteFactor {
		return c.distanceFactor
	}
	return c.distanceFactor + min(remoteFactorPerByte*float64(size), maxRemoteBodyFactor)
}

// observation is what a reply to a slot request, or the lack of one, says
// about a server.
type observation struct {
	service      string
	node         string
	cost         float64
	unresponsive bool
}

// latencyMessage reports that a server has finished a request of a route, and how long it
// took.
type latencyMessage struct {
	route       string
	latency     time.Duration
	fingerprint quarantine.Fingerprint
}

// Dump is the state of a router for the state dump.
type Dump struct {
	version     uint64
	servers     map[string][]string
	retryTokens map[string]float64
}

// Version returns the version of the configuration in force.
func (d Dump) Version() uint64 { return d.version }

// Servers returns the nodes with a server that accepts requests, by service.
func (d Dump) Servers() map[string][]string { return d.servers }

// RetryTokens returns the number of retries that this node may make now, by
// service.
func (d Dump) RetryTokens() map[string]float64 { return d.retryTokens }
