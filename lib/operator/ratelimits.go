package operator

import (
	"context"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"savorygap.example/lib/task"
)

const (
	clientRequestsPerSecond = 20
	clientRequestBurst      = 40
	maxClients              = 1024 // all limits are reset when it is reached
	inboxCapacity           = 64
)

// rateLimits is a task that owns one rate limiter per client name.
type rateLimits struct {
	clock   clockwork.Clock
	inbox   *task.Inbox[allowRequest]
	clients map[string]*rate.Limiter
}

// allowRequest asks the task to count one request of a client.
type allowRequest struct {
	name  string
	reply task.Reply[bool]
}

func newRateLimits(clock clockwork.Clock) *rateLimits {
	return &rateLimits{clock: clock, inbox: task.NewInbox[allowRequest](inboxCapacity), clients: map[string]*rate.Limiter{}}
}

func (l *rateLimits) run(ctx context.Context) {
	l.inbox.Run(ctx, func(r allowRequest) { r.reply <- l.allowNow(r.name) })
}

// allowNow counts one request of a client and reports whether it is within the
// limit.
func (l *rateLimits) allowNow(name string) bool {
	limiter, ok := l.clients[name]
	if !ok {
		if len(l.clients) >= maxClients {
			clear(l.clients)
		}
		limiter = rate.NewLimiter(clientRequestsPerSecond, clientRequestBurst)
		l.clients[name] = limiter
	}
	return limiter.AllowN(l.clock.Now(), 1)
}

// allow asks the task whether a request of a client is within the limit. It
// returns false when ctx ends or the task has stopped.
func (l *rateLimits) allow(ctx context.Context, name string) bool {
	r := allowRequest{name: name, reply: task.NewReply[bool]()}
	if !l.inbox.Send(r) {
		return false
	}
	allowed, replied := r.reply.Wait(ctx, l.inbox.Done())
	return allowed && replied
}
