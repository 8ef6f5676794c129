package task_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"savorygap.example/lib/task"
)

// After its task has stopped, Send, TrySend and Wait must return false instead
// of blocking.
func TestSendReturnsFalseAfterTaskStopped(t *testing.T) {
	defer goleak.VerifyNone(t)
	inbox := task.NewInbox[task.Reply[int]](0)
	ctx, cancel := context.WithCancel(context.Background())
	go inbox.Run(ctx, func(r task.Reply[int]) { r <- 7 })
	reply := task.NewReply[int]()
	must.True(t, inbox.Send(reply))
	v, ok := reply.Wait(context.Background(), inbox.Done())
	must.True(t, ok)
	must.Eq(t, 7, v)
	cancel()
	<-inbox.Done()
	must.False(t, inbox.Send(reply))
	must.False(t, inbox.TrySend(reply))
	_, ok = task.NewReply[int]().Wait(context.Background(), inbox.Done())
	must.False(t, ok)
}

func TestLatestKeepsTheNewestValue(t *testing.T) {
	l := task.NewLatest[int]()
	for i := range 5 {
		l.Put(i)
	}
	must.Eq(t, 4, <-l.Values())
}

func TestGuard_TaskGoesOnAfterPanic(t *testing.T) {
	var handled []int
	var caught []string
	handle := task.Guard(func(n int) {
		if n == 2 {
			panic("two")
		}
		handled = append(handled, n)
	}, func(n int, e *task.PanicError) {
		caught = append(caught, fmt.Sprint(n, " ", e.Error()))
		must.StrContains(t, e.Stack(), "TestGuard_TaskGoesOnAfterPanic")
		panic("while reporting")
	})
	for n := range 4 {
		handle(n)
	}
	must.Eq(t, []int{0, 1, 3}, handled)
	must.Eq(t, []string{"2 unexpected error: two"}, caught)
}

func TestReply_AbandonedEndsTheWait(t *testing.T) {
	abandoned := task.NewReply[int]()
	abandoned.Abandon()
	_, ok := abandoned.Wait(context.Background(), nil)
	must.False(t, ok)
	answered := task.NewReply[int]()
	answered <- 7
	answered.Abandon()
	n, ok := answered.Wait(context.Background(), nil)
	must.True(t, ok)
	must.Eq(t, 7, n)
	task.Reply[int](nil).Abandon()
}
