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

// phaseLength is how long the load of a phase goes on at least.
const phaseLength = 3 * time.Second

// phase is a stretch of a tour, with what happens in it to one host.
type phase struct {
	name string
	work func(ctx context.Context, s *cluster.Cluster, n *notes, h *cluster.Host, d time.Duration)
}

func phases() []phase {
	return []phase{
		{name: "steady"},
		{name: "configuration changes", work: configure},
		{name: "data centre is evacuated", work: evacuate},
		{name: "node restarts", work: restartNode},
		{name: "server is replaced", work: replaceServer},
		{name: "store is down", work: storeDown},
		{name: "node is killed", work: killNode},
		{name: "steady again"},
	}
}

// RunPhases shows the whole path on the platform's terms: it plays one thing after
// another on a site of six hosts, prints a table, and checks every request as a
// soak does. It returns *FoundError when a promise was broken.
func RunPhases(ctx context.Context, w io.Writer) error {
	r, stop, err := start(ctx, io.Discard, NewOptions(0, 1))
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(w, "%d nodes run with the configuration in force\n", len(r.site.Hosts()))
	sending, quit := context.WithCancel(ctx)
	defer quit()
	r.send(ctx, sending)
	time.Sleep(cluster.ColdDuration)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "PHASE\tSENT\tANSWERED\tNOT RUN\tOTHER\tP50\tP99")
	for i, p := range phases() {
		from := time.Now()
		if p.work != nil {
			h := r.site.Hosts()[i%len(r.site.Hosts())]
			r.one(ctx, work{name: p.name, run: p.work}, h, phaseLength)
		}
		time.Sleep(phaseLength - time.Since(from))
		printPhase(t, p.name, r.callers.samples(ctx), from)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.out = w
	r.recover(ctx)
	quit()
	time.Sleep(patience)
	return r.report(ctx)
}

func printPhase(w io.Writer, name string, samples []sample, from time.Time) {
	var took []time.Duration
	sent, notRun, other := 0, 0, 0
	for _, s := range samples {
		switch {
		case s.sent.Before(from) || s.left || s.flow.name == "marker":
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
