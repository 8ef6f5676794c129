package serverproxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/upstream"
)

// newVersionRig returns a rig that follows rollouts, whose server has announced itself as
// of version v2, and the channel of its judgements.
func newVersionRig(t *testing.T, a rollout.Admission) (*rig, chan serverproxy.Judgement) {
	t.Helper()
	judged := make(chan serverproxy.Judgement, 16)
	r := newRigWith(t, func(c serverproxy.Config) serverproxy.Config {
		return c.WithRollouts(func(j serverproxy.Judgement) { judged <- j })
	})
	must.True(t, r.announce(announcement("i-1", 1, 1).WithLocation("north", "v2")))
	r.awaitState("open")
	r.proxy.SetAdmission(a)
	return r, judged
}

// reserveVersion asks for a slot for a request that should take 100 ms.
func (r *rig) reserveVersion(number uint64, version string) chan upstream.Event {
	events := make(chan upstream.Event, upstream.MaxEvents)
	request := upstream.NewSlotRequest("shop", 1).WithRelease(version).WithRoute("/order/").WithTimes(time.Minute, 100*time.Millisecond)
	r.proxy.Reserve(limiter.NewKey(1, number), request, func(e upstream.Event) { events <- e })
	return events
}

// TestVersions_OnlyAdmittedOnesGetRequests guards against requests to a version that no
// order names, and to one that the sender did not mean.
func TestVersions_OnlyAdmittedOnesGetRequests(t *testing.T) {
	r, _ := newVersionRig(t, rollout.NewAdmission(false, "v1"))
	must.Eq(t, upstream.Refused, (<-r.reserveVersion(1, "v2")).Kind())
	must.Eq(t, upstream.Refused, (<-r.reserveVersion(2, "")).Kind())
	r.proxy.SetAdmission(rollout.NewAdmission(true, "v1", "v2"))
	must.Eq(t, upstream.Refused, (<-r.reserveVersion(3, "v1")).Kind())
	must.Eq(t, upstream.Offered, (<-r.reserveVersion(4, "v2")).Kind())
}

// TestVersions_RollbackRevokesOffers guards against requests that use an offer from before
// the rollback.
func TestVersions_RollbackRevokesOffers(t *testing.T) {
	r, _ := newVersionRig(t, rollout.NewAdmission(true, "v1", "v2"))
	events := r.reserveVersion(1, "v2")
	must.Eq(t, upstream.Offered, (<-events).Kind())
	r.proxy.SetAdmission(rollout.NewAdmission(false, "v1"))
	must.Eq(t, upstream.Refused, (<-events).Kind())
	r.submit(1, "id-1", time.Hour)
	r.settle()
	must.Eq(t, 0, len(r.server.requests))
}

// TestVersions_UnknownOneIsThatOfTheSender has a node that does not know the version of its
// server, as after a restart. It guards against requests of senders that do not know it
// either.
func TestVersions_UnknownOneIsThatOfTheSender(t *testing.T) {
	r := newRigWith(t, func(c serverproxy.Config) serverproxy.Config { return c.WithRollouts(func(serverproxy.Judgement) {}) })
	r.awaitState("open")
	r.proxy.SetAdmission(rollout.NewAdmission(false, "v1"))
	must.Eq(t, upstream.Refused, (<-r.reserveVersion(1, "")).Kind())
	must.Eq(t, upstream.Refused, (<-r.reserveVersion(2, "v2")).Kind())
	must.Eq(t, upstream.Offered, (<-r.reserveVersion(3, "v1")).Kind())
}

// TestJudge_FailuresAndLossesAreBad guards against a bad version that is not noticed.
func TestJudge_FailuresAndLossesAreBad(t *testing.T) {
	r, judged := newVersionRig(t, rollout.NewAdmission(true, "v1", "v2"))
	cases := []struct {
		answer string
		bad    bool
	}{
		{answerTo("id-0"), false},
		{strings.Replace(answerTo("id-1"), "200 OK", "500 x", 1), true},
		{closeConnection, true},
		{strings.Replace(answerTo("id-3"), "200 OK", "404 x", 1), false},
	}
	for n, c := range cases {
		number := uint64(n + 1)
		events := r.reserveVersion(number, "v2")
		must.Eq(t, upstream.Offered, (<-events).Kind(), must.Sprint(n))
		r.submit(number, fmt.Sprint("id-", n), time.Hour)
		<-r.server.requests
		r.server.answers <- c.answer
		<-events
		j := <-judged
		must.Eq(t, c.bad, j.Bad(), must.Sprint(n))
		must.Eq(t, "/order/", j.Route())
		must.Eq(t, "v2", j.Release())
		r.run(200 * time.Millisecond)
		r.awaitState("open")
	}
	must.Eq(t, 0, len(judged))
}

// TestJudge_SlowResponseIsBadBeforeItArrives guards against a slow version that is noticed
// only after its first responses, and against one response that counts twice.
func TestJudge_SlowResponseIsBadBeforeItArrives(t *testing.T) {
	r, judged := newVersionRig(t, rollout.NewAdmission(true, "v1", "v2"))
	events := r.reserveVersion(1, "v2")
	must.Eq(t, upstream.Offered, (<-events).Kind())
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	r.run(290 * time.Millisecond)
	must.Eq(t, 0, len(judged))
	r.run(40 * time.Millisecond)
	must.True(t, (<-judged).Bad())
	r.server.answers <- answerTo("id-1")
	must.Eq(t, upstream.Answered, (<-events).Kind())
	r.settle()
	must.Eq(t, 0, len(judged))
}

// TestJudge_StatedSlownessExcusesInPart has the server state that it is 8 times slower. It
// guards against a slow version that is excused by what it says.
func TestJudge_StatedSlownessExcusesInPart(t *testing.T) {
	r, judged := newVersionRig(t, rollout.NewAdmission(true, "v1", "v2"))
	r.setHealth(strings.Replace(healthOf("i-1", http.StatusOK, ""), "0,0,10,100", "0,0,10,800", 1))
	r.run(1500 * time.Millisecond)
	events := r.reserveVersion(1, "v2")
	must.Eq(t, upstream.Offered, (<-events).Kind())
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	r.run(560 * time.Millisecond)
	must.Eq(t, 0, len(judged))
	r.run(80 * time.Millisecond)
	must.True(t, (<-judged).Bad())
}

// TestJudge_NothingWithoutRollout guards against messages while no rollout is under way.
func TestJudge_NothingWithoutRollout(t *testing.T) {
	r, judged := newVersionRig(t, rollout.NewAdmission(false, "v2"))
	events := r.reserveVersion(1, "v2")
	must.Eq(t, upstream.Offered, (<-events).Kind())
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	r.run(400 * time.Millisecond)
	r.server.answers <- answerTo("id-1")
	must.Eq(t, upstream.Answered, (<-events).Kind())
	r.settle()
	must.Eq(t, 0, len(judged))
}

// TestVersions_RecalledOneCountsForItsInstance has a node that learns from its entry in the
// store which version its server announced before the node restarted. It guards against a
// version that no other node can know, and against one of another instance.
func TestVersions_RecalledOneCountsForItsInstance(t *testing.T) {
	for instance, want := range map[string]string{"i-1": "v1", "i-0": ""} {
		r := newRigWith(t, func(c serverproxy.Config) serverproxy.Config { return c.WithRollouts(func(serverproxy.Judgement) {}) })
		r.proxy.RecallRelease(instance, "v1")
		r.proxy.SetAdmission(rollout.NewAdmission(false, "v1"))
		r.awaitState("open")
		r.settle()
		release := ""
		for len(r.states) > 0 {
			release = (<-r.states).Release()
		}
		must.Eq(t, want, release, must.Sprint(instance))
		kind := (<-r.reserveVersion(1, "")).Kind()
		must.Eq(t, want != "", kind == upstream.Offered, must.Sprint(instance))
		must.True(t, r.announce(announcement("i-1", 1, 1).WithLocation("north", "v2")))
		must.Eq(t, upstream.Refused, (<-r.reserveVersion(2, "v1")).Kind(), must.Sprint("the instance states another version"))
	}
}
