package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

// model is the expected state of a controller under random load and events. It
// checks that requests are granted only within the limit, that the limit stays
// within the slots and, while the server is cold, within the cold limit, and that
// every queued request gets exactly one final decision.
type model struct {
	*harness
	running map[admission.ID]bool
	queued  map[admission.ID]bool
	latency time.Duration
}

func (m *model) apply(t *rapid.T, decisions []admission.Decision) {
	for _, d := range decisions {
		if !m.queued[d.ID()] {
			t.Fatalf("decision on request %d, which is not queued", d.ID())
		}
		delete(m.queued, d.ID())
		if d.Status() == admission.Granted {
			m.running[d.ID()] = true
		}
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	c := m.controller
	switch {
	case c.InvariantBreaches() > 0:
		t.Fatalf("got %d invariant breaches, want 0", c.InvariantBreaches())
	case c.InFlight() != len(m.running):
		t.Fatalf("got %d requests in flight, want %d", c.InFlight(), len(m.running))
	case c.QueueLen() != len(m.queued):
		t.Fatalf("got queue length %d, want %d", c.QueueLen(), len(m.queued))
	case c.Limit() > c.Slots() || c.Limit() < 1:
		t.Fatalf("got limit %d, want 1 to %d", c.Limit(), c.Slots())
	case c.State() == "cold" && c.Limit() > max(1, c.Slots()/4):
		t.Fatalf("got limit %d of a cold server with %d slots, want at most a quarter", c.Limit(), c.Slots())
	case !c.Admits() && c.QueueLen() > 0:
		t.Fatalf("got %d queued requests in state %s, want none", c.QueueLen(), c.State())
	}
}

func (m *model) submitRandom(t *rapid.T) {
	class := document.Class(rapid.IntRange(0, document.NumClasses-1).Draw(t, "class"))
	request := m.newRequest(class, rapid.IntRange(0, 14).Draw(t, "depth"), time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline"))*time.Millisecond).
		WithShort(rapid.Bool().Draw(t, "short")).WithFailFast(rapid.Bool().Draw(t, "failFast"))
	before := m.controller.InFlight()
	switch d := m.controller.Submit(m.now, request); d.Status() {
	case admission.Granted:
		m.running[request.ID()] = true
		if before >= m.controller.Limit() {
			t.Fatalf("request granted with %d in flight, limit %d", before, m.controller.Limit())
		}
	case admission.Queued:
		m.queued[request.ID()] = true
	case admission.Refused:
	}
}

func (m *model) finishRandom(t *rapid.T) {
	for id := range m.running {
		result := admission.Result(rapid.IntRange(0, 3).Draw(t, "result"))
		delete(m.running, id)
		m.apply(t, m.controller.Finish(m.now, id, result, m.latency))
		return
	}
}

func TestController_InvariantsHoldUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		c, err := admission.New(serverChartOf(t), slots, time.Unix(1000, 0))
		if err != nil {
			t.Fatal(err)
		}
		m := &model{
			harness: &harness{controller: c, now: time.Unix(1000, 0)},
			running: map[admission.ID]bool{}, queued: map[admission.ID]bool{}, latency: 10 * time.Millisecond,
		}
		events := []chart.Event{
			admission.EventDrain, admission.EventSilent, admission.EventSuspend, admission.EventResume, admission.EventRestart,
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.submitRandom,
			"offer2": m.submitRandom,
			"finish": m.finishRandom,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(t *rapid.T) { m.apply(t, m.controller.Tick(m.now)) },
			"slow": func(t *rapid.T) {
				m.latency = time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond
			},
			"signal": func(t *rapid.T) {
				decisions, err := m.controller.HandleEvent(m.now, rapid.SampledFrom(events).Draw(t, "event"))
				if err == nil {
					m.apply(t, decisions)
				}
			},
			"withdraw": func(*rapid.T) {
				for id := range m.queued {
					if m.controller.Cancel(id) {
						delete(m.queued, id)
					}
					return
				}
			},
			"": m.checkInvariants,
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
