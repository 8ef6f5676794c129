// Package overhead measures the latency and the cost that two nodes add to a call,
// compared with the same load sent directly to the server.
package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"savorygap.example/savorygap-bench/internal/demo"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/load"
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	firstSubnet   = 11
	region        = "mu-north"
	slots         = 200
	warmUpLength  = 3 * time.Second
	largeResponse = 1 << 20 // bytes
)

// Options holds the transports to measure, and the length and seed of each case.
type Options struct {
	transports []string
	length     time.Duration
	seed       uint64
}

// NewOptions returns options for the given transports. Each case runs for length.
func NewOptions(transports []string, length time.Duration, seed uint64) Options {
	return Options{transports: transports, length: length, seed: seed}
}

// testCase is a load to measure.
type testCase struct {
	name         string
	rate         float64
	callers      int
	responseSize int
}

func cases() []testCase {
	return []testCase{
		{name: "64 B answer, 300/s, 1 caller", rate: 300, callers: 1, responseSize: 64},
		{name: "64 B answer, 300/s, 64 callers", rate: 300, callers: 64, responseSize: 64},
		{name: "64 B answer, 3000/s, 64 callers", rate: 3000, callers: 64, responseSize: 64},
		{name: "1 MiB answer, 60/s, 64 callers", rate: 60, callers: 64, responseSize: largeResponse},
	}
}

// Run measures every case over every transport and prints a table.
func Run(ctx context.Context, w io.Writer, o Options) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "TRANSPORT\tCASE\tPATH\tSENT\tFAILED\tP50\tP99\tP99.9\tADDED P50\tADDED P99\tCPU/CALL\tALLOCS/CALL")
	for i, transport := range o.transports {
		if err := runTransport(ctx, t, o, transport, firstSubnet+i); err != nil {
			return err
		}
	}
	return t.Flush()
}

// runTransport measures all cases on a fleet of two nodes: one without a server,
// which receives all calls, and one with a server.
func runTransport(ctx context.Context, w io.Writer, o Options, transport string, subnet int) error {
	profile := servertest.NewProfile(slots, 0)
	hosts := []fleet.HostPlan{
		fleet.NewHostPlan("pamplemousses", region, "", profile),
		fleet.NewHostPlan("pamplemousses", region, "logview", profile),
	}
	f, err := fleet.Start(ctx, fleet.NewPlan(subnet, hosts).WithTransport(transport))
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := prepare(ctx, f); err != nil {
		return err
	}
	for _, c := range cases() {
		if err := runCase(ctx, w, o, f, transport, c); err != nil {
			return err
		}
	}
	return nil
}

func prepare(ctx context.Context, f *fleet.Fleet) error {
	if err := demo.Configure(ctx, f, 1); err != nil {
		return err
	}
	load.Run(ctx, f.Client(), load.NewPlan(500, warmUpLength, 99, flows(64), []string{f.Hosts()[0].CallerAddress()}))
	return nil
}

func flows(responseSize int) []load.Flow {
	return []load.Flow{load.NewFlow("logs", 1, "board.example", http.MethodPost, "/logview/today").WithBodies(0, responseSize)}
}

// runCase sends the same schedule directly to the server and through the nodes.
func runCase(ctx context.Context, w io.Writer, o Options, f *fleet.Fleet, transport string, c testCase) error {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: c.callers, MaxIdleConnsPerHost: c.callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	plan := func(target string) load.Plan {
		return load.NewPlan(c.rate, o.length, o.seed, flows(c.responseSize), []string{target})
	}
	direct := load.Run(ctx, client, plan(f.Hosts()[1].ServerAddress()))
	before, err := totalUsage(ctx, f)
	if err != nil {
		return err
	}
	through := load.Run(ctx, client, plan(f.Hosts()[0].CallerAddress()))
	after, err := totalUsage(ctx, f)
	if err != nil {
		return err
	}
	printRow(w, transport, c.name, "direct", direct, direct, fleet.Usage{})
	printRow(w, transport, c.name, "two nodes", through, direct, after.Sub(before))
	return nil
}

// totalUsage returns the sum of the usage of both nodes.
func totalUsage(ctx context.Context, f *fleet.Fleet) (fleet.Usage, error) {
	first, err := f.Hosts()[0].Usage(ctx)
	if err != nil {
		return first, err
	}
	second, err := f.Hosts()[1].Usage(ctx)
	return first.Add(second), err
}

func printRow(w io.Writer, transport, name, path string, r, base *load.Result, u fleet.Usage) {
	sent := float64(max(r.Sent(), 1))
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\n", transport, name, path, r.Sent(), r.Sent()-r.Succeeded(),
		r.Quantile(50), r.Quantile(99), r.Quantile(99.9), r.Quantile(50)-base.Quantile(50), r.Quantile(99)-base.Quantile(99),
		time.Duration(u.CPUSeconds()/sent*float64(time.Second)).Round(time.Microsecond), u.Mallocs()/sent)
}
