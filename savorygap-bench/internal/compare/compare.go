// Package compare measures the policies that choose targets against each other
// on the same schedules.
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
	subnet      = 20
	region      = "mu-north"
	servers     = 4
	slots       = 12
	serviceTime = 40 * time.Millisecond
	noise       = 0.2
	cold        = time.Second
	slowFactor  = 3.0
	warmUp      = 4 * time.Second
	warmShare   = 0.5
	pause       = 500 * time.Millisecond
	burst       = 0.5
)

// capacity is the load in requests a second that the servers bear in total. The
// neighbours make requests take 1.2 times as long on average.
const capacity = servers * slots / (0.040 * 1.2)

// Options say what to compare.
type Options struct {
	policies []string
	loads    []float64
	slowed   []bool
	seeds    int
	length   time.Duration
}

// NewOptions returns options: policies by name, loads in percent of capacity,
// each with sound servers and with one slowed, for a number of seeds.
func NewOptions(policies []string, loads []float64, seeds int, length time.Duration) Options {
	return Options{policies: policies, loads: loads, slowed: []bool{false, true}, seeds: seeds, length: length}
}

// figures is what one run gave.
type figures struct {
	p50, p99, p999 float64 // milliseconds
	goodput        float64 // share of the requests sent
	rejected       int
	failed         int
	over           int
	twice          int
	control        float64 // bytes a second and node
}

// Run measures every policy under every load and prints medians over the
// seeds, with the spread of the 99th percentile.
func Run(ctx context.Context, w io.Writer, o Options) error {
	dir, err := fleet.BuildTempBinary(ctx)
	if err != nil {
		return err
	}
	defer dir.Remove()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LOAD\tONE SLOWED\tPOLICY\tP50 ms\tP99 ms\tSPREAD\tP99.9 ms\tGOOD %\tREJECTED\tUNKNOWN\tOVER SLOTS\tTWICE\tCONTROL B/s")
	for i, policy := range o.policies {
		if err := runPolicy(ctx, t, o, policy, subnet+i, dir.Path()); err != nil {
			return err
		}
	}
	return t.Flush()
}

func runPolicy(ctx context.Context, w io.Writer, o Options, policy string, net int, binary string) error {
	f, err := fleet.Start(ctx, fleet.NewPlan(net, hosts()).WithPolicy(policy).WithBinary(binary))
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := prepare(ctx, f); err != nil {
		return err
	}
	for _, share := range o.loads {
		for _, slowed := range o.slowed {
			var all []figures
			for seed := range o.seeds {
				one, err := runOnce(ctx, f, o, share, slowed, uint64(seed+1))
				if err != nil {
					return err
				}
				all = append(all, one)
			}
			printMedians(w, share, slowed, policy, all)
		}
	}
	return nil
}

func hosts() []fleet.HostPlan {
	shape := servertest.NewProfile(slots, serviceTime).WithColdStart(cold).WithNoise(noise)
	dataCentres := []string{"pamplemousses", "riviere-du-rempart", "port-louis"}
	var plans []fleet.HostPlan
	for i := range servers {
		plans = append(plans, fleet.NewHostPlan(dataCentres[i%len(dataCentres)], region, "logview", shape))
	}
	return plans
}

func prepare(ctx context.Context, f *fleet.Fleet) error {
	if err := demo.Configure(ctx, f, servers); err != nil {
		return err
	}
	load.Run(ctx, f.Client(), load.NewPlan(warmShare*capacity, warmUp, 77, flows(), callers(f)))
	return nil
}

func callers(f *fleet.Fleet) []string {
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

func runOnce(ctx context.Context, f *fleet.Fleet, o Options, share float64, slowed bool, seed uint64) (figures, error) {
	if slowed {
		f.Hosts()[0].Server().SetFaults(servertest.Faults{}.WithSlowdown(slowFactor))
		defer f.Hosts()[0].Server().SetFaults(servertest.Faults{})
	}
	overBefore, bytesBefore, err := counters(ctx, f)
	if err != nil {
		return figures{}, err
	}
	r := load.Run(ctx, f.Client(), load.NewPlan(share/100*capacity, o.length, seed, flows(), callers(f)).WithBurstiness(burst))
	overAfter, bytesAfter, err := counters(ctx, f)
	if err != nil {
		return figures{}, err
	}
	time.Sleep(pause)
	return figures{
		p50: millis(r, 50), p99: millis(r, 99), p999: millis(r, 99.9), goodput: 100 * float64(r.Succeeded()) / float64(max(r.Sent(), 1)),
		rejected: r.Count("not-run"), failed: r.Count("unknown") + r.Count("cut") + r.Count("no-answer"),
		over: overAfter - overBefore, twice: twice(f, r.Samples()),
		control: float64(bytesAfter-bytesBefore) / o.length.Seconds() / servers,
	}, nil
}

func millis(r *load.Result, q float64) float64 {
	return float64(r.Quantile(q).Microseconds()) / 1000
}

func counters(ctx context.Context, f *fleet.Fleet) (over int, sent uint64, err error) {
	for _, h := range f.Hosts() {
		over += h.Server().Stats().OverCapacity()
		d, err := h.Dump(ctx)
		if err != nil {
			return 0, 0, err
		}
		bytes, _ := d.ControlBytes()
		sent += bytes
	}
	return over, sent, nil
}

// twice counts the writes that ran more than once.
func twice(f *fleet.Fleet, samples []load.Sample) int {
	runs := map[string]int{}
	for _, h := range f.Hosts() {
		for id, n := range h.Server().Stats().Runs() {
			runs[id] += n
		}
	}
	n := 0
	for _, s := range samples {
		if s.Flow() == "writes" && runs[s.ID()] > 1 {
			n++
		}
	}
	return n
}

func printMedians(w io.Writer, share float64, slowed bool, policy string, all []figures) {
	pick := func(value func(figures) float64) []float64 {
		list := make([]float64, 0, len(all))
		for _, f := range all {
			list = append(list, value(f))
		}
		sort.Float64s(list)
		return list
	}
	median := func(value func(figures) float64) float64 {
		list := pick(value)
		return list[len(list)/2]
	}
	total := func(value func(figures) float64) float64 {
		sum := 0.0
		for _, v := range pick(value) {
			sum += v
		}
		return sum
	}
	p99 := pick(func(f figures) float64 { return f.p99 })
	fmt.Fprintf(w, "%.0f%%\t%v\t%s\t%.1f\t%.1f\t%.0f-%.0f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", share, slowed, policy,
		median(func(f figures) float64 { return f.p50 }), median(func(f figures) float64 { return f.p99 }),
		math.Floor(p99[0]), math.Ceil(p99[len(p99)-1]), median(func(f figures) float64 { return f.p999 }),
		median(func(f figures) float64 { return f.goodput }), total(func(f figures) float64 { return float64(f.rejected) }),
		total(func(f figures) float64 { return float64(f.failed) }), total(func(f figures) float64 { return float64(f.over) }),
		total(func(f figures) float64 { return float64(f.twice) }), median(func(f figures) float64 { return f.control }))
}
