package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

// phaseLength is the minimum duration of a phase.
const phaseLength = 3 * time.Second

// phase is a period of load, during which an operation may be applied to one host.
type phase struct {
	name      string
	operation func(ctx context.Context, c *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration)
}

func phases() []phase {
	return []phase{
		{name: "steady"},
		{name: "configuration changes", operation: configure},
		{name: "data centre is evacuated", operation: evacuate},
		{name: "node restarts", operation: restartNode},
		{name: "server is replaced", operation: replaceServer},
		{name: "store is unavailable", operation: makeStoreUnavailable},
		{name: "node is killed", operation: killNode},
		{name: "steady again"},
	}
}

// RunPhases carries out one operation after another on a cluster of six hosts,
// prints a table of what the callers saw in each phase and checks every request as
// a soak does. It returns *ViolationError when a check failed.
func RunPhases(ctx context.Context, w io.Writer) error {
	r, stop, err := start(ctx, io.Discard, NewOptions(0, 1), nil)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(w, "%d nodes run with the configuration in force\n", len(r.cluster.Hosts()))
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	r.startLoad(ctx, sending)
	time.Sleep(cluster.ColdDuration)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "PHASE\tSENT\tANSWERED\tNOT RUN\tOTHER\tP50\tP99")
	for i, p := range phases() {
		from := time.Now()
		if p.operation != nil {
			h := r.cluster.Hosts()[i%len(r.cluster.Hosts())]
			r.perform(ctx, operation{name: p.name, run: p.operation}, h, phaseLength)
		}
		time.Sleep(phaseLength - time.Since(from))
		printPhase(t, p.name, r.callers.samples(ctx), from)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.out = w
	r.checkRecovery(ctx)
	stopSending()
	time.Sleep(callerTimeout)
	return r.report(ctx)
}

func printPhase(w io.Writer, name string, samples []sample, from time.Time) {
	var took []time.Duration
	sent, notRun, other := 0, 0, 0
	for _, s := range samples {
		switch {
		case s.sent.Before(from) || s.cancelled || !s.credential.accepted:
			continue
		case s.status == 200:
			took = append(took, s.ended.Sub(s.sent))
		case s.notRun():
			notRun++
		default:
			other++
		}
		sent++
	}
	slices.Sort(took)
	quantile := func(q float64) time.Duration {
		if len(took) == 0 {
			return 0
		}
		return took[int(q*float64(len(took)-1))].Round(time.Millisecond)
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", name, sent, len(took), notRun, other, quantile(0.5), quantile(0.99))
}
