// Package bypass measures the effect of letting cheap requests overtake long ones in
// the queue of a server. It simulates one server in virtual time with the admission
// controller of the node.
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
	slots          = 12
	cheapTime      = 4 * time.Millisecond
	longTime       = 60 * time.Millisecond
	longShare      = 0.2
	numRequests    = 60_000
	requestTimeout = 2 * time.Second
	warmUpDivisor  = 10 // the first tenth of the requests is not counted
)

// meanTime is the mean service time of cheap and long requests together.
const meanTime = (1-longShare)*float64(cheapTime) + longShare*float64(longTime)

// event is the arrival or the completion of a request.
type event struct {
	at         time.Time
	id         admission.ID
	completion bool
	cheap      bool
}

type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one server behind one admission controller.
type simulation struct {
	controller *admission.Controller
	rng        *rand.Rand
	events     eventHeap
	arrivals   map[admission.ID]event
	waits      map[bool]*hdrhistogram.Histogram
	refused    map[bool]int
	bypass     bool
}

// Run prints the queueing times of cheap and long requests at several loads, in
// percent of capacity, with and without the bypass, for the same arrivals.
func Run(w io.Writer, loads []float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LOAD\tSEED\tBYPASS\tCHEAP P50 ms\tCHEAP P99 ms\tLONG P50 ms\tLONG P99 ms\tCHEAP REFUSED\tLONG REFUSED")
	for _, load := range loads {
		for seed := range seeds {
			for _, bypass := range []bool{false, true} {
				s, err := simulate(load, uint64(seed+1), bypass)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%.0f%%\t%d\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\n", load, seed+1, bypass,
					s.millis(true, 50), s.millis(true, 99), s.millis(false, 50), s.millis(false, 99), s.refused[true], s.refused[false])
			}
		}
	}
	return t.Flush()
}

func (s *simulation) millis(cheap bool, quantile float64) float64 {
	return float64(s.waits[cheap].ValueAtQuantile(quantile)) / 1000
}

func simulate(load float64, seed uint64, bypass bool) (*simulation, error) {
	set, err := chart.Embedded()
	if err != nil {
		return nil, err
	}
	serverChart, err := set.Chart("server")
	if err != nil {
		return nil, err
	}
	now := time.Unix(1_700_000_000, 0)
	controller, err := admission.New(serverChart, slots, now)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		controller: controller, rng: rand.New(rand.NewPCG(seed, 3)), arrivals: map[admission.ID]event{}, bypass: bypass, refused: map[bool]int{},
		waits: map[bool]*hdrhistogram.Histogram{true: hdrhistogram.New(1, 60_000_000, 3), false: hdrhistogram.New(1, 60_000_000, 3)},
	}
	gap := meanTime / slots / (load / 100)
	for id := range numRequests {
		now = now.Add(time.Duration(s.rng.ExpFloat64() * gap))
		s.events = append(s.events, event{at: now, id: admission.ID(id + 1), cheap: s.rng.Float64() >= longShare})
	}
	heap.Init(&s.events)
	for s.events.Len() > 0 {
		s.handle(heap.Pop(&s.events).(event))
	}
	return s, nil
}

func (s *simulation) handle(e event) {
	if e.completion {
		arrival := s.arrivals[e.id]
		delete(s.arrivals, e.id)
		s.apply(e.at, s.controller.Finish(e.at, e.id, admission.ResultSuccess, serviceTime(arrival.cheap)))
		return
	}
	s.arrivals[e.id] = e
	request := admission.NewRequest(e.id, document.ClassInteractive, 0, e.at.Add(requestTimeout)).WithShort(s.bypass && e.cheap)
	if d := s.controller.Submit(e.at, request); d.Status() != admission.Queued {
		s.apply(e.at, []admission.Decision{d})
	}
	s.apply(e.at, s.controller.Tick(e.at))
}

func serviceTime(cheap bool) time.Duration {
	if cheap {
		return cheapTime
	}
	return longTime
}

func (s *simulation) apply(now time.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		e := s.arrivals[d.ID()]
		counted := e.id > numRequests/warmUpDivisor
		if d.Status() != admission.Granted {
			delete(s.arrivals, d.ID())
			if counted {
				s.refused[e.cheap]++
			}
			continue
		}
		if counted {
			_ = s.waits[e.cheap].RecordValue(max(now.Sub(e.at).Microseconds(), 1))
		}
		heap.Push(&s.events, event{at: now.Add(serviceTime(e.cheap)), id: e.id, completion: true})
	}
}
