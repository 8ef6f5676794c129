package caller

import (
	"context"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/load"
	"savorygap.example/lib/route"
)

// finished is the result of one of two attempts side by side.
type finished struct {
	index  int
	answer *attempt.Response
	err    error
}

// hedged makes an attempt and, when it has not answered after the hedge delay,
// a second one elsewhere. The first answer wins; the other attempt is
// cancelled.
func (q *request) hedged(ctx context.Context, first balance.Target, last bool, body *source) (*attempt.Response, error) {
	results := make(chan finished, 2)
	cancels := make([]context.CancelFunc, 0, 2)
	start := func(t balance.Target, last bool) {
		q.tried = append(q.tried, t.ID())
		attemptCtx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			answer, err := q.single(attemptCtx, t, last, body)
			results <- finished{index: index, answer: answer, err: err}
		}()
	}
	start(first, last)
	timer := q.handler.clock.NewTimer(q.plan.HedgeDelay())
	defer timer.Stop()
	select {
	case r := <-results:
		return withCancel(r.answer, cancels), r.err
	case <-timer.Chan():
	}
	if t, last, ok := q.second(ctx); ok {
		start(t, last)
	}
	return q.race(results, cancels)
}

func (q *request) second(ctx context.Context) (balance.Target, bool, bool) {
	ask := route.NewAttemptRequest(q.plan.Match().Service(), q.demands.depth, q.tried).AsHedge()
	choice := q.handler.router.NextAttempt(ctx, ask)
	t, ok := choice.Target()
	return t, choice.Last(), ok
}

// race returns the first answer, or the last error when no attempt answers.
func (q *request) race(results chan finished, cancels []context.CancelFunc) (*attempt.Response, error) {
	var r finished
	for pending := len(cancels); pending > 0; pending-- {
		r = <-results
		if r.err == nil {
			discard(results, cancels, r.index, pending-1)
			return withCancel(r.answer, cancels[r.index:r.index+1]), nil
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil, r.err
}

// discard cancels the other attempts and ends any answer that still arrives.
func discard(results chan finished, cancels []context.CancelFunc, winner, pending int) {
	for i, cancel := range cancels {
		if i != winner {
			cancel()
		}
	}
	go func() {
		for range pending {
			if r := <-results; r.err == nil {
				r.answer.Finish(context.Canceled)
			}
		}
	}()
}

// withCancel returns the answer with its context released at its end.
func withCancel(a *attempt.Response, cancels []context.CancelFunc) *attempt.Response {
	if a == nil {
		for _, cancel := range cancels {
			cancel()
		}
		return nil
	}
	finish := func(bodyErr error) load.Report {
		report := a.Finish(bodyErr)
		for _, cancel := range cancels {
			cancel()
		}
		return report
	}
	return attempt.NewResponse(a.Status(), a.Header(), a.Length(), a.Body(), a.Trailer, a.Report, finish)
}
