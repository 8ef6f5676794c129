package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	statedRate = 2.0 // requests a second that a server in need states
	// limitTolerance, limitSlack and limitWindow are set by the platform's contract.
	limitTolerance = 1.5
	limitSlack     = 5
	limitWindow    = 4 * time.Second
	// limitNotice is how long after a server states its limit the first answer or health
	// check that carries it may arrive, plus the half second that the contract gives.
	limitNotice    = 1500 * time.Millisecond
	minLimitLength = limitWindow + limitNotice
	maxLimitLength = 2 * minLimitLength
	// limitStream separates the random numbers of limits from those of the episodes, so
	// that a seed keeps its episodes.
	limitStream = 1 << 32
)

// rateLimit is the interval in which a server stated a limit.
type rateLimit struct {
	instance string
	from     time.Time
	to       time.Time
}

// stateLimits has one server after another state a limit, beside all other operations,
// until ctx ends.
func (r *run) stateLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.seed, limitStream))
	for ctx.Err() == nil {
		h := r.withServer(r.sampleHosts()[rng.IntN(len(r.sampleHosts()))])
		length := minLimitLength + time.Duration(rng.Int64N(int64(maxLimitLength-minLimitLength)))
		server, from := h.Server(), time.Now()
		server.SetRateLimit(strconv.FormatFloat(statedRate, 'f', -1, 64))
		pause(ctx, length)
		to := time.Now()
		server.SetRateLimit("")
		r.recorder.update(func(hist *history) {
			hist.limits = append(hist.limits, rateLimit{instance: server.ID(), from: from, to: to})
			fmt.Fprintf(r.out, "%6.2f server states a rate limit, at %s, for %s\n", from.Sub(r.started).Seconds(), h.Name(), to.Sub(from).Round(time.Millisecond))
		})
	}
}

// checkLimits checks the requests to servers that stated a limit over every window.
func checkLimits(executions []cluster.Execution, hist history) []violation {
	maxRequests := int(limitTolerance*statedRate*limitWindow.Seconds()) + limitSlack
	var all []violation
	for _, l := range hist.limits {
		var times []time.Time
		for _, e := range executions {
			if e.Instance() == l.instance && e.StartedAt().After(l.from.Add(limitNotice)) && e.StartedAt().Before(l.to) && !mayBeDelayed(hist, e) {
				times = append(times, e.StartedAt())
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			if i+maxRequests < len(times) && times[i+maxRequests].Sub(times[i]) < limitWindow {
				all = append(all, violation{rule: "LIMIT", at: times[i], text: fmt.Sprintf("server %s got more than %d requests within %s", l.instance, maxRequests, limitWindow)})
				break
			}
		}
	}
	return all
}
