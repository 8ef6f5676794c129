package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	storestandin "savorygap.example/lib/store/standin"
	"savorygap.example/savorygap-bench/internal/fleet"
	"savorygap.example/savorygap-bench/internal/standin"
)

const (
	region     = "mu-north"
	outBound   = 3 * time.Second
	outExtra   = 2 * time.Second
	endLimit   = 40 * time.Second
	startLimit = 40 * time.Second
)

// fault is one thing that goes wrong for a while. Its function returns what it
// saw that must not be.
type fault struct {
	name string
	run  func(ctx context.Context, f *fleet.Fleet, h *fleet.Host, d time.Duration) string
}

// hostFaults befall one host each; storeFaults the store and the operators.
func hostFaults() []fault {
	return []fault{
		{"slow server", server(standin.Faults{}.Slow(6))},
		{"failing server", server(standin.Faults{}.FailFast())},
		{"server turns cold", server(standin.Faults{}.TurnCold())},
		{"cut answers", server(standin.Faults{}.Cut())},
		{"draining server", drainServer},
		{"silent server", silence},
		{"paused node", pauseNode},
		{"killed node", killNode},
		{"restarted node", restartNode},
	}
}

func storeFaults() []fault {
	return []fault{
		{"store down", storeFault(storestandin.Faults().Down(true))},
		{"store slow", storeFault(storestandin.Faults().Slow(700 * time.Millisecond))},
		{"lost answers", storeFault(storestandin.Faults().LoseAnswers(2))},
		{"lapsed leases", storeFault(storestandin.Faults().LapseLeases())},
		{"data centre out", outAndIn},
	}
}

// inject runs one fault after another until ctx ends. The first injector has
// the hosts' faults, the second those of store and data centres, so that two
// are always at work and each host has one at a time.
func inject(ctx context.Context, w io.Writer, f *fleet.Fleet, rng *rand.Rand, index int) []string {
	faults := hostFaults()
	if index == 1 {
		faults = storeFaults()
	}
	var wrong []string
	for ctx.Err() == nil {
		one := faults[rng.IntN(len(faults))]
		h := f.Hosts()[rng.IntN(len(f.Hosts()))]
		d := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		fmt.Fprintf(w, "%s %s at %s for %s\n", time.Now().Format("15:04:05"), one.name, h.Name(), d.Round(time.Millisecond))
		if seen := one.run(ctx, f, h, d); seen != "" {
			wrong = append(wrong, one.name+" at "+h.Name()+": "+seen)
		}
	}
	return wrong
}

func server(faults standin.Faults) func(context.Context, *fleet.Fleet, *fleet.Host, time.Duration) string {
	return func(_ context.Context, _ *fleet.Fleet, h *fleet.Host, d time.Duration) string {
		h.Server().Set(faults)
		time.Sleep(d)
		h.Server().Set(standin.Faults{})
		return ""
	}
}

func drainServer(_ context.Context, _ *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	h.Announcer().Drain(true)
	seen := quietAfter(d+outBound, h)
	h.Announcer().Drain(false)
	return seen
}

func silence(_ context.Context, _ *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	h.Announcer().Silence(true)
	time.Sleep(outBound + d)
	h.Announcer().Silence(false)
	return ""
}

// quietAfter waits for the bound and then reports work that still arrives.
func quietAfter(d time.Duration, hosts ...*fleet.Host) string {
	time.Sleep(outBound)
	before := 0
	for _, h := range hosts {
		before += h.Server().Ledger().Served()
	}
	time.Sleep(d - outBound + outExtra)
	after := 0
	for _, h := range hosts {
		after += h.Server().Ledger().Served()
	}
	if after > before {
		return fmt.Sprintf("%d requests arrived after the bound", after-before)
	}
	return ""
}

func pauseNode(_ context.Context, _ *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	if err := h.Signal(syscall.SIGSTOP); err != nil {
		return err.Error()
	}
	time.Sleep(d)
	if err := h.Signal(syscall.SIGCONT); err != nil {
		return err.Error()
	}
	return ""
}

func killNode(ctx context.Context, f *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	return endNode(ctx, f, h, d, syscall.SIGKILL)
}

func restartNode(ctx context.Context, f *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	return endNode(ctx, f, h, d, syscall.SIGTERM)
}

func endNode(_ context.Context, f *fleet.Fleet, h *fleet.Host, d time.Duration, s syscall.Signal) string {
	if err := h.Signal(s); err != nil {
		return err.Error()
	}
	if err := h.AwaitEnd(endLimit); err != nil {
		return err.Error()
	}
	time.Sleep(d)
	if err := h.StartNode(); err != nil {
		return err.Error()
	}
	if err := f.AwaitReady(startLimit); err != nil {
		return err.Error()
	}
	return ""
}

func storeFault(faults storestandin.FaultSet) func(context.Context, *fleet.Fleet, *fleet.Host, time.Duration) string {
	return func(_ context.Context, f *fleet.Fleet, _ *fleet.Host, d time.Duration) string {
		f.Store().Inject(faults)
		time.Sleep(d)
		f.Store().Inject(storestandin.Faults())
		return ""
	}
}

// outAndIn takes the data centre of a host out of service and back, and reports
// work that its servers get after the bound.
func outAndIn(ctx context.Context, f *fleet.Fleet, h *fleet.Host, d time.Duration) string {
	if err := f.Move(ctx, h.DataCentre(), region, true); err != nil {
		return ""
	}
	var there []*fleet.Host
	for _, other := range f.Hosts() {
		if other.DataCentre() == h.DataCentre() {
			there = append(there, other)
		}
	}
	seen := quietAfter(outBound+d, there...)
	for range 20 {
		if err := f.Move(context.WithoutCancel(ctx), h.DataCentre(), region, false); err == nil {
			return seen
		}
		time.Sleep(shortest)
	}
	return "the data centre could not be brought back"
}
