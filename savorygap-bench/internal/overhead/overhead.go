// Package overhead measures what two nodes add to a call, against the same
// load sent straight to the server.
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
	subnet    = 11
	region    = "mu-north"
	slots     = 200
	warmUp    = 3 * time.Second
	largeBody = 1 << 20 // bytes
)

// Options say what to measure.
type Options struct {
	transports []string
	length     time.Duration
	seed       uint64
}

// NewOptions returns options for the given transports; each case runs for
// length.
func NewOptions(transports []string, length time.Duration, seed uint64) Options {
	return Options{transports: transports, length: length, seed: seed}
}

// testCase is one load.
type testCase struct {
	name    string
	rate    float64
	callers int
	answer  int
}

func cases() []testCase {
	return []testCase{
		{name: "64 B answer, 300/s, 1 caller", rate: 300, callers: 1, answer: 64},
		{name: "64 B answer, 300/s, 64 callers", rate: 300, callers: 64, answer: 64},
		{name: "64 B answer, 3000/s, 64 callers", rate: 3000, callers: 64, answer: 64},
		{name: "1 MiB answer, 60/s, 64 callers", rate: 60, callers: 64, answer: largeBody},
	}
}

// Run measures every case over every transport and prints a table.
func Run(ctx context.Context, w io.Writer, o Options) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "TRANSPORT\tCASE\tPATH\tSENT\tFAILED\tP50\tP99\tP99.9\tADDED P50\tADDED P99\tCPU/CALL\tALLOCS/CALL")
	for i, transport := range o.transports {
		if err := runTransport(ctx, t, o, transport, subnet+i); err != nil {
			return err
		}
	}
	return t.Flush()
}

// runTransport starts a node without a server, through which all calls enter,
// and a node with one.
func runTransport(ctx context.Context, w io.Writer, o Options, transport string, net int) error {
	shape := servertest.NewProfile(slots, 0)
	hosts := []fleet.HostPlan{
		fleet.NewHostPlan("pamplemousses", region, "", shape),
		fleet.NewHostPlan("pamplemousses", region, "logview", shape),
	}
	f, err := fleet.Start(ctx, fleet.NewPlan(net, hosts).WithTransport(transport))
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
	load.Run(ctx, f.Client(), load.NewPlan(500, warmUp, 99, flows(64), []string{f.Hosts()[0].CallerAddress()}))
	return nil
}

func flows(answer int) []load.Flow {
	return []load.Flow{load.NewFlow("logs", 1, "board.example", http.MethodPost, "/logview/today").WithBodies(0, answer)}
}

// runCase sends the same schedule straight to the server and through the
// nodes.
func runCase(ctx context.Context, w io.Writer, o Options, f *fleet.Fleet, transport string, c testCase) error {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: c.callers, MaxIdleConnsPerHost: c.callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	plan := func(target string) load.Plan {
		return load.NewPlan(c.rate, o.length, o.seed, flows(c.answer), []string{target})
	}
	direct := load.Run(ctx, client, plan(f.Hosts()[1].ServerAddress()))
	before, err := used(ctx, f)
	if err != nil {
		return err
	}
	through := load.Run(ctx, client, plan(f.Hosts()[0].CallerAddress()))
	after, err := used(ctx, f)
	if err != nil {
		return err
	}
	printRow(w, transport, c.name, "direct", direct, direct, fleet.Usage{})
	printRow(w, transport, c.name, "two nodes", through, direct, after.Sub(before))
	return nil
}

// used returns the usage of both nodes together.
func used(ctx context.Context, f *fleet.Fleet) (fleet.Usage, error) {
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
