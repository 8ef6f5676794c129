package fleet

import (
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
)

// Hooks are the callbacks of a fleet. They must not block. They are called from the
// task of the fleet, except watch, which is called from the task of a link, and
// entryLost, which is called from either.
type Hooks struct {
	decode       func(text []byte) (*routeconfig.Config, error)
	snapshot     func(Snapshot)
	peers        func([]Peer)
	nodes        func(count int)
	departures   func(records []registry.Record, stored bool)
	register     func(entry registry.Record, exists bool)
	watch        func(peer string, phase registry.WatchPhase)
	entryLost    func()
	removeMember func(registry.Record)
	suspicions   func([]quarantine.Record)
	heldRequests func() []quarantine.Record
	quotas       quotaHooks
	rollouts     rolloutHooks
}

// NewHooks returns hooks:
//
//   - decode parses the operators' configuration,
//   - snapshot receives each configuration that is put in force,
//   - peers receives the nodes that have a link,
//   - nodes receives the number of members, this one included, once it is known,
//   - departures receives the records of servers that leave, and whether they come
//     from the store,
//   - register receives the entry of this node and whether the store has it
//     already,
//   - watch receives the phases of the watches of peers,
//   - entryLost is called when the store no longer has the entry of this node,
//   - removeMember receives the entry of a member that stays unreachable, to be
//     removed from the store.
func NewHooks(decode func([]byte) (*routeconfig.Config, error), snapshot func(Snapshot), peers func([]Peer), nodes func(int), departures func(records []registry.Record, stored bool), register func(entry registry.Record, exists bool), watch func(peer string, phase registry.WatchPhase), entryLost func(), removeMember func(registry.Record)) Hooks {
	return Hooks{decode: decode, snapshot: snapshot, peers: peers, nodes: nodes, departures: departures, register: register, watch: watch, entryLost: entryLost, removeMember: removeMember,
		suspicions: func([]quarantine.Record) {}, heldRequests: func() []quarantine.Record { return nil }, rollouts: noRollouts()}
}

// WithQuarantine returns the hooks with a function that receives, from the task of a link,
// what peers have seen of requests under which servers ended, and one that returns the
// requests that are held, for a peer that has just been linked.
func (h Hooks) WithQuarantine(suspicions func([]quarantine.Record), heldRequests func() []quarantine.Record) Hooks {
	h.suspicions, h.heldRequests = suspicions, heldRequests
	return h
}
