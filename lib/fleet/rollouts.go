package fleet

import (
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
)

// rolloutHooks connect the fleet to what follows rollouts.
type rolloutHooks struct {
	records  func(registry.Update)
	received func(rollout.Message)
	current  func() []rollout.Message
	server   func(instance, release string)
}

func noRollouts() rolloutHooks {
	return rolloutHooks{records: func(registry.Update) {}, received: func(rollout.Message) {}, current: func() []rollout.Message { return nil },
		server: func(string, string) {}}
}

// WithRollouts returns the hooks with four functions: records receives each update from
// the store before the fleet applies it, received what peers know of rollouts, from the
// task of a link, current returns what this node knows, for a peer that has just been
// linked, and server receives the version of the server instance on this host that an
// earlier process of this node has written to the store.
func (h Hooks) WithRollouts(records func(registry.Update), received func(rollout.Message), current func() []rollout.Message, server func(instance, release string)) Hooks {
	h.rollouts = rolloutHooks{records: records, received: received, current: current, server: server}
	return h
}

// recallServer passes on the version of the server on this host that the node's entry
// states, and keeps it in the entry until a server states another.
func (f *Fleet) recallServer(entry Member) {
	if instance, release := entry.Server(); release != "" && entry.service == f.self.service {
		f.hooks.rollouts.server(instance, release)
		if f.self.server == nil {
			f.self = f.self.WithServer(instance, release)
		}
	}
}

// recordServer writes the entry of this node again if the server on its host has announced
// a version that the entry does not state. The next process of the node reads it there.
func (f *Fleet) recordServer(s link.ServerState) {
	if s.Release() == "" || f.self.states(s.Instance(), s.Release()) {
		return
	}
	f.self = f.self.WithServer(s.Instance(), s.Release())
	if f.registered {
		f.writeSelf(f.readVersion)
	}
}

// SendRollout tells the peers what this node knows of a rollout. It never blocks.
func (f *Fleet) SendRollout(m rollout.Message) {
	if !f.inbox.TrySend(message{rollout: &m}) {
		f.log.Write("rollout-not-sent", "service", m.Order().Service())
	}
}

func (f *Fleet) broadcastRollout(m rollout.Message) {
	for _, p := range f.links {
		p.link.SendRollout(m)
	}
}

// sendRollouts tells a peer that has just been linked what this node knows.
func (f *Fleet) sendRollouts(l *link.Link) {
	for _, m := range f.hooks.rollouts.current() {
		l.SendRollout(m)
	}
}
