package operator

import (
	"context"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"savorygap.example/lib/task"
)

const (
	requestsPerSecond = 20
	requestBurst      = 40
	maxClients        = 1024
	limitsInbox       = 64
)

// limits is the task that owns one rate limit for each client name.
type limits struct {
	clock   clockwork.Clock
	inbox   *task.Inbox[limitRequest]
	clients map[string]*rate.Limiter
}

type limitRequest struct {
	name  string
	reply task.Reply[bool]
}

func newLimits(clock clockwork.Clock) *limits {
	return &limits{clock: clock, inbox: task.NewInbox[limitRequest](limitsInbox), clients: map[string]*rate.Limiter{}}
}

func (l *limits) run(ctx context.Context) {
	l.inbox.Run(ctx, func(r limitRequest) { r.reply <- l.take(r.name) })
}

func (l *limits) take(name string) bool {
	limiter, ok := l.clients[name]
	if !ok {
		if len(l.clients) >= maxClients {
			clear(l.clients)
		}
		limiter = rate.NewLimiter(requestsPerSecond, requestBurst)
		l.clients[name] = limiter
	}
	return limiter.AllowN(l.clock.Now(), 1)
}

func (l *limits) allow(ctx context.Context, name string) bool {
	r := limitRequest{name: name, reply: task.NewReply[bool]()}
	if !l.inbox.Send(r) {
		return false
	}
	ok, answered := r.reply.Wait(ctx, l.inbox.Done())
	return ok && answered
}
