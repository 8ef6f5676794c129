package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"
)

// pausingServer returns a server that takes 20 ms for a request, and pauses for 300 ms
// now and then, so that it is paused for a twentieth of the time.
func pausingServer(t testing.TB, node string) *fakeServer {
	t.Helper()
	const period, pause = 6 * time.Second, 300 * time.Millisecond
	offset := rand.N(period)
	startedAt := time.Now()
	s := newFakeServer(node, "shop", 1)
	s.respondAfter(t, func(string) time.Duration {
		phase := (time.Since(startedAt) + offset) % period
		return 20*time.Millisecond + max(0, pause-phase)
	})
	return s
}

// BenchmarkServe_ServersThatPause sends 250 requests a second to 20 servers and reports
// the latencies, and how many requests arrived for each that was sent.
func BenchmarkServe_ServersThatPause(b *testing.B) {
	for _, share := range []float64{0, 0.02, 0.05} {
		b.Run(fmt.Sprint(share), func(b *testing.B) {
			const requests, interval, objective = 5000, 4 * time.Millisecond, 200 * time.Millisecond
			for b.Loop() {
				var counts hedgeCounts
				var servers []*fakeServer
				for n := range 20 {
					servers = append(servers, pausingServer(b, fmt.Sprint("n", n)))
				}
				r := newLimitedRouter(b, share, &counts, servers...)
				latencies := make(chan time.Duration, requests)
				ticks := time.NewTicker(interval)
				for n := range requests {
					<-ticks.C
					go func() {
						startedAt := time.Now()
						if r.Serve(context.Background(), call("/read/1", fmt.Sprint(n))).Status() != http.StatusOK {
							latencies <- time.Hour
							return
						}
						latencies <- time.Since(startedAt)
					}()
				}
				ticks.Stop()
				all := make([]time.Duration, 0, requests)
				within, arrived := 0, 0
				for range requests {
					l := <-latencies
					all = append(all, l)
					if l <= objective {
						within++
					}
				}
				for _, s := range servers {
					arrived += len(s.submitted)
				}
				slices.Sort(all)
				ms := func(q float64) float64 { return float64(all[int(q*(requests-1))].Microseconds()) / 1000 }
				b.ReportMetric(ms(0.5), "p50_ms")
				b.ReportMetric(ms(0.99), "p99_ms")
				b.ReportMetric(ms(0.999), "p99.9_ms")
				b.ReportMetric(float64(within)/requests, "within_objective")
				b.ReportMetric(float64(arrived)/requests, "arrived/request")
				b.ReportMetric(float64(counts.won.Load()), "won")
				b.ReportMetric(float64(counts.share.Load()), "denied_share")
				b.ReportMetric(float64(counts.knee.Load()), "denied_knee")
			}
		})
	}
}
