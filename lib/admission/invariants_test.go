package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

// model checks a gate under random load, faults and signals, several at once:
// what it grants stays within the limit, the limit within the slots, a cold
// server within its allowance, and every ticket gets exactly one final answer.
type model struct {
	*bench
	running map[admission.ID]bool
	queued  map[admission.ID]bool
	slow    time.Duration
}

func (m *model) take(t *rapid.T, decisions []admission.Decision) {
	for _, d := range decisions {
		if !m.queued[d.ID()] {
			t.Fatalf("decision on ticket %d, which does not wait", d.ID())
		}
		delete(m.queued, d.ID())
		if d.Status() == admission.Granted {
			m.running[d.ID()] = true
		}
	}
}

func (m *model) check(t *rapid.T) {
	g := m.gate
	switch {
	case g.InvariantBreaches() > 0:
		t.Fatalf("the gate counted %d breaches", g.InvariantBreaches())
	case g.InFlight() != len(m.running):
		t.Fatalf("in flight %d, granted and not finished %d", g.InFlight(), len(m.running))
	case g.QueueLen() != len(m.queued):
		t.Fatalf("queue %d, queued %d", g.QueueLen(), len(m.queued))
	case g.Limit() > g.Slots() || g.Limit() < 1:
		t.Fatalf("limit %d of %d slots", g.Limit(), g.Slots())
	case g.State() == "cold" && g.Limit() > max(1, g.Slots()/4):
		t.Fatalf("a cold server of %d slots has the limit %d", g.Slots(), g.Limit())
	case !g.Admits() && g.QueueLen() > 0:
		t.Fatalf("state %s keeps a queue", g.State())
	}
}

func (m *model) offerRandom(t *rapid.T) {
	class := document.Class(rapid.IntRange(0, document.NumClasses-1).Draw(t, "class"))
	ticket := m.ticket(class, rapid.IntRange(0, 14).Draw(t, "depth"), time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline"))*time.Millisecond).
		WithShort(rapid.Bool().Draw(t, "short")).WithFailFast(rapid.Bool().Draw(t, "impatient"))
	before := m.gate.InFlight()
	switch d := m.gate.Submit(m.now, ticket); d.Status() {
	case admission.Granted:
		m.running[ticket.ID()] = true
		if before >= m.gate.Limit() {
			t.Fatalf("granted at %d in flight of limit %d", before, m.gate.Limit())
		}
	case admission.Queued:
		m.queued[ticket.ID()] = true
	case admission.Refused:
	}
}

func (m *model) finishRandom(t *rapid.T) {
	for id := range m.running {
		result := admission.Result(rapid.IntRange(0, 3).Draw(t, "result"))
		delete(m.running, id)
		m.take(t, m.gate.Finish(m.now, id, result, m.slow))
		return
	}
}

func TestInvariantsHoldUnderRandomLoadAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		g, err := admission.New(serverChartOf(t), slots, time.Unix(1000, 0))
		if err != nil {
			t.Fatal(err)
		}
		m := &model{
			bench:   &bench{gate: g, now: time.Unix(1000, 0)},
			running: map[admission.ID]bool{}, queued: map[admission.ID]bool{}, slow: 10 * time.Millisecond,
		}
		signals := []chart.Event{
			admission.EventDrain, admission.EventSilent, admission.EventSuspend, admission.EventResume, admission.EventRestart,
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offerRandom,
			"offer2": m.offerRandom,
			"finish": m.finishRandom,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(t *rapid.T) { m.take(t, m.gate.Tick(m.now)) },
			"slow": func(t *rapid.T) { m.slow = time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond },
			"signal": func(t *rapid.T) {
				decisions, err := m.gate.HandleEvent(m.now, rapid.SampledFrom(signals).Draw(t, "event"))
				if err == nil {
					m.take(t, decisions)
				}
			},
			"withdraw": func(*rapid.T) {
				for id := range m.queued {
					if m.gate.Cancel(id) {
						delete(m.queued, id)
					}
					return
				}
			},
			"": m.check,
		})
	})
}

func serverChartOf(t *rapid.T) *chart.Chart {
	set, err := chart.Embedded()
	if err != nil {
		t.Fatal(err)
	}
	c, err := set.Chart("server")
	if err != nil {
		t.Fatal(err)
	}
	return c
}
