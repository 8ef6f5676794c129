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

// bench drives a gate with a manual clock.
type bench struct {
	t    testing.TB
	gate *admission.Controller
	now  time.Time
	next admission.ID
}

func serverChart(t testing.TB) *chart.Chart {
	t.Helper()
	set, err := chart.Embedded()
	must.NoError(t, err)
	c, err := set.Chart("server")
	must.NoError(t, err)
	return c
}

func newBench(t testing.TB, slots int) *bench {
	t.Helper()
	now := time.Unix(1000, 0)
	g, err := admission.New(serverChart(t), slots, now)
	must.NoError(t, err)
	return &bench{t: t, gate: g, now: now}
}

func (b *bench) ticket(class document.Class, depth int, remaining time.Duration) admission.Request {
	b.next++
	return admission.NewRequest(b.next, class, depth, b.now.Add(remaining))
}

func (b *bench) offer(class document.Class) (admission.ID, admission.Decision) {
	t := b.ticket(class, 0, time.Minute)
	return t.ID(), b.gate.Submit(b.now, t)
}

// serve keeps the gate busy with answers of one latency and returns the last
// limit.
func (b *bench) serve(rounds int, result admission.Result, latency time.Duration) int {
	for range rounds {
		var held []admission.ID
		for {
			id, d := b.offer(document.ClassInteractive)
			if d.Status() != admission.Granted {
				b.gate.Cancel(id)
				break
			}
			held = append(held, id)
		}
		b.now = b.now.Add(latency)
		for _, id := range held {
			b.gate.Finish(b.now, id, result, latency)
		}
	}
	return b.gate.Limit()
}

func (b *bench) warm() {
	b.serve(400, admission.ResultSuccess, 10*time.Millisecond)
	must.Eq(b.t, chart.State("warm"), b.gate.State())
	must.Eq(b.t, slots, b.gate.Limit())
}

func TestColdServerGetsItsAllowanceAndRampsOnEvidence(t *testing.T) {
	b := newBench(t, slots)
	must.Eq(t, 3, b.gate.Limit())
	granted := 0
	for range slots {
		if _, d := b.offer(document.ClassInteractive); d.Status() == admission.Granted {
			granted++
		}
	}
	must.Eq(t, 3, granted)
	newBench(t, slots).warm()
}

func TestIdleServerDoesNotRamp(t *testing.T) {
	b := newBench(t, slots)
	for range 1000 {
		id, _ := b.offer(document.ClassInteractive)
		b.now = b.now.Add(10 * time.Millisecond)
		b.gate.Finish(b.now, id, admission.ResultSuccess, 10*time.Millisecond)
	}
	must.Eq(t, 3, b.gate.Limit())
}

// A server that changes for the worse without a word is noticed within a few
// answers and falls to the cold floor.
func TestLimitCollapsesWithinAFewAnswers(t *testing.T) {
	cases := map[string]struct {
		result  admission.Result
		latency time.Duration
	}{
		"turned cold: slow answers": {admission.ResultSuccess, 80 * time.Millisecond},
		"sheds":                     {admission.ResultOverload, time.Millisecond},
		"fails fast":                {admission.ResultFailure, time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, slots)
			b.warm()
			var held []admission.ID
			for range slots {
				id, d := b.offer(document.ClassInteractive)
				must.Eq(t, admission.Granted, d.Status())
				held = append(held, id)
			}
			b.now = b.now.Add(c.latency)
			for _, id := range held[:3] {
				b.gate.Finish(b.now, id, c.result, c.latency)
			}
			must.Eq(t, 3, b.gate.Limit())
			must.Eq(t, chart.State("cold"), b.gate.State())
		})
	}
}

func TestStuckRequestsCollapseTheLimitWithoutAnyAnswer(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	for range slots {
		b.offer(document.ClassInteractive)
	}
	b.now = b.now.Add(200 * time.Millisecond)
	b.gate.Tick(b.now)
	must.Eq(t, 3, b.gate.Limit())
}

func TestServerThatStaysSlowerRampsAgain(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	b.serve(2, admission.ResultSuccess, 60*time.Millisecond)
	must.Less(t, slots, b.gate.Limit())
	must.Eq(t, slots, b.serve(4000, admission.ResultSuccess, 60*time.Millisecond))
}

func TestUrgentGoesFirstAndFindsAReservedSlot(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	b.offer(document.ClassUrgent)
	for range 2 * slots {
		b.offer(document.ClassInteractive)
	}
	must.Eq(t, slots-1, b.gate.InFlight())
	_, d := b.offer(document.ClassUrgent)
	must.Eq(t, admission.Granted, d.Status())
	id, d := b.offer(document.ClassUrgent)
	must.Eq(t, admission.Queued, d.Status())
	decisions := b.gate.Finish(b.now, 0, admission.ResultIgnored, 0)
	must.Len(t, 0, decisions)
	first := b.finishAny()
	must.Eq(t, id, first[0].ID())
}

// finishAny ends one running request and returns the decisions that follow.
func (b *bench) finishAny() []admission.Decision {
	for id := admission.ID(1); id <= b.next; id++ {
		before := b.gate.InFlight()
		decisions := b.gate.Finish(b.now, id, admission.ResultIgnored, 0)
		if b.gate.InFlight() < before || len(decisions) > 0 {
			return decisions
		}
	}
	return nil
}

func TestBulkLeavesSlotsToLandlordsAndOrders(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	granted := 0
	for range 2 * slots {
		if _, d := b.offer(document.ClassBackground); d.Status() == admission.Granted {
			granted++
		}
	}
	must.Eq(t, 9, granted)
	_, d := b.offer(document.ClassInteractive)
	must.Eq(t, admission.Granted, d.Status())
}

func TestStarvationIsBounded(t *testing.T) {
	b := newBench(t, 1)
	_, d := b.offer(document.ClassInteractive)
	must.Eq(t, admission.Granted, d.Status())
	background, d := b.offer(document.ClassBackground)
	must.Eq(t, admission.Queued, d.Status())
	b.offer(document.ClassInteractive)
	for round := range 40 {
		b.now = b.now.Add(time.Millisecond)
		b.offer(document.ClassInteractive)
		for _, d := range b.finishAny() {
			if d.ID() == background {
				must.LessEq(t, 17, round)
				return
			}
		}
	}
	t.Fatal("the background request was never granted")
}

func TestRequestThatCannotFinishInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	for range slots {
		b.offer(document.ClassInteractive)
	}
	d := b.gate.Submit(b.now, b.ticket(document.ClassInteractive, 0, 5*time.Millisecond))
	must.Eq(t, admission.Refused, d.Status())
	must.Eq(t, admission.ReasonDeadline, d.Reason())
	queued := b.ticket(document.ClassInteractive, 0, 30*time.Millisecond)
	must.Eq(t, admission.Queued, b.gate.Submit(b.now, queued).Status())
	b.now = b.now.Add(25 * time.Millisecond)
	decisions := b.gate.Tick(b.now)
	must.Len(t, 1, decisions)
	must.Eq(t, admission.ReasonDeadline, decisions[0].Reason())
}

func TestImpatientRequestIsRefusedWhenTheWaitIsLong(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	for range 2 * slots {
		b.offer(document.ClassInteractive)
	}
	d := b.gate.Submit(b.now, b.ticket(document.ClassInteractive, 0, time.Minute).WithFailFast(true))
	must.Eq(t, admission.ReasonBusy, d.Reason())
}

func TestQueueIsBounded(t *testing.T) {
	b := newBench(t, slots)
	for range 200 {
		b.offer(document.ClassInteractive)
	}
	must.Eq(t, 2*slots, b.gate.QueueLen())
}

func TestClosedStatesAdmitNothingAndRefuseTheQueue(t *testing.T) {
	for _, e := range []chart.Event{admission.EventDrain, admission.EventSuspend, admission.EventSilent, admission.EventLeave} {
		t.Run(string(e), func(t *testing.T) {
			b := newBench(t, 1)
			running, _ := b.offer(document.ClassInteractive)
			b.offer(document.ClassInteractive)
			decisions, err := b.gate.HandleEvent(b.now, e)
			must.NoError(t, err)
			must.Len(t, 1, decisions)
			must.Eq(t, admission.ReasonClosed, decisions[0].Reason())
			_, d := b.offer(document.ClassUrgent)
			must.Eq(t, admission.ReasonClosed, d.Reason())
			must.Eq(t, 1, b.gate.InFlight())
			b.gate.Finish(b.now, running, admission.ResultSuccess, time.Millisecond)
			must.True(t, b.gate.Report().Closed())
		})
	}
}

func TestServerOfAReturningDataCentreStartsCold(t *testing.T) {
	b := newBench(t, slots)
	b.warm()
	_, err := b.gate.HandleEvent(b.now, admission.EventSuspend)
	must.NoError(t, err)
	_, err = b.gate.HandleEvent(b.now, admission.EventResume)
	must.NoError(t, err)
	must.Eq(t, 3, b.gate.Limit())
	must.Eq(t, chart.State("cold"), b.gate.State())
}

func TestDeeperCallsGoFirstAndShortOnesPassLongOnes(t *testing.T) {
	b := newBench(t, 2)
	b.offer(document.ClassInteractive)
	long := b.ticket(document.ClassInteractive, 0, time.Minute)
	b.now = b.now.Add(time.Millisecond)
	short := b.ticket(document.ClassInteractive, 0, time.Minute).WithShort(true)
	deep := b.ticket(document.ClassInteractive, 3, time.Minute)
	for _, ticket := range []admission.Request{long, short, deep} {
		must.Eq(t, admission.Queued, b.gate.Submit(b.now, ticket).Status())
	}
	for _, want := range []admission.Request{deep, short, long} {
		must.Eq(t, want.ID(), b.finishAny()[0].ID())
	}
}

// ringCall is one request that passes through a ring of services, holding a
// slot at every level until the deepest level has answered.
type ringCall struct {
	held []admission.ID
	wait admission.ID
	done bool
}

// A ring of two services that call each other twelve deep, with every slot
// taken, keeps answering: no call waits for good.
func TestRingOfServicesAtFullSlotsDoesNotDeadlock(t *testing.T) {
	const levels, callers = 6, 40
	gates := []*bench{newBench(t, slots), newBench(t, slots)}
	for _, g := range gates {
		g.warm()
	}
	calls := make([]*ringCall, callers)
	for i := range calls {
		calls[i] = &ringCall{}
	}
	answered, refused := 0, 0
	settle := func(gate int, decisions []admission.Decision) {
		for _, d := range decisions {
			for _, c := range calls {
				if c.wait != d.ID() || len(c.held)%2 != gate {
					continue
				}
				c.wait = 0
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
					g := gates[level%2]
					settle(level%2, g.gate.Finish(g.now, c.held[level], admission.ResultSuccess, 10*time.Millisecond))
				}
				*c = ringCall{}
			case c.wait == 0:
				level := len(c.held)
				g := gates[level%2]
				ticket := g.ticket(document.ClassInteractive, level, 2*time.Second)
				d := g.gate.Submit(g.now, ticket)
				switch d.Status() {
				case admission.Granted:
					c.held = append(c.held, ticket.ID())
				case admission.Queued:
					c.wait = ticket.ID()
				case admission.Refused:
					c.done = true
				}
			}
		}
		for gate, g := range gates {
			g.now = g.now.Add(time.Millisecond)
			settle(gate, g.gate.Tick(g.now))
			must.Eq(t, 0, g.gate.InvariantBreaches())
		}
	}
	must.Greater(t, 1000, answered, must.Sprint(fmt.Sprintf("answered %d, refused %d", answered, refused)))
}
