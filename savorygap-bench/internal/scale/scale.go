// Package scale measures the cost of the control traffic of fleets of several sizes,
// and how fast they propagate configuration changes and detect a failed node.
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
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	firstSubnet           = 40
	readyTimeout          = 60 * time.Second
	joinTimeout           = 90 * time.Second
	settleTimeout         = 20 * time.Second
	detectionTimeout      = 40 * time.Second
	detectionPollInterval = 100 * time.Millisecond
	numChanges            = 3
	numDataCentres        = 8
	numObservers          = 5 // nodes that are asked for the state of a killed node
	slots                 = 12
)

// Options holds the fleet sizes to measure and how long to watch each fleet.
type Options struct {
	sizes []int
	idle  time.Duration
}

// NewOptions returns options for fleets of the given sizes, each of which is watched
// for the given time while idle.
func NewOptions(sizes []int, idle time.Duration) Options {
	return Options{sizes: sizes, idle: idle}
}

// Measurement holds the results for one fleet size. Rates are means over the nodes
// unless stated otherwise.
type Measurement struct {
	nodes         int
	joinTime      time.Duration // until every node knows the servers of all nodes
	sentRate      float64       // bytes a second
	receivedRate  float64       // bytes a second
	cpuPercent    float64       // of one core
	residentMiB   float64       // largest of all nodes
	heapMiB       float64       // largest of all nodes
	links         float64
	readRate      float64       // calls a second of the whole fleet
	writeRate     float64       // calls a second of the whole fleet
	inForceTime   time.Duration // longest time until a change was in force at every node
	inForceSpread time.Duration // longest time between the first and the last node
	detectionTime time.Duration // until the observers considered a killed node failed
	suspicions    uint64        // while no node had been killed, so all are false
}

// Run measures every size and prints a table, and the growth of each figure with the
// number of nodes.
func Run(ctx context.Context, w io.Writer, o Options) error {
	binary, err := fleet.BuildTempBinary(ctx)
	if err != nil {
		return err
	}
	defer binary.Remove()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NODES\tJOINED\tSENT B/s\tRECEIVED B/s\tCPU %\tRESIDENT MiB\tHEAP MiB\tLINKS\tSTORE READS/s\tSTORE WRITES/s\tIN FORCE\tSPREAD\tDETECTED\tFALSE SUSPICIONS")
	var rows []Measurement
	for i, n := range o.sizes {
		row, err := measure(ctx, n, firstSubnet+i, o.idle, binary.Path())
		if err != nil {
			return fmt.Errorf("measure fleet of %d nodes: %w", n, err)
		}
		rows = append(rows, row)
		fmt.Fprintf(t, "%d\t%s\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%s\t%s\t%s\t%d\n", row.nodes, row.joinTime.Round(time.Millisecond),
			row.sentRate, row.receivedRate, row.cpuPercent, row.residentMiB, row.heapMiB, row.links, row.readRate, row.writeRate,
			row.inForceTime.Round(time.Millisecond), row.inForceSpread.Round(time.Millisecond), row.detectionTime.Round(detectionPollInterval), row.suspicions)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printSlopes(w, rows)
	return nil
}

func hosts(n int) []fleet.HostPlan {
	profile := servertest.NewProfile(slots, time.Millisecond)
	out := make([]fleet.HostPlan, 0, n)
	for i := range n {
		region := fmt.Sprintf("region-%d", i%numDataCentres/3)
		out = append(out, fleet.NewHostPlan(fmt.Sprintf("dc-%d", i%numDataCentres), region, "logview", profile))
	}
	return out
}

func measure(ctx context.Context, n, subnet int, idle time.Duration, binary string) (Measurement, error) {
	started := time.Now()
	f, err := fleet.Start(ctx, fleet.NewPlan(subnet, hosts(n)).WithBinary(binary))
	if err != nil {
		return Measurement{}, err
	}
	defer f.Stop()
	row := Measurement{nodes: n}
	if err := f.AwaitReady(readyTimeout); err != nil {
		return row, err
	}
	if err := f.AwaitTargets(ctx, n, joinTimeout); err != nil {
		return row, err
	}
	row.joinTime = time.Since(started)
	if err := row.measureChanges(ctx, f); err != nil {
		return row, err
	}
	time.Sleep(idle / 4)
	if err := row.measureIdle(ctx, f, idle); err != nil {
		return row, err
	}
	return row, row.measureDetection(ctx, f)
}

// measureChanges makes a few configuration changes and records the longest time
// until every node has logged that a change is in force.
func (m *Measurement) measureChanges(ctx context.Context, f *fleet.Fleet) error {
	resources, err := demo.SampleResources()
	if err != nil {
		return err
	}
	if _, err := f.Apply(ctx, resources...); err != nil {
		return err
	}
	for i := range numChanges {
		started := time.Now()
		revision, err := f.Apply(ctx, document.DataCentreResource(document.NewDataCentre("dc-0", "region-0", i%2 == 0)))
		if err != nil {
			return err
		}
		if _, err := f.AwaitRevision(ctx, revision, settleTimeout); err != nil {
			return err
		}
		first, last, err := f.InForceTimes(revision)
		if err != nil {
			return err
		}
		m.inForceSpread = max(m.inForceSpread, last.Sub(first))
		m.inForceTime = max(m.inForceTime, last.Sub(started))
	}
	_, err = f.Apply(ctx, document.DataCentreResource(document.NewDataCentre("dc-0", "region-0", false)))
	return err
}

// totals holds sums over all nodes.
type totals struct {
	sent, received, suspicions uint64
	cpuSeconds                 float64
	links                      int
}

func (m *Measurement) readTotals(ctx context.Context, f *fleet.Fleet) (totals, error) {
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
		sum.links += d.LinkCount()
		sum.cpuSeconds += u.CPUSeconds()
		m.residentMiB = max(m.residentMiB, u.ResidentBytes()/(1<<20))
		m.heapMiB = max(m.heapMiB, float64(d.HeapBytes())/(1<<20))
	}
	return sum, nil
}

func (m *Measurement) measureIdle(ctx context.Context, f *fleet.Fleet, period time.Duration) error {
	before, err := m.readTotals(ctx, f)
	if err != nil {
		return err
	}
	started, calls := time.Now(), f.Store().CallCounts()
	time.Sleep(period)
	later := f.Store().CallCounts()
	after, err := m.readTotals(ctx, f)
	if err != nil {
		return err
	}
	seconds, nodes := time.Since(started).Seconds(), float64(m.nodes)
	m.sentRate = float64(after.sent-before.sent) / seconds / nodes
	m.receivedRate = float64(after.received-before.received) / seconds / nodes
	m.cpuPercent = 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / nodes
	m.links = float64(after.links) / nodes
	m.suspicions = after.suspicions
	for _, c := range []store.Call{store.CallGet, store.CallList, store.CallWatch} {
		m.readRate += float64(later[c]-calls[c]) / period.Seconds()
	}
	for _, c := range []store.Call{store.CallCompareAndSwap, store.CallGrant, store.CallRenew, store.CallRevoke} {
		m.writeRate += float64(later[c]-calls[c]) / period.Seconds()
	}
	return nil
}

// measureDetection kills the last node and waits until a few other nodes consider it
// failed.
func (m *Measurement) measureDetection(ctx context.Context, f *fleet.Fleet) error {
	victim := f.Hosts()[len(f.Hosts())-1]
	if err := victim.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	started := time.Now()
	for _, h := range f.Hosts()[:min(numObservers, len(f.Hosts())-1)] {
		for {
			d, err := h.Dump(ctx)
			if err != nil {
				return err
			}
			if d.MemberState(victim.Name()) == "failed" {
				break
			}
			if time.Since(started) > detectionTimeout {
				return fmt.Errorf("node %q considers killed node %q %s after %s, want failed", h.Name(), victim.Name(), d.MemberState(victim.Name()), detectionTimeout)
			}
			time.Sleep(detectionPollInterval)
		}
	}
	m.detectionTime = time.Since(started)
	return nil
}

// printSlopes prints the least-squares fit of each figure against the number of
// nodes.
func printSlopes(w io.Writer, rows []Measurement) {
	figures := []struct {
		name  string
		value func(Measurement) float64
	}{
		{"sent B/s", func(m Measurement) float64 { return m.sentRate }},
		{"received B/s", func(m Measurement) float64 { return m.receivedRate }},
		{"CPU %", func(m Measurement) float64 { return m.cpuPercent }},
		{"resident MiB", func(m Measurement) float64 { return m.residentMiB }},
		{"heap MiB", func(m Measurement) float64 { return m.heapMiB }},
		{"links", func(m Measurement) float64 { return m.links }},
		{"spread ms", func(m Measurement) float64 { return float64(m.inForceSpread.Milliseconds()) }},
	}
	if len(rows) < 2 {
		return
	}
	for _, f := range figures {
		base, slope := fit(rows, f.value)
		fmt.Fprintf(w, "%s = %.3f + %.5f x nodes\n", f.name, base, slope)
	}
}

func fit(rows []Measurement, value func(Measurement) float64) (base, slope float64) {
	n := float64(len(rows))
	var sx, sy, sxx, sxy float64
	for _, m := range rows {
		x, y := float64(m.nodes), value(m)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}
