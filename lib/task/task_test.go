package task_test

import (
	"context"
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
