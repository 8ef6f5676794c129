// Package compare measures the load-balancing policies under the same request
// schedules.
package compare

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"savorygap.example/savorygap-bench/internal/demo"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/load"
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	firstSubnet      = 20
	region           = "mu-north"
	numServers       = 4
	slots            = 12
	serviceTime      = 40 * time.Millisecond
	noiseShare       = 0.2
	coldStart        = time.Second
	slowFactor       = 3.0
	warmUpLength     = 4 * time.Second
	warmUpShare      = 0.5
	pauseBetweenRuns = 500 * time.Millisecond
	burstiness       = 0.5
)

// capacity is the number of requests a second that all servers together can take.
// Noisy neighbours make requests take 1.2 times as long on average.
const capacity = numServers * slots / (0.040 * 1.2)

// Options holds the policies and loads to compare, and the number and length of the
// runs.
type Options struct {
	policies []string
	loads    []float64
	slowed   []bool
	seeds    int
	length   time.Duration
}

// NewOptions returns options to run each of the named policies under each load, in
// percent of capacity, with all servers at normal speed and with one slowed down, for
// the given number of seeds.
func NewOptions(policies []string, loads []float64, seeds int, length time.Duration) Options {
	return Options{policies: policies, loads: loads, slowed: []bool{false, true}, seeds: seeds, length: length}
}

// measurement holds the results of one run.
type measurement struct {
	p50, p99, p999 float64 // milliseconds
	goodput        float64 // percent of the requests sent
	rejected       int
	failed         int
	overCapacity   int
	duplicates     int
	controlRate    float64 // bytes a second and node
}

// Run measures every policy under every load and prints the medians over the seeds,
// the range of the 99th percentile and the totals of the counts.
func Run(ctx context.Context, w io.Writer, o Options) error {
	binary, err := fleet.BuildTempBinary(ctx)
	if err != nil {
		return err
	}
	defer binary.Remove()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LOAD\tONE SLOWED\tPOLICY\tP50 ms\tP99 ms\tSPREAD\tP99.9 ms\tGOOD %\tREJECTED\tUNKNOWN\tOVER SLOTS\tTWICE\tCONTROL B/s")
	for i, policy := range o.policies {
		if err := runPolicy(ctx, t, o, policy, firstSubnet+i, binary.Path()); err != nil {
			return err
		}
	}
	return t.Flush()
}

func runPolicy(ctx context.Context, w io.Writer, o Options, policy string, subnet int, binary string) error {
	f, err := fleet.Start(ctx, fleet.NewPlan(subnet, hosts()).WithPolicy(policy).WithBinary(binary))
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := prepare(ctx, f); err != nil {
		return err
	}
	for _, percent := range o.loads {
		for _, slowed := range o.slowed {
			var all []measurement
			for seed := range o.seeds {
				m, err := runOnce(ctx, f, o, percent, slowed, uint64(seed+1))
				if err != nil {
					return err
				}
				all = append(all, m)
			}
			printMedians(w, percent, slowed, policy, all)
		}
	}
	return nil
}

func hosts() []fleet.HostPlan {
	profile := servertest.NewProfile(slots, serviceTime).WithColdStart(coldStart).WithNoise(noiseShare)
	dataCentres := []string{"pamplemousses", "riviere-du-rempart", "port-louis"}
	var plans []fleet.HostPlan
	for i := range numServers {
		plans = append(plans, fleet.NewHostPlan(dataCentres[i%len(dataCentres)], region, "logview", profile))
	}
	return plans
}

func prepare(ctx context.Context, f *fleet.Fleet) error {
	if err := demo.Configure(ctx, f, numServers); err != nil {
		return err
	}
	load.Run(ctx, f.Client(), load.NewPlan(warmUpShare*capacity, warmUpLength, 77, flows(), callerAddresses(f)))
	return nil
}

func callerAddresses(f *fleet.Fleet) []string {
	var out []string
	for _, h := range f.Hosts() {
		out = append(out, h.CallerAddress())
	}
	return out
}

func flows() []load.Flow {
	return []load.Flow{
		load.NewFlow("logs", 8, "board.example", http.MethodGet, "/logview/today").WithTimeout(3 * time.Second),
		load.NewFlow("writes", 1, "board.example", http.MethodPost, "/logview/note").WithBodies(200, 64).WithTimeout(3 * time.Second),
		load.NewFlow("lookups", 1, "board.example", http.MethodGet, "/logview/background/x").WithTimeout(3 * time.Second),
	}
}

func runOnce(ctx context.Context, f *fleet.Fleet, o Options, percent float64, slowed bool, seed uint64) (measurement, error) {
	if slowed {
		f.Hosts()[0].Server().SetFaults(servertest.Faults{}.WithSlowdown(slowFactor))
		defer f.Hosts()[0].Server().SetFaults(servertest.Faults{})
	}
	overBefore, bytesBefore, err := readCounters(ctx, f)
	if err != nil {
		return measurement{}, err
	}
	r := load.Run(ctx, f.Client(), load.NewPlan(percent/100*capacity, o.length, seed, flows(), callerAddresses(f)).WithBurstiness(burstiness))
	overAfter, bytesAfter, err := readCounters(ctx, f)
	if err != nil {
		return measurement{}, err
	}
	time.Sleep(pauseBetweenRuns)
	return measurement{
		p50: millis(r, 50), p99: millis(r, 99), p999: millis(r, 99.9), goodput: 100 * float64(r.Succeeded()) / float64(max(r.Sent(), 1)),
		rejected: r.Count("not-run"), failed: r.Count("unknown") + r.Count("cut") + r.Count("no-answer"),
		overCapacity: overAfter - overBefore, duplicates: countDuplicates(f, r.Samples()),
		controlRate: float64(bytesAfter-bytesBefore) / o.length.Seconds() / numServers,
	}, nil
}

func millis(r *load.Result, q float64) float64 {
	return float64(r.Quantile(q).Microseconds()) / 1000
}

func readCounters(ctx context.Context, f *fleet.Fleet) (overCapacity int, sentBytes uint64, err error) {
	for _, h := range f.Hosts() {
		overCapacity += h.Server().Stats().OverCapacity()
		d, err := h.Dump(ctx)
		if err != nil {
			return 0, 0, err
		}
		bytes, _ := d.ControlBytes()
		sentBytes += bytes
	}
	return overCapacity, sentBytes, nil
}

// countDuplicates counts the writes that were executed more than once.
func countDuplicates(f *fleet.Fleet, samples []load.Sample) int {
	executions := map[string]int{}
	for _, h := range f.Hosts() {
		for id, n := range h.Server().Stats().Executions() {
			executions[id] += n
		}
	}
	n := 0
	for _, s := range samples {
		if s.Flow() == "writes" && executions[s.ID()] > 1 {
			n++
		}
	}
	return n
}

func printMedians(w io.Writer, percent float64, slowed bool, policy string, all []measurement) {
	sorted := func(value func(measurement) float64) []float64 {
		list := make([]float64, 0, len(all))
		for _, m := range all {
			list = append(list, value(m))
		}
		sort.Float64s(list)
		return list
	}
	median := func(value func(measurement) float64) float64 {
		list := sorted(value)
		return list[len(list)/2]
	}
	total := func(value func(measurement) float64) float64 {
		sum := 0.0
		for _, v := range sorted(value) {
			sum += v
		}
		return sum
	}
	p99 := sorted(func(m measurement) float64 { return m.p99 })
	fmt.Fprintf(w, "%.0f%%\t%v\t%s\t%.1f\t%.1f\t%.0f-%.0f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", percent, slowed, policy,
		median(func(m measurement) float64 { return m.p50 }), median(func(m measurement) float64 { return m.p99 }),
		math.Floor(p99[0]), math.Ceil(p99[len(p99)-1]), median(func(m measurement) float64 { return m.p999 }),
		median(func(m measurement) float64 { return m.goodput }), total(func(m measurement) float64 { return float64(m.rejected) }),
		total(func(m measurement) float64 { return float64(m.failed) }), total(func(m measurement) float64 { return float64(m.overCapacity) }),
		total(func(m measurement) float64 { return float64(m.duplicates) }), median(func(m measurement) float64 { return m.controlRate }))
}
