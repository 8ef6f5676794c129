package caller

import (
	"context"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/load"
	"savorygap.example/lib/route"
)

// hedgeResult is the response or error of one of two concurrent attempts.
type hedgeResult struct {
	index    int
	response *attempt.Response
	err      error
}

// hedged makes an attempt and, if it has no response after the hedge delay, a
// second one at another target. It returns the first response and cancels the
// other attempt.
func (q *request) hedged(ctx context.Context, first balance.Target, last bool, body *requestBody) (*attempt.Response, error) {
	results := make(chan hedgeResult, 2)
	cancels := make([]context.CancelFunc, 0, 2)
	start := func(t balance.Target, last bool) {
		q.tried = append(q.tried, t.ID())
		attemptCtx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			response, err := q.runSingle(attemptCtx, t, last, body)
			results <- hedgeResult{index: index, response: response, err: err}
		}()
	}
	start(first, last)
	timer := q.handler.clock.NewTimer(q.plan.HedgeDelay())
	defer timer.Stop()
	select {
	case r := <-results:
		return withCancelAtEnd(r.response, cancels), r.err
	case <-timer.Chan():
	}
	if t, last, ok := q.hedgeTarget(ctx); ok {
		start(t, last)
	}
	return q.awaitFirst(results, cancels)
}

func (q *request) hedgeTarget(ctx context.Context) (balance.Target, bool, bool) {
	attemptRequest := route.NewAttemptRequest(q.plan.Match().Service(), q.params.depth, q.tried).AsHedge()
	next := q.handler.router.NextAttempt(ctx, attemptRequest)
	t, ok := next.Target()
	return t, next.Last(), ok
}

// awaitFirst returns the first response, or the last error if all attempts fail.
func (q *request) awaitFirst(results chan hedgeResult, cancels []context.CancelFunc) (*attempt.Response, error) {
	var r hedgeResult
	for pending := len(cancels); pending > 0; pending-- {
		r = <-results
		if r.err == nil {
			cancelOthers(results, cancels, r.index, pending-1)
			return withCancelAtEnd(r.response, cancels[r.index:r.index+1]), nil
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil, r.err
}

// cancelOthers cancels all attempts but the winner and finishes their late
// responses.
func cancelOthers(results chan hedgeResult, cancels []context.CancelFunc, winner, pending int) {
	for i, cancel := range cancels {
		if i != winner {
			cancel()
		}
	}
	go func() {
		for range pending {
			if r := <-results; r.err == nil {
				r.response.Finish(context.Canceled)
			}
		}
	}()
}

// withCancelAtEnd returns a response that calls cancels when it finishes. If
// response is nil, it calls them immediately.
func withCancelAtEnd(response *attempt.Response, cancels []context.CancelFunc) *attempt.Response {
	if response == nil {
		for _, cancel := range cancels {
			cancel()
		}
		return nil
	}
	finish := func(bodyErr error) load.Report {
		report := response.Finish(bodyErr)
		for _, cancel := range cancels {
			cancel()
		}
		return report
	}
	return attempt.NewResponse(response.Status(), response.Header(), response.Length(), response.Body(), response.Trailer, response.Report, finish)
}
