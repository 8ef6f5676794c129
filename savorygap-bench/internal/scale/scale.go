// Package scale measures what the control of a fleet costs at several sizes,
// and how fast changes and failures spread.
package scale

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"savorygap.example/lib/document"
	"savorygap.example/lib/store"
	"savorygap.example/savorygap-bench/internal/demo"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/standin"
)

const (
	subnet       = 40
	readyLimit   = 60 * time.Second
	joinLimit    = 90 * time.Second
	settleLimit  = 20 * time.Second
	detectLimit  = 40 * time.Second
	samplePeriod = 100 * time.Millisecond
	changes      = 3
	dataCentres  = 8
	watchers     = 5 // nodes asked about a killed one
	slots        = 12
)

// Options say what to measure.
type Options struct {
	sizes []int
	idle  time.Duration
}

// NewOptions returns options for fleets of the given sizes, each watched while
// idle for a time.
func NewOptions(sizes []int, idle time.Duration) Options {
	return Options{sizes: sizes, idle: idle}
}

// Row is what one size gave; rates are means over the nodes.
type Row struct {
	nodes      int
	join       time.Duration
	sent       float64 // bytes a second
	received   float64 // bytes a second
	processor  float64 // percent of a core
	resident   float64 // MiB, largest
	heap       float64 // MiB, largest
	links      float64
	reads      float64 // calls a second of the whole fleet
	writes     float64 // calls a second of the whole fleet
	inForce    time.Duration
	spread     time.Duration
	detected   time.Duration
	suspicions uint64
}

// Run measures every size, prints a table and the slope of each figure over
// the number of nodes.
func Run(ctx context.Context, w io.Writer, o Options) error {
	binary, err := fleet.TempBinary(ctx)
	if err != nil {
		return err
	}
	defer binary.Remove()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NODES\tJOINED\tSENT B/s\tRECEIVED B/s\tCPU %\tRESIDENT MiB\tHEAP MiB\tLINKS\tSTORE READS/s\tSTORE WRITES/s\tIN FORCE\tSPREAD\tDETECTED\tFALSE SUSPICIONS")
	var rows []Row
	for i, n := range o.sizes {
		row, err := measure(ctx, n, subnet+i, o.idle, binary.Path())
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		rows = append(rows, row)
		fmt.Fprintf(t, "%d\t%s\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%s\t%s\t%s\t%d\n", row.nodes, row.join.Round(time.Millisecond),
			row.sent, row.received, row.processor, row.resident, row.heap, row.links, row.reads, row.writes,
			row.inForce.Round(time.Millisecond), row.spread.Round(time.Millisecond), row.detected.Round(samplePeriod), row.suspicions)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printSlopes(w, rows)
	return nil
}

func plans(n int) []fleet.HostPlan {
	shape := standin.NewShape(slots, time.Millisecond)
	out := make([]fleet.HostPlan, 0, n)
	for i := range n {
		region := fmt.Sprintf("region-%d", i%dataCentres/3)
		out = append(out, fleet.NewHostPlan(fmt.Sprintf("dc-%d", i%dataCentres), region, "logview", shape))
	}
	return out
}

func measure(ctx context.Context, n, net int, idle time.Duration, binary string) (Row, error) {
	started := time.Now()
	f, err := fleet.Start(ctx, fleet.NewPlan(net, plans(n)).WithBinary(binary))
	if err != nil {
		return Row{}, err
	}
	defer f.Stop()
	row := Row{nodes: n}
	if err := f.AwaitReady(readyLimit); err != nil {
		return row, err
	}
	if err := f.AwaitTargets(ctx, n, joinLimit); err != nil {
		return row, err
	}
	row.join = time.Since(started)
	if err := row.configure(ctx, f); err != nil {
		return row, err
	}
	time.Sleep(idle / 4)
	if err := row.idle(ctx, f, idle); err != nil {
		return row, err
	}
	return row, row.kill(ctx, f)
}

// configure makes a few changes and takes the longest time until every node
// logged that one is in force.
func (r *Row) configure(ctx context.Context, f *fleet.Fleet) error {
	resources, err := demo.Board()
	if err != nil {
		return err
	}
	if _, err := f.Apply(ctx, resources...); err != nil {
		return err
	}
	for i := range changes {
		started := time.Now()
		revision, err := f.Apply(ctx, document.DataCentreResource(document.NewDataCentre("dc-0", "region-0", i%2 == 0)))
		if err != nil {
			return err
		}
		if _, err := f.AwaitRevision(ctx, revision, settleLimit); err != nil {
			return err
		}
		first, last, err := f.InForce(revision)
		if err != nil {
			return err
		}
		r.spread = max(r.spread, last.Sub(first))
		r.inForce = max(r.inForce, last.Sub(started))
	}
	_, err = f.Apply(ctx, document.DataCentreResource(document.NewDataCentre("dc-0", "region-0", false)))
	return err
}

// totals are sums over the nodes.
type totals struct {
	sent, received, suspicions uint64
	processor                  float64
	links                      int
}

func (r *Row) sum(ctx context.Context, f *fleet.Fleet) (totals, error) {
	var sum totals
	for _, h := range f.Hosts() {
		d, err := h.Dump(ctx)
		if err != nil {
			return sum, err
		}
		u, err := h.Usage(ctx)
		if err != nil {
			return sum, err
		}
		sent, received := d.ControlBytes()
		sum.sent += sent
		sum.received += received
		sum.suspicions += d.Suspicions()
		sum.links += d.Links()
		sum.processor += u.Processor()
		r.resident = max(r.resident, u.Resident()/(1<<20))
		r.heap = max(r.heap, float64(d.HeapBytes())/(1<<20))
	}
	return sum, nil
}

func (r *Row) idle(ctx context.Context, f *fleet.Fleet, period time.Duration) error {
	before, err := r.sum(ctx, f)
	if err != nil {
		return err
	}
	started, calls := time.Now(), f.Store().CallCounts()
	time.Sleep(period)
	later := f.Store().CallCounts()
	after, err := r.sum(ctx, f)
	if err != nil {
		return err
	}
	seconds, nodes := time.Since(started).Seconds(), float64(r.nodes)
	r.sent = float64(after.sent-before.sent) / seconds / nodes
	r.received = float64(after.received-before.received) / seconds / nodes
	r.processor = 100 * (after.processor - before.processor) / seconds / nodes
	r.links = float64(after.links) / nodes
	r.suspicions = after.suspicions
	for _, c := range []store.Call{store.CallGet, store.CallList, store.CallWatch} {
		r.reads += float64(later[c]-calls[c]) / period.Seconds()
	}
	for _, c := range []store.Call{store.CallCompareAndSwap, store.CallGrant, store.CallRenew, store.CallRevoke} {
		r.writes += float64(later[c]-calls[c]) / period.Seconds()
	}
	return nil
}

// kill kills the last node and waits until a few others hold it for failed.
func (r *Row) kill(ctx context.Context, f *fleet.Fleet) error {
	victim := f.Hosts()[len(f.Hosts())-1]
	if err := victim.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	started := time.Now()
	for _, h := range f.Hosts()[:min(watchers, len(f.Hosts())-1)] {
		for {
			d, err := h.Dump(ctx)
			if err != nil {
				return err
			}
			if d.MemberState(victim.Name()) == "failed" {
				break
			}
			if time.Since(started) > detectLimit {
				return fmt.Errorf("node %q still holds %q for %s", h.Name(), victim.Name(), d.MemberState(victim.Name()))
			}
			time.Sleep(samplePeriod)
		}
	}
	r.detected = time.Since(started)
	return nil
}

// printSlopes prints the least-squares line of each figure over the nodes.
func printSlopes(w io.Writer, rows []Row) {
	figures := []struct {
		name  string
		value func(Row) float64
	}{
		{"sent B/s", func(r Row) float64 { return r.sent }},
		{"received B/s", func(r Row) float64 { return r.received }},
		{"CPU %", func(r Row) float64 { return r.processor }},
		{"resident MiB", func(r Row) float64 { return r.resident }},
		{"heap MiB", func(r Row) float64 { return r.heap }},
		{"links", func(r Row) float64 { return r.links }},
		{"spread ms", func(r Row) float64 { return float64(r.spread.Milliseconds()) }},
	}
	if len(rows) < 2 {
		return
	}
	for _, f := range figures {
		base, slope := fit(rows, f.value)
		fmt.Fprintf(w, "%s = %.3f + %.5f x nodes\n", f.name, base, slope)
	}
}

func fit(rows []Row, value func(Row) float64) (base, slope float64) {
	n := float64(len(rows))
	var sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.nodes), value(r)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}
