package controller_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/quota/controller"
)

var bounds = quota.NewBounds(5*time.Second, 0.1, 20)

// fixture is a controller with its counts.
type fixture struct {
	*controller.Controller
	clock     *clockwork.FakeClock
	started   atomic.Int64
	refused   atomic.Int64
	questions chan quota.Question
}

func newFixture(t testing.TB) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 1)
	f := &fixture{clock: clockwork.NewFakeClock(), questions: make(chan quota.Question, 8)}
	start := func(run func(context.Context)) {
		f.started.Add(1)
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	f.Controller = controller.New(start, controller.NewConfig("a", bounds), f.clock, eventlog.New(io.Discard, f.clock, "a"),
		controller.NewObserver(func(quota.Source, int) {}, func(quota.Source) { f.refused.Add(1) }, func(int) {}))
	t.Cleanup(func() {
		cancel()
		if f.started.Load() > 0 {
			<-ended
		}
	})
	return f
}

// withPeer links the controller to a node b, which passes its questions on.
func (f *fixture) withPeer() {
	f.SetMembership(controller.NewMembership(map[string]func(quota.Question) bool{
		"b": func(q quota.Question) bool {
			f.questions <- q
			return true
		},
	}, 2, false))
}

// ownedBy returns a tenant that the given node of a and b owns.
func ownedBy(owner string) string {
	v := quota.NewView("a", []string{"b"}, 2, false)
	for tenant := "t"; ; tenant += "t" {
		if v.Owner(tenant) == owner {
			return tenant
		}
	}
}

// wait returns the verdict on a claim.
func wait(t *testing.T, c *controller.Claim) quota.Verdict {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, ok := c.Wait(ctx)
	must.True(t, ok)
	return v
}

// TestWithoutLimits_NothingRuns guards against a task, a timer or a message in deployments
// whose tenants have no limit.
func TestWithoutLimits_NothingRuns(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFixture(t)
	f.withPeer()
	f.Configure(nil)
	claim := f.Begin("any")
	must.True(t, wait(t, &claim).Admitted())
	claim.Release()
	must.Eq(t, 0, f.started.Load())
	must.Eq(t, 0, len(f.questions))
}

// TestQuestionBeforeTheConfiguration_IsAnswered guards against refusals at the start of a
// day, when the owner of a tenant gets its first configuration after other nodes.
func TestQuestionBeforeTheConfiguration_IsAnswered(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	answers := make(chan quota.Answer, 1)
	f.HandleQuestion(quota.NewQuestion(7, ownedBy("a"), 1, 1, false).WithLimit(3, 3), func(a quota.Answer) { answers <- a })
	a := <-answers
	must.True(t, a.Owned())
	must.Eq(t, 1, a.Granted())
	f.HandleQuestion(quota.NewQuestion(8, ownedBy("a"), 1, 1, false), func(a quota.Answer) { answers <- a })
	must.Eq(t, quota.NewAnswer(8, 0, 0, false), <-answers)
}

// TestCreditAtHand_AllocatesNothing guards the usual case of a request.
func TestCreditAtHand_AllocatesNothing(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	tenant := ownedBy("b")
	f.Configure([]quota.Limit{quota.NewLimit(tenant, 1e6, 1e6)})
	first := f.Begin(tenant)
	q := <-f.questions
	f.HandleAnswer(quota.NewAnswer(q.Number(), 1000, 0, true))
	must.True(t, wait(t, &first).Admitted())
	must.Eq(t, 0, testing.AllocsPerRun(100, func() {
		claim := f.Begin(tenant)
		_, _ = claim.Wait(context.Background())
		claim.Release()
	}))
}

// TestOwnTenant_TakesNoMessage guards against questions to the node itself.
func TestOwnTenant_TakesNoMessage(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	f.Configure([]quota.Limit{quota.NewLimit(ownedBy("a"), 4, 4)})
	admitted := 0
	for range 20 {
		claim := f.Begin(ownedBy("a"))
		if wait(t, &claim).Admitted() {
			admitted++
		}
	}
	must.Eq(t, 3, admitted)
	must.Eq(t, 17, int(f.refused.Load()))
	must.Eq(t, 0, len(f.questions))
}

// TestReleasedCredit_ServesTheNextRequest guards against credits that are lost with
// requests that find no slot.
func TestReleasedCredit_ServesTheNextRequest(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	f.Configure([]quota.Limit{quota.NewLimit(ownedBy("b"), 4, 4)})
	first := f.Begin(ownedBy("b"))
	q := <-f.questions
	must.Eq(t, 1, q.Needed())
	f.HandleAnswer(quota.NewAnswer(q.Number(), 1, 0, true))
	must.True(t, wait(t, &first).Admitted())
	first.Release()
	second := f.Begin(ownedBy("b"))
	must.True(t, wait(t, &second).Admitted())
	must.Eq(t, 0, len(f.questions))
}

// TestAbandonedRequest_ReturnsItsCredit guards against the loss of a credit that arrives
// after its request has ended.
func TestAbandonedRequest_ReturnsItsCredit(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	f.Configure([]quota.Limit{quota.NewLimit(ownedBy("b"), 4, 4)})
	first := f.Begin(ownedBy("b"))
	q := <-f.questions
	first.Release()
	f.HandleAnswer(quota.NewAnswer(q.Number(), 1, 0, true))
	second := f.Begin(ownedBy("b"))
	must.True(t, wait(t, &second).Admitted())
	must.Eq(t, 0, len(f.questions))
}

// TestSilentOwner_RequestsDoNotWaitForIt guards against requests that wait for an owner
// until their time is over.
func TestSilentOwner_RequestsDoNotWaitForIt(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	f.Configure([]quota.Limit{quota.NewLimit(ownedBy("b"), 0.01, 1)})
	claim := f.Begin(ownedBy("b"))
	<-f.questions
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, d := range []time.Duration{40 * time.Millisecond, 160 * time.Millisecond} {
		must.NoError(t, f.clock.BlockUntilContext(ctx, 1))
		f.clock.Advance(d)
	}
	v := wait(t, &claim)
	must.False(t, v.Admitted())
	must.Eq(t, quota.FromFallback, v.Source())
	second := f.Begin(ownedBy("b"))
	must.True(t, second.IsDoubtful())
	must.False(t, func() bool { v := wait(t, &second); return v.Admitted() }())
}

// TestOldOwnerAnswersNothing guards against two nodes that grant for one tenant.
func TestOldOwnerAnswersNothing(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	f.Configure([]quota.Limit{quota.NewLimit(ownedBy("b"), 100, 100)})
	answers := make(chan quota.Answer, 1)
	f.HandleQuestion(quota.NewQuestion(7, ownedBy("b"), 1, 1, false), func(a quota.Answer) { answers <- a })
	must.Eq(t, quota.NewAnswer(7, 0, 0, false), <-answers)
}

// BenchmarkCreditAtHand is the usual case: a request that finds a credit. It must take
// less than 1 microsecond and allocate nothing.
func BenchmarkCreditAtHand(b *testing.B) {
	f := newFixture(b)
	f.withPeer()
	tenant := ownedBy("b")
	f.Configure([]quota.Limit{quota.NewLimit(tenant, 1e6, 1e6)})
	first := f.Begin(tenant)
	q := <-f.questions
	f.HandleAnswer(quota.NewAnswer(q.Number(), 1000, 0, true))
	_, _ = first.Wait(context.Background())
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		claim := f.Begin(tenant)
		if v, ok := claim.Wait(context.Background()); !ok || !v.Admitted() {
			b.Fatal("no credit")
		}
		claim.Release()
	}
}

// TestOwnersThatDoNotAnswer_EachQuestionTimesOutByItself guards against a task that waits for
// a late time-out of one question while an earlier one of another question is due.
func TestOwnersThatDoNotAnswer_EachQuestionTimesOutByItself(t *testing.T) {
	f := newFixture(t)
	f.withPeer()
	first, second := ownedBy("b"), ""
	v := quota.NewView("a", []string{"b"}, 2, false)
	for second = first + "t"; v.Owner(second) != "b"; second += "t" {
		continue
	}
	f.Configure([]quota.Limit{quota.NewLimit(first, 0.01, 1), quota.NewLimit(second, 0.01, 1)})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	advance := func(d time.Duration) {
		must.NoError(t, f.clock.BlockUntilContext(ctx, 1))
		f.clock.Advance(d)
	}
	begin := func(tenant string) controller.Claim {
		c := f.Begin(tenant)
		<-f.questions
		f.Configure([]quota.Limit{quota.NewLimit(first, 0.01, 1), quota.NewLimit(second, 0.01, 1)}) // the task has handled the request
		return c
	}
	silent := begin(first)
	advance(40 * time.Millisecond)
	advance(160 * time.Millisecond)
	must.False(t, func() bool { v := wait(t, &silent); return v.Admitted() }())
	// The next look at that question is 300 ms later, the last one at this question 200 ms.
	late := begin(second)
	advance(40 * time.Millisecond)
	advance(160 * time.Millisecond)
	must.False(t, func() bool { v := wait(t, &late); return v.Admitted() }())
}

// TestAnswerThatWaitsForTheTask_ComesBeforeTheTimeOut guards against 429 for requests whose
// credits have arrived, because the task stood still until the time for the answer was over.
func TestAnswerThatWaitsForTheTask_ComesBeforeTheTimeOut(t *testing.T) {
	for range 20 {
		f := newFixture(t)
		f.withPeer()
		f.Configure([]quota.Limit{quota.NewLimit(ownedBy("b"), 0.01, 1)})
		claim := f.Begin(ownedBy("b"))
		q := <-f.questions
		blocked, release := make(chan bool), make(chan bool)
		f.HandleQuestion(quota.NewQuestion(1, ownedBy("a"), 1, 1, false), func(quota.Answer) {
			blocked <- true
			<-release
		})
		<-blocked
		f.clock.Advance(250 * time.Millisecond)
		f.HandleAnswer(quota.NewAnswer(q.Number(), 1, 0, true))
		release <- true
		must.True(t, func() bool { v := wait(t, &claim); return v.Admitted() }())
	}
}

// TestRemovedTenant_IsForgotten guards against refusals of a removed tenant that stay in memory,
// and are logged as those of a later tenant of that name.
func TestRemovedTenant_IsForgotten(t *testing.T) {
	var text bytes.Buffer
	clock := clockwork.NewFakeClock()
	log := eventlog.New(&text, clock, "a")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c := controller.New(func(run func(context.Context)) {
		go func() {
			run(ctx)
			close(ended)
		}()
	}, controller.NewConfig("a", bounds), clock, log, controller.NewObserver(func(quota.Source, int) {}, func(quota.Source) {}, func(int) {}))
	c.SetMembership(controller.NewMembership(nil, 1, false))
	limits := []quota.Limit{quota.NewLimit("band", 1, 1)}
	for range 2 {
		c.Configure(limits)
		for range 10 {
			claim := c.Begin("band")
			_ = wait(t, &claim)
		}
		c.Configure(nil)
	}
	cancel()
	<-ended
	log.Run(ctx)
	// Three requests are admitted at the start; the refusals after the first one wait for the
	// next line.
	must.Eq(t, 2, strings.Count(text.String(), `"refused":1`), must.Sprint(text.String()))
}
