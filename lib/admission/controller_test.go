package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

const slots = 12

// harness drives a controller with a manual clock.
type harness struct {
	t          testing.TB
	controller *admission.Controller
	now        time.Time
	lastID     admission.ID
}

func serverChart(t testing.TB) *chart.Chart {
	t.Helper()
	set, err := chart.Embedded()
	must.NoError(t, err)
	c, err := set.Chart("server")
	must.NoError(t, err)
	return c
}

func newHarness(t testing.TB, slots int) *harness {
	t.Helper()
	now := time.Unix(1000, 0)
	c, err := admission.New(serverChart(t), slots, now)
	must.NoError(t, err)
	return &harness{t: t, controller: c, now: now}
}

func (h *harness) newRequest(class document.Class, depth int, remaining time.Duration) admission.Request {
	h.lastID++
	return admission.NewRequest(h.lastID, class, depth, h.now.Add(remaining))
}

func (h *harness) submit(class document.Class) (admission.ID, admission.Decision) {
	r := h.newRequest(class, 0, time.Minute)
	return r.ID(), h.controller.Submit(h.now, r)
}

// runLoad fills the limit and finishes all granted requests with one result and
// latency, for the given number of rounds. It returns the final limit.
func (h *harness) runLoad(rounds int, result admission.Result, latency time.Duration) int {
	for range rounds {
		var held []admission.ID
		for {
			id, d := h.submit(document.ClassInteractive)
			if d.Status() != admission.Granted {
				h.controller.Cancel(id)
				break
			}
			held = append(held, id)
		}
		h.now = h.now.Add(latency)
		for _, id := range held {
			h.controller.Finish(h.now, id, result, latency)
		}
	}
	return h.controller.Limit()
}

func (h *harness) warmUp() {
	h.runLoad(400, admission.ResultSuccess, 10*time.Millisecond)
	must.Eq(h.t, chart.State("warm"), h.controller.State())
	must.Eq(h.t, slots, h.controller.Limit())
}

func TestColdServer_RampsUpUnderFullLoad(t *testing.T) {
	h := newHarness(t, slots)
	must.Eq(t, 3, h.controller.Limit())
	granted := 0
	for range slots {
		if _, d := h.submit(document.ClassInteractive); d.Status() == admission.Granted {
			granted++
		}
	}
	must.Eq(t, 3, granted)
	newHarness(t, slots).warmUp()
}

func TestColdServer_DoesNotRampUpAtLowUse(t *testing.T) {
	h := newHarness(t, slots)
	for range 1000 {
		id, _ := h.submit(document.ClassInteractive)
		h.now = h.now.Add(10 * time.Millisecond)
		h.controller.Finish(h.now, id, admission.ResultSuccess, 10*time.Millisecond)
	}
	must.Eq(t, 3, h.controller.Limit())
}

// A server that suddenly becomes slow, sheds load or fails must fall back to
// the cold limit after three responses, although it announced nothing.
func TestLimit_CollapsesAfterThreeBadResponses(t *testing.T) {
	cases := map[string]struct {
		result  admission.Result
		latency time.Duration
	}{
		"slow responses": {admission.ResultSuccess, 80 * time.Millisecond},
		"sheds load":     {admission.ResultOverload, time.Millisecond},
		"fails fast":     {admission.ResultFailure, time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, slots)
			h.warmUp()
			var held []admission.ID
			for range slots {
				id, d := h.submit(document.ClassInteractive)
				must.Eq(t, admission.Granted, d.Status())
				held = append(held, id)
			}
			h.now = h.now.Add(c.latency)
			for _, id := range held[:3] {
				h.controller.Finish(h.now, id, c.result, c.latency)
			}
			must.Eq(t, 3, h.controller.Limit())
			must.Eq(t, chart.State("cold"), h.controller.State())
		})
	}
}

func TestLimit_CollapsesOnStuckRequests(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	for range slots {
		h.submit(document.ClassInteractive)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	h.controller.Tick(h.now)
	must.Eq(t, 3, h.controller.Limit())
}

func TestLimit_RecoversAtPermanentlyHigherLatency(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	h.runLoad(2, admission.ResultSuccess, 60*time.Millisecond)
	must.Less(t, slots, h.controller.Limit())
	must.Eq(t, slots, h.runLoad(4000, admission.ResultSuccess, 60*time.Millisecond))
}

func TestUrgentRequests_HaveReservedSlotAndQueuePriority(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	h.submit(document.ClassUrgent)
	for range 2 * slots {
		h.submit(document.ClassInteractive)
	}
	must.Eq(t, slots-1, h.controller.InFlight())
	_, d := h.submit(document.ClassUrgent)
	must.Eq(t, admission.Granted, d.Status())
	id, d := h.submit(document.ClassUrgent)
	must.Eq(t, admission.Queued, d.Status())
	decisions := h.controller.Finish(h.now, 0, admission.ResultIgnored, 0)
	must.Len(t, 0, decisions)
	first := h.finishAny()
	must.Eq(t, id, first[0].ID())
}

// finishAny finishes one granted request and returns the resulting decisions.
func (h *harness) finishAny() []admission.Decision {
	for id := admission.ID(1); id <= h.lastID; id++ {
		before := h.controller.InFlight()
		decisions := h.controller.Finish(h.now, id, admission.ResultIgnored, 0)
		if h.controller.InFlight() < before || len(decisions) > 0 {
			return decisions
		}
	}
	return nil
}

func TestBulkRequests_LeaveSlotsForInteractive(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	granted := 0
	for range 2 * slots {
		if _, d := h.submit(document.ClassBackground); d.Status() == admission.Granted {
			granted++
		}
	}
	must.Eq(t, 9, granted)
	_, d := h.submit(document.ClassInteractive)
	must.Eq(t, admission.Granted, d.Status())
}

func TestBackgroundRequest_IsNotStarved(t *testing.T) {
	h := newHarness(t, 1)
	_, d := h.submit(document.ClassInteractive)
	must.Eq(t, admission.Granted, d.Status())
	background, d := h.submit(document.ClassBackground)
	must.Eq(t, admission.Queued, d.Status())
	h.submit(document.ClassInteractive)
	for round := range 40 {
		h.now = h.now.Add(time.Millisecond)
		h.submit(document.ClassInteractive)
		for _, d := range h.finishAny() {
			if d.ID() == background {
				must.LessEq(t, 17, round)
				return
			}
		}
	}
	t.Fatal("background request not granted within 40 rounds, want at most 17")
}

func TestRequest_RefusedWhenDeadlineCannotBeMet(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	for range slots {
		h.submit(document.ClassInteractive)
	}
	d := h.controller.Submit(h.now, h.newRequest(document.ClassInteractive, 0, 5*time.Millisecond))
	must.Eq(t, admission.Refused, d.Status())
	must.Eq(t, admission.ReasonDeadline, d.Reason())
	queued := h.newRequest(document.ClassInteractive, 0, 30*time.Millisecond)
	must.Eq(t, admission.Queued, h.controller.Submit(h.now, queued).Status())
	h.now = h.now.Add(25 * time.Millisecond)
	decisions := h.controller.Tick(h.now)
	must.Len(t, 1, decisions)
	must.Eq(t, admission.ReasonDeadline, decisions[0].Reason())
}

func TestFailFastRequest_RefusedOnLongWait(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	for range 2 * slots {
		h.submit(document.ClassInteractive)
	}
	d := h.controller.Submit(h.now, h.newRequest(document.ClassInteractive, 0, time.Minute).WithFailFast(true))
	must.Eq(t, admission.ReasonBusy, d.Reason())
}

func TestQueue_IsBounded(t *testing.T) {
	h := newHarness(t, slots)
	for range 200 {
		h.submit(document.ClassInteractive)
	}
	must.Eq(t, 4*slots, h.controller.QueueLen())
}

func TestClosedStates_RefuseNewAndQueuedRequests(t *testing.T) {
	for _, e := range []chart.Event{admission.EventDrain, admission.EventSuspend, admission.EventSilent, admission.EventLeave} {
		t.Run(string(e), func(t *testing.T) {
			h := newHarness(t, 1)
			running, _ := h.submit(document.ClassInteractive)
			h.submit(document.ClassInteractive)
			decisions, err := h.controller.HandleEvent(h.now, e)
			must.NoError(t, err)
			must.Len(t, 1, decisions)
			must.Eq(t, admission.ReasonClosed, decisions[0].Reason())
			_, d := h.submit(document.ClassUrgent)
			must.Eq(t, admission.ReasonClosed, d.Reason())
			must.Eq(t, 1, h.controller.InFlight())
			h.controller.Finish(h.now, running, admission.ResultSuccess, time.Millisecond)
			must.True(t, h.controller.Report().Closed())
		})
	}
}

func TestResume_StartsCold(t *testing.T) {
	h := newHarness(t, slots)
	h.warmUp()
	_, err := h.controller.HandleEvent(h.now, admission.EventSuspend)
	must.NoError(t, err)
	_, err = h.controller.HandleEvent(h.now, admission.EventResume)
	must.NoError(t, err)
	must.Eq(t, 3, h.controller.Limit())
	must.Eq(t, chart.State("cold"), h.controller.State())
}

func TestQueue_OrdersByDepthThenCost(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(document.ClassInteractive)
	long := h.newRequest(document.ClassInteractive, 0, time.Minute)
	h.now = h.now.Add(time.Millisecond)
	short := h.newRequest(document.ClassInteractive, 0, time.Minute).WithShort(true)
	deep := h.newRequest(document.ClassInteractive, 3, time.Minute)
	for _, request := range []admission.Request{long, short, deep} {
		must.Eq(t, admission.Queued, h.controller.Submit(h.now, request).Status())
	}
	for _, want := range []admission.Request{deep, short, long} {
		must.Eq(t, want.ID(), h.finishAny()[0].ID())
	}
}

// nestedCall is a request that passes alternately through two services. It
// holds a slot at every level until the deepest level has answered.
type nestedCall struct {
	held    []admission.ID
	waiting admission.ID
	done    bool
}

// Two services call each other six levels deep while all their slots are taken.
// Without slots reserved for deeper calls, and a bounded wait for nested calls,
// all calls could wait for a slot that another call holds.
func TestNestedCalls_CyclicServicesAtCapacityDoNotDeadlock(t *testing.T) {
	const levels, callers = 6, 40
	services := []*harness{newHarness(t, slots), newHarness(t, slots)}
	for _, h := range services {
		h.warmUp()
	}
	calls := make([]*nestedCall, callers)
	for i := range calls {
		calls[i] = &nestedCall{}
	}
	answered, refused := 0, 0
	apply := func(service int, decisions []admission.Decision) {
		for _, d := range decisions {
			for _, c := range calls {
				if c.waiting != d.ID() || len(c.held)%2 != service {
					continue
				}
				c.waiting = 0
				if d.Status() == admission.Granted {
					c.held = append(c.held, d.ID())
				} else {
					c.done = true
				}
				break
			}
		}
	}
	for range 4000 {
		for _, c := range calls {
			switch {
			case c.done || len(c.held) == levels:
				if c.done {
					refused++
				} else {
					answered++
				}
				for level := len(c.held) - 1; level >= 0; level-- {
					h := services[level%2]
					apply(level%2, h.controller.Finish(h.now, c.held[level], admission.ResultSuccess, 10*time.Millisecond))
				}
				*c = nestedCall{}
			case c.waiting == 0:
				level := len(c.held)
				h := services[level%2]
				request := h.newRequest(document.ClassInteractive, level, 2*time.Second)
				d := h.controller.Submit(h.now, request)
				switch d.Status() {
				case admission.Granted:
					c.held = append(c.held, request.ID())
				case admission.Queued:
					c.waiting = request.ID()
				case admission.Refused:
					c.done = true
				}
			}
		}
		for service, h := range services {
			h.now = h.now.Add(time.Millisecond)
			apply(service, h.controller.Tick(h.now))
			must.Eq(t, 0, h.controller.InvariantBreaches())
		}
	}
	must.Greater(t, 1000, answered, must.Sprint(fmt.Sprintf("answered %d, refused %d", answered, refused)))
}
