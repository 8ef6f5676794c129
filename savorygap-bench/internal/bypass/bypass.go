// Package bypass measures what it brings that cheap requests pass longer ones in
// the queue of one server, on the program's own gate with a clock of its own.
package bypass

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savorygap.example/lib/admission"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
)

const (
	slots      = 12
	cheapTime  = 4 * time.Millisecond
	longTime   = 60 * time.Millisecond
	longShare  = 0.2
	requests   = 60_000
	patience   = 2 * time.Second
	warmUpPart = 10 // one tenth of the requests is not counted
)

// meanTime is the mean service time of the mix.
const meanTime = (1-longShare)*float64(cheapTime) + longShare*float64(longTime)

// event is an arrival or the end of a request.
type event struct {
	at    time.Time
	id    admission.ID
	ends  bool
	cheap bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one server behind one gate.
type world struct {
	gate    *admission.Controller
	rng     *rand.Rand
	queue   events
	arrived map[admission.ID]event
	waits   map[bool]*hdrhistogram.Histogram
	refused map[bool]int
	mark    bool
}

// Run prints the waits of cheap and long requests at several loads, with the
// bypass and without, on the same arrivals.
func Run(w io.Writer, loads []float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LOAD\tSEED\tBYPASS\tCHEAP P50 ms\tCHEAP P99 ms\tLONG P50 ms\tLONG P99 ms\tCHEAP REFUSED\tLONG REFUSED")
	for _, load := range loads {
		for seed := range seeds {
			for _, mark := range []bool{false, true} {
				one, err := simulate(load, uint64(seed+1), mark)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%.0f%%\t%d\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\n", load, seed+1, mark,
					one.millis(true, 50), one.millis(true, 99), one.millis(false, 50), one.millis(false, 99), one.refused[true], one.refused[false])
			}
		}
	}
	return t.Flush()
}

func (w *world) millis(cheap bool, quantile float64) float64 {
	return float64(w.waits[cheap].ValueAtQuantile(quantile)) / 1000
}

func simulate(load float64, seed uint64, mark bool) (*world, error) {
	set, err := chart.Embedded()
	if err != nil {
		return nil, err
	}
	serverChart, err := set.Chart("server")
	if err != nil {
		return nil, err
	}
	now := time.Unix(1_700_000_000, 0)
	gate, err := admission.New(serverChart, slots, now)
	if err != nil {
		return nil, err
	}
	w := &world{
		gate: gate, rng: rand.New(rand.NewPCG(seed, 3)), arrived: map[admission.ID]event{}, mark: mark, refused: map[bool]int{},
		waits: map[bool]*hdrhistogram.Histogram{true: hdrhistogram.New(1, 60_000_000, 3), false: hdrhistogram.New(1, 60_000_000, 3)},
	}
	gap := meanTime / slots / (load / 100)
	for id := range requests {
		now = now.Add(time.Duration(w.rng.ExpFloat64() * gap))
		w.queue = append(w.queue, event{at: now, id: admission.ID(id + 1), cheap: w.rng.Float64() >= longShare})
	}
	heap.Init(&w.queue)
	for w.queue.Len() > 0 {
		w.step(heap.Pop(&w.queue).(event))
	}
	return w, nil
}

func (w *world) step(e event) {
	if e.ends {
		began := w.arrived[e.id]
		delete(w.arrived, e.id)
		w.take(e.at, w.gate.Finish(e.at, e.id, admission.ResultSuccess, serviceTime(began.cheap)))
		return
	}
	w.arrived[e.id] = e
	ticket := admission.NewRequest(e.id, document.ClassInteractive, 0, e.at.Add(patience)).WithShort(w.mark && e.cheap)
	if d := w.gate.Submit(e.at, ticket); d.Status() != admission.Queued {
		w.take(e.at, []admission.Decision{d})
	}
	w.take(e.at, w.gate.Tick(e.at))
}

func serviceTime(cheap bool) time.Duration {
	if cheap {
		return cheapTime
	}
	return longTime
}

func (w *world) take(now time.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		e := w.arrived[d.ID()]
		counted := e.id > requests/warmUpPart
		if d.Status() != admission.Granted {
			delete(w.arrived, d.ID())
			if counted {
				w.refused[e.cheap]++
			}
			continue
		}
		if counted {
			_ = w.waits[e.cheap].RecordValue(max(now.Sub(e.at).Microseconds(), 1))
		}
		heap.Push(&w.queue, event{at: now.Add(serviceTime(e.cheap)), id: e.id, ends: true})
	}
}
