package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/upstream"
)

// TestRollouts_ReachThePeer guards against a field of a rollout that is lost on its way.
func TestRollouts_ReachThePeer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	near, far := connect(t)
	received := make(chan rollout.Message, 8)
	hooks := link.NewHooks(func(*link.Link, link.Hello) {}, func(*link.Link, link.ServerState) {}, func(*link.Link, link.Versions) {},
		func(*link.Link, link.Signal) {}, func([]registry.Record) {}, func([]registry.Record) {}, func([]quarantine.Record) {},
		func(*link.Link, link.Snapshot) {}, func(*link.Link, bool) {}, func(*link.Link, error) {}).WithRollouts(func(m rollout.Message) { received <- m })
	handler := link.NewHandler(nil, nil, nil, nil, func(uint64) {}, upstream.NewBodyMemory(testBodyMemory), upstream.NewBodyMemory(testBodyMemory))
	go link.New(far, nil, 1, "a", handler, hooks, clockwork.NewRealClock()).Run(ctx)
	a := newEnd(ctx, t, near, "b")
	order := rollout.NewOrder("shop", "v2", 15*time.Second, 1<<40)
	record := rollout.NewRecord(1<<40, "v2", "v1", rollout.RolledBack, 3, 7*time.Second).WithVersion(1<<40 + 5)
	tally := rollout.NewTally("host-1", "v2", "i-1").WithRunning(4).Add("farm/read/", false).Add("farm/order/", true)
	for _, m := range []rollout.Message{
		rollout.NewMessage(order, record, 8*time.Second, false, true).WithTally(tally),
		rollout.NewMessage(order, rollout.Record{}, time.Second, true, false),
	} {
		a.link.SendRollout(m)
		must.Eq(t, m, <-received, must.Cmp(cmp.AllowUnexported(rollout.Message{}, rollout.Order{}, rollout.Record{}, rollout.Tally{}, rollout.Counts{})))
	}
}
