package gossip

import (
	"errors"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

const (
	maxRecentDocuments = 32
	fetchRetryInterval = 500 * time.Millisecond
)

// configState holds the configuration in force and fetches newer revisions from
// peers. It is owned by the Agent; its life cycle is the chart "configuration".
type configState struct {
	agent               *Agent
	machine             *chart.Machine
	current             *document.Document
	recentDocuments     []*document.Document
	highestRevision     document.Revision
	highestRevisionPeer string
	requestedAt         time.Time
	pending             *document.Document
}

func (s *configState) start(configChart *chart.Chart, a *Agent) error {
	s.agent = a
	machine, err := configChart.NewMachine(chart.Actions{"publish": s.publish, "fetch": s.fetch})
	s.machine = machine
	return err
}

func (s *configState) revision() document.Revision {
	if s.current == nil {
		return 0
	}
	return s.current.Revision()
}

// observeRevision records a revision that a peer has, and requests an update if
// it is higher than any known one.
func (s *configState) observeRevision(now time.Time, r document.Revision, from string) {
	if r <= s.highestRevision && (r <= s.revision() || s.highestRevisionPeer != "") {
		return
	}
	s.highestRevision = max(r, s.highestRevision)
	s.highestRevisionPeer = from
	s.requestedAt = now
	s.fire("hear")
}

// offerDocument puts a document in force if its revision is above that in force.
// An older document is ignored, so that the configuration never reverts.
func (s *configState) offerDocument(d *document.Document) {
	if s.current != nil && d.Revision() <= s.current.Revision() {
		return
	}
	s.pending = d
	if d.Revision() >= s.highestRevision {
		s.highestRevision = d.Revision()
		s.highestRevisionPeer = ""
		s.fire("accept")
		return
	}
	s.fire("partial")
}

func (s *configState) fire(e chart.Event) {
	if err := s.machine.Fire(e); err != nil {
		s.agent.hooks.reportFault("configuration", "", err.Error())
	}
}

// publish puts the pending document in force and sends the changes to the peers
// that have an older one.
func (s *configState) publish() {
	previous := s.current
	s.current = s.pending
	s.agent.revisionInForce.Store(uint64(s.current.Revision()))
	s.recentDocuments = append(s.recentDocuments, s.current)
	if len(s.recentDocuments) > maxRecentDocuments {
		s.recentDocuments = s.recentDocuments[1:]
	}
	s.agent.hooks.documentPublished(s.current)
	if previous == nil && s.current.Revision() == 0 {
		return
	}
	for _, l := range s.agent.links {
		if document.Revision(l.peerRevision) < s.current.Revision() {
			s.sendUpdate(l, document.Revision(l.peerRevision))
		}
	}
}

// fetch requests an update from the peer that reported the highest revision, or
// from another that has it.
func (s *configState) fetch() {
	l := s.agent.links[s.highestRevisionPeer]
	if l == nil {
		l = s.linkAtRevision(s.highestRevision)
	}
	if l == nil {
		return
	}
	s.agent.send(l, Message{deltaRequest: &DeltaRequest{have: s.revision()}}, priorityEssential)
}

// linkAtRevision returns a link to a peer that has revision r, or any link if
// there is none.
func (s *configState) linkAtRevision(r document.Revision) *Link {
	var fallback *Link
	for _, l := range s.agent.links {
		if document.Revision(l.peerRevision) >= r {
			return l
		}
		fallback = l
	}
	return fallback
}

// retryFetch repeats a request that got no response in time.
func (s *configState) retryFetch(now time.Time) {
	if s.highestRevision > s.revision() && now.Sub(s.requestedAt) >= fetchRetryInterval {
		s.requestedAt = now
		s.fetch()
	}
}

// sendUpdate sends what the peer needs to get from a revision to the one in
// force: a delta if the document of that revision is still held, otherwise the
// whole document.
func (s *configState) sendUpdate(l *Link, from document.Revision) {
	if s.current == nil || from >= s.current.Revision() {
		return
	}
	s.agent.send(l, DeltaMessage(s.current.DeltaFrom(s.recentDocument(from))), priorityEssential)
	l.peerRevision = uint64(s.current.Revision())
}

func (s *configState) recentDocument(r document.Revision) *document.Document {
	for _, d := range s.recentDocuments {
		if d.Revision() == r {
			return d
		}
	}
	return nil
}

// applyDelta applies a delta from a peer to the document in force. If it starts
// at another revision, an update is requested from the peer instead.
func (s *configState) applyDelta(now time.Time, l *Link, delta document.Delta) {
	l.peerRevision = max(l.peerRevision, uint64(delta.To()))
	if delta.To() <= s.revision() {
		return
	}
	base := s.current
	if base == nil {
		base = document.Empty()
	}
	next, err := base.ApplyDelta(delta)
	var gapErr *document.RevisionGapError
	if errors.As(err, &gapErr) {
		s.highestRevision = max(s.highestRevision, delta.To())
		s.highestRevisionPeer, s.requestedAt = l.peer, now
		s.agent.send(l, Message{deltaRequest: &DeltaRequest{have: s.revision()}}, priorityEssential)
		return
	}
	if err != nil {
		s.agent.hooks.reportFault("delta", l.peer, err.Error())
		return
	}
	s.offerDocument(next)
}
