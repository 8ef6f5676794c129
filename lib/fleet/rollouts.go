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
}

func noRollouts() rolloutHooks {
	return rolloutHooks{records: func(registry.Update) {}, received: func(rollout.Message) {}, current: func() []rollout.Message { return nil }}
}

// WithRollouts returns the hooks with three functions: records receives each update from
// the store before the fleet applies it, received what peers know of rollouts, from the
// task of a link, and current returns what this node knows, for a peer that has just been
// linked.
func (h Hooks) WithRollouts(records func(registry.Update), received func(rollout.Message), current func() []rollout.Message) Hooks {
	h.rollouts = rolloutHooks{records: records, received: received, current: current}
	return h
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
