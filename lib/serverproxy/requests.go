package serverproxy

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/upstream"
)

const (
	// onceIdle is how old an idle connection may be that carries a request which
	// must not be repeated: a server that forgot it leaves the outcome unknown.
	onceIdle = time.Second
	// maxIdle bounds the idle connections kept to a server; each costs the node
	// a buffer of 4 KB.
	maxIdle = 32
	// checkerConnections is how many connections the health checks take.
	checkerConnections = 1
	// minRetryAfter is the shortest time after which a refused caller is asked to
	// come back.
	minRetryAfter = 40 * time.Millisecond
	// usualWork stands for the time that a request takes until one has ended.
	usualWork = 100 * time.Millisecond
	// slowedBy is how many times slower than at its start a request must run for
	// its caller to be warned.
	slowedBy = 2.0
	// workWeight is the weight of the newest latency in the mean.
	workWeight = 0.1
)

// run is one request at the server.
type run struct {
	request *upstream.Request
	cancel  context.CancelFunc
	started time.Time
	pace    float64
	warned  bool
}

func (k *Proxy) handleAsk(m *askMessage) {
	if !k.admits() || m.ask.Service() != k.latest.service {
		m.reply(upstream.NewEvent(upstream.Refused, m.key.Number()).WithReason(k.refusal(m.ask)))
		return
	}
	now := k.clock.Now()
	k.probes.wanted(now)
	k.asks[m.key] = asker{ask: m.ask, reply: m.reply}
	k.decide(k.book.Reserve(now, m.key, limiter.NewRequest(m.ask.Priority(), m.ask.IsNested(), m.ask.MaxWait()).WithMaxSlowness(m.ask.MaxSlowness())))
}

func (k *Proxy) refusal(a upstream.SlotRequest) string {
	if a.Service() != k.latest.service {
		return "no server of the service here"
	}
	return k.closedReason()
}

// decide tells an asker what the book decided.
func (k *Proxy) decide(d limiter.Decision) {
	a, ok := k.asks[d.Key()]
	if !ok {
		return
	}
	number := d.Key().Number()
	switch d.Status() {
	case limiter.Granted:
		a.reply(upstream.NewEvent(upstream.Offered, number).WithCost(d.Cost()))
	case limiter.Queued:
		a.reply(upstream.NewEvent(upstream.Queued, number).WithCost(k.book.Cost(k.clock.Now())))
	case limiter.Denied:
		delete(k.asks, d.Key())
		reason := "no place"
		if !k.admits() {
			reason = k.closedReason()
		}
		a.reply(upstream.NewEvent(upstream.Refused, number).WithReason(reason).WithRetryAfter(k.retryAfter()))
	}
}

// retryAfter estimates when a place comes free for one more ask: the work in
// line and one more, divided by the places.
func (k *Proxy) retryAfter() time.Duration {
	rounds := math.Ceil(float64(k.book.QueueLen()+1) / float64(k.book.Slots()))
	return max(minRetryAfter, time.Duration(rounds*float64(k.work())/2))
}

func (k *Proxy) work() time.Duration {
	if k.meanWork == 0 {
		return usualWork
	}
	return k.meanWork
}

func (k *Proxy) withdraw(key limiter.Key) {
	if _, running := k.runs[key]; running {
		return
	}
	delete(k.asks, key)
	k.book.Withdraw(key)
	k.settle(k.clock.Now())
}

func (k *Proxy) handleSubmit(ctx context.Context, m *submitMessage) {
	a, ok := k.asks[m.key]
	now := k.clock.Now()
	left := m.request.Deadline().Sub(now)
	if !ok {
		return
	}
	if !k.admits() || left <= 0 || !k.book.Start(now, m.key) {
		delete(k.asks, m.key)
		k.book.Withdraw(m.key)
		a.reply(upstream.NewEvent(upstream.NotRun, m.key.Number()).WithReason("the place was given up").WithRetryAfter(minRetryAfter))
		return
	}
	runCtx, cancel := context.WithDeadline(ctx, m.request.Deadline())
	k.running.Add(1)
	k.runs[m.key] = &run{request: m.request, cancel: cancel, started: now, pace: k.book.Slowness()}
	conn := k.takeIdle(now, m.request)
	if conn == nil {
		k.makeRoom()
	}
	go k.exchange(runCtx, m.key, conn, m.request, k.instance, k.latest.address)
}

// takeIdle returns the connection that was used last, if it is still sound.
func (k *Proxy) takeIdle(now time.Time, r *upstream.Request) *httpclient.Conn {
	limit := time.Duration(math.MaxInt64)
	if r.Method() != http.MethodGet && r.Method() != http.MethodHead {
		limit = onceIdle
	}
	for len(k.idle) > 0 {
		c := k.idle[len(k.idle)-1]
		if !c.Usable(now, limit) && limit == onceIdle && c.Usable(now, math.MaxInt64) {
			return nil
		}
		k.idle = k.idle[:len(k.idle)-1]
		if c.Usable(now, limit) {
			return c
		}
		c.Close()
	}
	return nil
}

// places returns how many requests the server may hold: its slots, within the
// connections that it accepts.
func (k *Proxy) places() int {
	slots := max(k.latest.slots, 1)
	if most := k.service.MaxConnections(); most > 0 {
		slots = min(slots, max(most-checkerConnections, 1))
	}
	return slots
}

// hasRoom reports whether the server accepts one more connection beside those that
// are in use, idle or for health checks.
func (k *Proxy) hasRoom() bool {
	most := k.service.MaxConnections()
	return most == 0 || len(k.runs)+len(k.idle)+checkerConnections < most
}

// makeRoom closes the connection that was idle for longest, where a new one would
// be too many. The request that needs it is among the runs already.
func (k *Proxy) makeRoom() {
	most := k.service.MaxConnections()
	if most > 0 && len(k.idle) > 0 && len(k.runs)+len(k.idle)+checkerConnections > most {
		k.idle[0].Close()
		k.idle = k.idle[1:]
	}
}

// exchange sends one request to the server and reports how it ended. It runs on
// its own goroutine, which owns the connection meanwhile.
func (k *Proxy) exchange(ctx context.Context, key limiter.Key, conn *httpclient.Conn, r *upstream.Request, instance, address string) {
	dialled := conn == nil
	if dialled {
		var err error
		if conn, err = httpclient.Dial(ctx, address); err != nil {
			k.inbox.Send(message{ended: &endedMessage{key: key, result: httpclient.NewDialFailure(err), dialled: true}})
			return
		}
	}
	left := r.Deadline().Sub(k.clock.Now())
	result := conn.Exchange(ctx, k.config.names, instance, r, left)
	if !result.Reusable() {
		conn = nil
	}
	k.inbox.Send(message{ended: &endedMessage{key: key, result: result, conn: conn, dialled: dialled}})
}

func (k *Proxy) handleEnded(m *endedMessage) {
	now := k.clock.Now()
	r, ok := k.runs[m.key]
	if !ok {
		return
	}
	left := errors.Is(m.result.Err(), context.Canceled)
	r.cancel()
	delete(k.runs, m.key)
	k.running.Add(-1)
	k.book.Release(m.key)
	k.keep(m.conn)
	if m.dialled {
		k.observe.dialled()
	}
	k.learn(now, m.result, now.Sub(r.started), left)
	if a, ok := k.asks[m.key]; ok {
		delete(k.asks, m.key)
		a.reply(k.ending(m.key, m.result))
	}
	k.record(now, r, m.result, left)
	k.settle(now)
}

func (k *Proxy) keep(c *httpclient.Conn) {
	switch {
	case c == nil:
	case len(k.idle) >= maxIdle || !k.admits() || !k.hasRoom():
		c.Close()
	default:
		k.idle = append(k.idle, c)
	}
}

// learn takes from an ended request what it says of the server.
func (k *Proxy) learn(now time.Time, result *httpclient.Result, took time.Duration, left bool) {
	if load, ok := result.LoadReport(); ok {
		k.report(now, load)
	}
	switch {
	case left:
	case result.Outcome() == httpclient.NotRun && result.Instance() != "" && result.Instance() != k.instance:
		k.fire(eventUnreachable)
	case result.DialFailed():
		k.book.RecordResult(now, true)
		k.fire(eventUnreachable)
	case result.Outcome() == httpclient.Answered && result.Response().Status() < http.StatusInternalServerError:
		k.book.RecordResult(now, false)
		k.meanWork += time.Duration(workWeight * float64(took-k.work()))
		if k.meanWork <= 0 {
			k.meanWork = took
		}
	default:
		k.book.RecordResult(now, true)
	}
}

// report takes in what the server tells of its load, and warns those whose
// requests it now runs more slowly than when they began.
func (k *Proxy) report(now time.Time, load httpclient.LoadReport) {
	k.book.ReportLoad(load.Outstanding(), load.Slowness())
	k.probes.told(now)
	slowness := k.book.Slowness()
	for key, r := range k.runs {
		a, ok := k.asks[key]
		if !ok || r.warned || !a.ask.WantsSlowdownNotice() || slowness < slowedBy*r.pace {
			continue
		}
		r.warned = true
		a.reply(upstream.NewEvent(upstream.Slowed, key.Number()).WithCost(slowness))
	}
}

func (k *Proxy) ending(key limiter.Key, result *httpclient.Result) upstream.Event {
	switch result.Outcome() {
	case httpclient.Answered:
		return upstream.NewEvent(upstream.Answered, key.Number()).WithResponse(result.Response())
	case httpclient.NotRun:
		return upstream.NewEvent(upstream.NotRun, key.Number()).WithReason(result.Reason()).WithRetryAfter(minRetryAfter)
	case httpclient.Unknown:
	}
	return upstream.NewEvent(upstream.Unknown, key.Number()).WithReason(result.Reason())
}

var outcomeNames = map[httpclient.Outcome]string{httpclient.Answered: "answered", httpclient.NotRun: "not-run", httpclient.Unknown: "unknown"}

func (k *Proxy) record(now time.Time, r *run, result *httpclient.Result, left bool) {
	outcome := outcomeNames[result.Outcome()]
	if left {
		outcome = "caller-left"
	}
	k.observe.served(k.latest.service, outcome, now.Sub(r.started))
	fields := []any{
		"request", r.request.ID(), "outcome", outcome, "took_ms", now.Sub(r.started).Milliseconds(),
		"instance", k.instance, "in_use", k.book.InUse(), "slots", k.book.Slots(), "slowness", k.book.Slowness(),
	}
	if result.Response() != nil {
		fields = append(fields, "status", result.Response().Status())
	}
	if result.Reason() != "" {
		fields = append(fields, "reason", result.Reason())
	}
	if result.Err() != nil {
		fields = append(fields, "error", result.Err().Error())
	}
	k.log.Write("server-request", fields...)
}

func (k *Proxy) cancel(key limiter.Key) {
	r, running := k.runs[key]
	if !running {
		k.withdraw(key)
		return
	}
	delete(k.asks, key)
	r.cancel()
}

// handleDrop gives up what came by a link that is gone. Requests that may be
// under way are ended, since nobody is left to take the answer.
func (k *Proxy) handleDrop(link uint64) {
	for key := range k.asks {
		if key.Link() == link {
			k.cancel(key)
		}
	}
}
