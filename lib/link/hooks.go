package link

import (
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/upstream"
)

// Handler serves the requests that a peer sends over a link. Its fields are functions
// of the task that manages the server on this host.
type Handler struct {
	reserve     func(key limiter.Key, r upstream.SlotRequest, reply func(upstream.Event))
	withdraw    func(key limiter.Key)
	submit      func(key limiter.Key, r *upstream.Request)
	cancel      func(key limiter.Key)
	releaseLink func(link uint64)
	requests    *upstream.BodyMemory
	responses   *upstream.BodyMemory
}

// NewHandler returns a handler made of five functions. reserve reports events of a
// slot request through its last argument, which may be called several times.
// releaseLink releases everything that the link with the given id holds. The bodies of
// requests and responses that arrive over links take their memory from the last two.
func NewHandler(reserve func(limiter.Key, upstream.SlotRequest, func(upstream.Event)), withdraw func(limiter.Key), submit func(limiter.Key, *upstream.Request), cancel func(limiter.Key), releaseLink func(uint64), requests, responses *upstream.BodyMemory) Handler {
	return Handler{reserve: reserve, withdraw: withdraw, submit: submit, cancel: cancel, releaseLink: releaseLink, requests: requests, responses: responses}
}

// Hooks pass received messages and the end of a link to its owner. They are called
// from the task of the link and must not block.
type Hooks struct {
	hello       func(l *Link, h Hello)
	serverState func(l *Link, s ServerState)
	versions    func(l *Link, v Versions)
	signal      func(l *Link, s Signal)
	members     func(records []registry.Record)
	roster      func(records []registry.Record)
	departures  func(records []registry.Record)
	suspicions  func(records []quarantine.Record)
	rollout     func(m rollout.Message)
	snapshot    func(l *Link, s Snapshot)
	silence     func(l *Link, silent bool)
	closed      func(l *Link, err error)

	quotaQuestion func(l *Link, q quota.Question)
	quotaAnswer   func(l *Link, a quota.Answer)
}

// NewHooks returns hooks made of ten functions. silence reports that the peer has
// become silent, and that it is heard again.
func NewHooks(hello func(*Link, Hello), serverState func(*Link, ServerState), versions func(*Link, Versions), signal func(*Link, Signal), members, departures func([]registry.Record), suspicions func([]quarantine.Record), snapshot func(*Link, Snapshot), silence func(*Link, bool), closed func(*Link, error)) Hooks {
	return Hooks{hello: hello, serverState: serverState, versions: versions, signal: signal, members: members, departures: departures, suspicions: suspicions, snapshot: snapshot, silence: silence, closed: closed,
		quotaQuestion: func(*Link, quota.Question) {}, quotaAnswer: func(*Link, quota.Answer) {},
		rollout: func(rollout.Message) {}, roster: func([]registry.Record) {}}
}

// WithRoster returns the hooks with a function that receives the entries of all members,
// as a peer knows them.
func (h Hooks) WithRoster(roster func([]registry.Record)) Hooks {
	h.roster = roster
	return h
}
