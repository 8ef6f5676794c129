// Package sizes measures the memory and CPU time that the state of a node takes at
// fleet sizes too large to run on one machine. It fills the data structures of the
// node directly.
package sizes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/load"
	"savorygap.example/lib/member"
	"savorygap.example/lib/wire"
)

const (
	nodesPerService = 6 // 5,100 nodes over 900 services, rounded up
	numDataCentres  = 8
	repetitions     = 20
	numPicks        = 20_000
)

// Run prints memory, encoded sizes and CPU time for each number of nodes.
func Run(w io.Writer, nodes []int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NODES\tMEMBERS KiB\tTARGETS KiB\tRECORD B\tMERGE us\tNEIGHBOURS ms\tPUBLISH ms\tPICK us\tDOCUMENT KiB\tCOMPRESSED KiB\tDELTA B\tCOMPILE ms\tROUTES KiB")
	for _, n := range nodes {
		if err := printRow(t, n); err != nil {
			return err
		}
	}
	return t.Flush()
}

func printRow(w io.Writer, n int) error {
	members, memberBytes, mergeTime, err := buildMemberTable(n)
	if err != nil {
		return err
	}
	record, err := gossip.Encode(gossip.RecordsMessage([]member.Record{recordOf(1)}))
	if err != nil {
		return err
	}
	neighbours := meanTime(repetitions, func() {
		members.Neighbours()
		members.RendezvousTop("watch", "dc-0", 2)
		members.RendezvousTop("contact", "dc-0", 3)
	})
	targetBytes, pick, replace := measureTargets(n)
	publish := meanTime(repetitions, func() { members.Usable() }) + replace
	d, err := measureDocument(n)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.2f\t%d\n", n, memberBytes>>10, targetBytes>>10, len(record),
		micros(mergeTime)/float64(n), micros(neighbours)/1000, micros(publish)/1000, micros(pick), d.plain>>10, d.compressed>>10, d.delta, micros(d.compile)/1000, d.routes>>10)
	runtime.KeepAlive(members)
	return nil
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func meanTime(times int, run func()) time.Duration {
	started := time.Now()
	for range times {
		run()
	}
	return time.Since(started) / time.Duration(times)
}

// liveHeap returns the live heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func recordOf(i int) member.Record {
	name := fmt.Sprintf("host-%04d.dc-%d", i, i%numDataCentres)
	address := fmt.Sprintf("10.%d.%d.%d", i%numDataCentres, i/250, i%250)
	server := member.NewServer(fmt.Sprintf("service-%03d", i/nodesPerService), address+":8000", 12, time.Unix(1_700_000_000, 0))
	return member.NewRecord(name, 1_700_000_000_000_000_000+uint64(i), address+":7001", address+":7002", fmt.Sprintf("dc-%d", i%numDataCentres), "region-1").
		WithServers([]member.Server{server})
}

func buildMemberTable(n int) (*member.Table, uint64, time.Duration, error) {
	set, err := chart.Embedded()
	if err != nil {
		return nil, 0, 0, err
	}
	memberChart, err := set.Chart("member")
	if err != nil {
		return nil, 0, 0, err
	}
	before := liveHeap()
	now := time.Unix(1_700_000_000, 0)
	members, err := member.NewTable(memberChart, recordOf(0), now)
	if err != nil {
		return nil, 0, 0, err
	}
	started := time.Now()
	for i := 1; i < n; i++ {
		members.Merge(now, recordOf(i))
	}
	took := time.Since(started)
	return members, liveHeap() - before, took, nil
}

func measureTargets(n int) (uint64, time.Duration, time.Duration) {
	before := liveHeap()
	here := balance.NewLocality("host", "dc-0", "region-1")
	balancer := balance.NewBalancer(balance.Adaptive, rand.New(rand.NewPCG(1, 1)), here)
	targets := make([]balance.Target, 0, n)
	for i := range n {
		r := recordOf(i)
		s := r.Servers()[0]
		locality := balance.NewLocality(r.Name(), r.DataCentre(), r.Region())
		targets = append(targets, balance.NewTarget(balance.NewTargetID(r.Name(), s.Address()), s.Service(), r.CallAddress(), locality, s.Slots(), s.AnnouncedAt()))
	}
	balancer.SetTargets(targets)
	used := liveHeap() - before
	now := time.Now()
	replace := meanTime(repetitions, func() { balancer.SetTargets(targets) })
	eligible := func(balance.Target) bool { return true }
	pick := meanTime(numPicks, func() {
		if t, ok := balancer.Pick(now, "service-000", eligible, nil); ok {
			balancer.RecordResult(now, t.ID(), balance.Answered, load.NewReport(12, 3, 0, time.Millisecond), true)
		}
	})
	runtime.KeepAlive(targets)
	return used, pick, replace
}

// documentCosts holds the sizes of a configuration and the cost of compiling it.
type documentCosts struct {
	plain      int
	compressed int
	delta      int
	compile    time.Duration
	routes     uint64
}

// measureDocument builds a configuration with one service for every nodesPerService
// nodes and two rules for each service.
func measureDocument(n int) (documentCosts, error) {
	var costs documentCosts
	d, err := buildDocument((n + nodesPerService - 1) / nodesPerService)
	if err != nil {
		return costs, err
	}
	value, err := wire.EncodeDocument(d)
	if err != nil {
		return costs, err
	}
	costs.compressed = len(value)
	for _, r := range d.Resources() {
		raw, err := wire.EncodeResource(r)
		if err != nil {
			return costs, err
		}
		costs.plain += len(raw)
	}
	next, err := d.Apply(document.NewChange("0190a0b0-0000-7000-8000-000000000000", "an operator", time.Unix(1, 0), []document.Resource{
		document.ServiceResource(document.NewService("service-000", "branch", "/service-000-moved/")),
	}, nil))
	if err != nil {
		return costs, err
	}
	delta, err := gossip.Encode(gossip.DeltaMessage(next.DeltaFrom(d)))
	if err != nil {
		return costs, err
	}
	costs.delta = len(delta)
	before := liveHeap()
	routes := document.Compile(d)
	costs.routes = liveHeap() - before
	costs.compile = meanTime(repetitions, func() { document.Compile(d) })
	runtime.KeepAlive(routes)
	return costs, nil
}

func buildDocument(services int) (*document.Document, error) {
	var rules []document.Rule
	var puts []document.Resource
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		for _, kind := range []string{"reads", "writes"} {
			rule, err := document.NewRule(name+"-"+kind, map[document.Field]string{
				document.FieldService: name, document.FieldMethods: "GET,POST", document.FieldClass: "interactive",
				document.FieldTimeout: "2500ms", document.FieldRetries: "2",
			})
			if err != nil {
				return nil, err
			}
			rules = append(rules, rule)
		}
		puts = append(puts, document.ServiceResource(document.NewService(name, "branch", "/"+name+"/")))
	}
	puts = append(puts, document.BranchResource(document.NewBranch("branch", []string{"branch.example"}, rules)))
	return document.Empty().Apply(document.NewChange("op", "an operator", time.Unix(1, 0), puts, nil))
}
