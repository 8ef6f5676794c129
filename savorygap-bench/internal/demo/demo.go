package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"text/tabwriter"
	"time"

	"savorygap.example/lib/document"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/load"
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	defaultSubnet = 10
	region        = "mu-north"
	boardHost     = "board.example"
	readyTimeout  = 20 * time.Second
	settleTimeout = 20 * time.Second
	phaseLength   = 3 * time.Second
	rate          = 300 // requests a second
	serviceTime   = 8 * time.Millisecond
	slots         = 12
	// targetSettleTime exceeds the 5 s for which a target must have been announced to be
	// a home of idempotency keys.
	targetSettleTime = 6 * time.Second
	drainTimeout     = 40 * time.Second
)

// phase is a period of load with optional actions before and after it.
type phase struct {
	name   string
	before func(ctx context.Context, f *fleet.Fleet) error
	after  func(ctx context.Context, f *fleet.Fleet) error
}

// Run starts six nodes in two data centres and applies the sample configuration. It
// sends load while a data centre is taken out of service and returned and while a
// node drains, and prints a table of the outcomes. It returns an error if the final
// check of the fleet finds a violation.
func Run(ctx context.Context, w io.Writer) error {
	f, err := Start(ctx, w)
	if err != nil {
		return err
	}
	defer f.Stop()
	var samples []load.Sample
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "PHASE\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tCUT\tP50\tP99")
	for i, p := range phases() {
		if err := runPhase(ctx, t, f, p, uint64(i+1), &samples); err != nil {
			return err
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return verify(ctx, w, f, samples)
}

// Start starts the sample fleet and waits until its configuration is in force.
func Start(ctx context.Context, w io.Writer) (*fleet.Fleet, error) {
	return StartOnSubnet(ctx, w, defaultSubnet)
}

// StartOnSubnet is Start with the given third byte of all addresses.
func StartOnSubnet(ctx context.Context, w io.Writer, subnet int) (*fleet.Fleet, error) {
	f, err := fleet.Start(ctx, fleet.NewPlan(subnet, hosts()))
	if err != nil {
		return nil, err
	}
	if err := prepare(ctx, w, f); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func hosts() []fleet.HostPlan {
	profile := servertest.NewProfile(slots, serviceTime).WithColdStart(time.Second)
	var plans []fleet.HostPlan
	for _, dataCentre := range []string{"pamplemousses", "port-louis"} {
		for _, service := range []string{"logview", "findings", "sensorhub"} {
			plans = append(plans, fleet.NewHostPlan(dataCentre, region, service, profile))
		}
	}
	return plans
}

func prepare(ctx context.Context, w io.Writer, f *fleet.Fleet) error {
	if err := Configure(ctx, f, len(f.Hosts())); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d nodes run with the configuration in force\n", len(f.Hosts()))
	time.Sleep(targetSettleTime)
	return nil
}

// Configure waits until a fleet is ready, applies the sample configuration, and
// waits until it is in force at every node and every node knows at least the given
// number of targets.
func Configure(ctx context.Context, f *fleet.Fleet, targets int) error {
	if err := f.AwaitReady(readyTimeout); err != nil {
		return err
	}
	resources, err := SampleResources()
	if err != nil {
		return err
	}
	revision, err := f.Apply(ctx, resources...)
	if err != nil {
		return err
	}
	if _, err := f.AwaitRevision(ctx, revision, settleTimeout); err != nil {
		return err
	}
	return f.AwaitTargets(ctx, targets, settleTimeout)
}

// Flows returns the flows of the sample load.
func Flows() []load.Flow {
	return []load.Flow{
		load.NewFlow("logs", 6, boardHost, http.MethodGet, "/logview/today"),
		load.NewFlow("spoilage", 1, boardHost, http.MethodGet, "/sensorhub/spoilage/7"),
		load.NewFlow("findings", 1, boardHost, http.MethodPost, "/findings/new").WithBodies(300, 100).WithRepeat(),
		load.NewFlow("archive", 0.3, boardHost, http.MethodPost, "/sensorhub/archive").WithBodies(200_000, 64).WithTimeout(10 * time.Second),
		load.NewFlow("lookups", 1, boardHost, http.MethodGet, "/logview/background/x").WithWork(2),
	}
}

func phases() []phase {
	return []phase{
		{name: "warming up"},
		{name: "steady"},
		{name: "port-louis leaves", before: setEvacuated("port-louis", true)},
		{name: "port-louis is out"},
		{name: "port-louis returns", before: setEvacuated("port-louis", false)},
		{name: "host-2's node drains", before: drainNode, after: restartNode},
		{name: "steady again"},
	}
}

func setEvacuated(dataCentre string, evacuated bool) func(context.Context, *fleet.Fleet) error {
	return func(ctx context.Context, f *fleet.Fleet) error {
		go func() {
			time.Sleep(phaseLength / 3)
			_, _ = f.Apply(ctx, document.DataCentreResource(document.NewDataCentre(dataCentre, region, evacuated)))
		}()
		return nil
	}
}

func drainNode(_ context.Context, f *fleet.Fleet) error {
	go func() {
		time.Sleep(phaseLength / 3)
		_ = f.Hosts()[1].Signal(syscall.SIGTERM)
	}()
	return nil
}

func restartNode(_ context.Context, f *fleet.Fleet) error {
	if err := f.Hosts()[1].AwaitExit(drainTimeout); err != nil {
		return err
	}
	if err := f.Hosts()[1].StartNode(); err != nil {
		return err
	}
	return f.AwaitReady(readyTimeout)
}

// callerAddresses returns the caller addresses of all nodes except the one that
// drains.
func callerAddresses(f *fleet.Fleet) []string {
	var out []string
	for i, h := range f.Hosts() {
		if i != 1 {
			out = append(out, h.CallerAddress())
		}
	}
	return out
}

func runPhase(ctx context.Context, w io.Writer, f *fleet.Fleet, p phase, seed uint64, samples *[]load.Sample) error {
	if p.before != nil {
		if err := p.before(ctx, f); err != nil {
			return err
		}
	}
	r := load.Run(ctx, f.Client(), load.NewPlan(rate, phaseLength, seed, Flows(), callerAddresses(f)).WithBurstiness(0.5))
	*samples = append(*samples, r.Samples()...)
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", p.name, r.Sent(), r.Count("answered"), r.Count("not-run"),
		r.Count("unknown"), r.Count("cut")+r.Count("no-answer"), r.Quantile(50), r.Quantile(99))
	for reason, n := range r.Reasons() {
		fmt.Fprintf(w, "  %d x %s\n", n, reason)
	}
	if p.after != nil {
		return p.after(ctx, f)
	}
	return nil
}

// verify checks the fleet and prints the result.
func verify(ctx context.Context, w io.Writer, f *fleet.Fleet, samples []load.Sample) error {
	v, err := f.Verify(ctx, samples, Idempotent)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%d requests checked; %d started over server capacity; %d invariant violations\n", v.Requests(), v.OverCapacity(), v.InvariantBreaches())
	for _, line := range v.Violations() {
		fmt.Fprintln(w, "violation:", line)
	}
	if v.Err() == nil {
		fmt.Fprintln(w, "all invariants held")
	}
	return v.Err()
}

// Idempotent reports whether requests of a sample flow may be executed more than
// once.
func Idempotent(flow string) bool { return flow != "findings" && flow != "archive" }
