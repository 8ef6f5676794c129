package gossip

import (
	"errors"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

const (
	keptRevisions = 32
	fetchRetry    = 500 * time.Millisecond
)

// configState is what the node knows of the configuration. It belongs to the
// Control task; its life cycle is the chart "configuration".
type configState struct {
	control *Control
	machine *chart.Machine
	current *document.Document
	recent  []*document.Document
	highest document.Revision
	source  string
	asked   time.Time
	next    *document.Document
}

func (s *configState) start(configChart *chart.Chart, c *Control) error {
	s.control = c
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

// hear notes a revision that a peer mentioned, and asks for it when it is
// higher than any known.
func (s *configState) hear(now time.Time, r document.Revision, from string) {
	if r <= s.highest && (r <= s.revision() || s.source != "") {
		return
	}
	s.highest = max(r, s.highest)
	s.source = from
	s.asked = now
	s.fire("hear")
}

// offer takes a whole document. It never goes back: a document at or below the
// revision in force is dropped, unless there is none yet.
func (s *configState) offer(d *document.Document) {
	if s.current != nil && d.Revision() <= s.current.Revision() {
		return
	}
	s.next = d
	if d.Revision() >= s.highest {
		s.highest = d.Revision()
		s.source = ""
		s.fire("accept")
		return
	}
	s.fire("partial")
}

func (s *configState) fire(e chart.Event) {
	if err := s.machine.Fire(e); err != nil {
		s.control.hooks.fault("configuration", "", err.Error())
	}
}

// publish puts the accepted document in force and passes it on.
func (s *configState) publish() {
	before := s.current
	s.current = s.next
	s.control.inForce.Store(uint64(s.current.Revision()))
	s.recent = append(s.recent, s.current)
	if len(s.recent) > keptRevisions {
		s.recent = s.recent[1:]
	}
	s.control.hooks.config(s.current)
	if before == nil && s.current.Revision() == 0 {
		return
	}
	for _, l := range s.control.links {
		if document.Revision(l.revision) < s.current.Revision() {
			s.answer(l, document.Revision(l.revision))
		}
	}
}

// fetch asks the peer that mentioned the highest revision.
func (s *configState) fetch() {
	l := s.control.links[s.source]
	if l == nil {
		l = s.anyLinkAt(s.highest)
	}
	if l == nil {
		return
	}
	s.control.send(l, Message{request: &DeltaRequest{have: s.revision()}}, priorityEssential)
}

func (s *configState) anyLinkAt(r document.Revision) *Link {
	var any *Link
	for _, l := range s.control.links {
		if document.Revision(l.revision) >= r {
			return l
		}
		any = l
	}
	return any
}

// retry asks again when an answer did not come.
func (s *configState) retry(now time.Time) {
	if s.highest > s.revision() && now.Sub(s.asked) >= fetchRetry {
		s.asked = now
		s.fetch()
	}
}

// answer sends what leads from a revision to the one in force: a delta when
// the revision is remembered, otherwise the whole document.
func (s *configState) answer(l *Link, have document.Revision) {
	if s.current == nil || have >= s.current.Revision() {
		return
	}
	s.control.send(l, DeltaMessage(s.current.DeltaFrom(s.remembered(have))), priorityEssential)
	l.revision = uint64(s.current.Revision())
}

func (s *configState) remembered(r document.Revision) *document.Document {
	for _, d := range s.recent {
		if d.Revision() == r {
			return d
		}
	}
	return nil
}

// patch takes a change from a peer. When it does not apply, the whole document
// is asked for.
func (s *configState) patch(now time.Time, l *Link, delta document.Delta) {
	l.revision = max(l.revision, uint64(delta.To()))
	if delta.To() <= s.revision() {
		return
	}
	base := s.current
	if base == nil {
		base = document.Empty()
	}
	next, err := base.ApplyDelta(delta)
	var gap *document.RevisionGapError
	if errors.As(err, &gap) {
		s.highest = max(s.highest, delta.To())
		s.source, s.asked = l.peer, now
		s.control.send(l, Message{request: &DeltaRequest{have: s.revision()}}, priorityEssential)
		return
	}
	if err != nil {
		s.control.hooks.fault("delta", l.peer, err.Error())
		return
	}
	s.offer(next)
}
