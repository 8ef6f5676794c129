// Package load generates an open-loop load and records the outcome of each request.
//
// Requests start on a schedule that does not wait for responses. Latency is measured
// from the scheduled start, so that a stall shows in every request that it delays.
// Each request carries an id, by which its outcome is compared with what the servers
// executed.
//
// # Usage
//
//	result := load.Run(ctx, client, load.NewPlan(rate, 10*time.Second, seed, flows, targets))
//	fmt.Println(result.Latency().ValueAtQuantile(99))
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"savorygap.example/lib/caller"
	"savorygap.example/lib/server"
	"savorygap.example/savorygap-bench/internal/servertest"
)

const (
	maxLatencyMicros  = 120_000_000 // longer latencies are recorded as this
	significantDigits = 3
	sampleBuffer      = 4096
	maxInFlight       = 20_000   // requests; the schedule stalls at this number
	maxBodyBytes      = 64 << 20 // bytes
	outcomeNoAnswer   = "no-answer"
	outcomeTruncated  = "cut"
	burstInterval     = 20 * time.Millisecond
	defaultTimeout    = 5 * time.Second
)

// Flow is a kind of request and its share of the load.
type Flow struct {
	name         string
	weight       float64
	host         string
	path         string
	method       string
	workFactor   float64
	requestSize  int
	responseSize int
	timeout      time.Duration
	withKey      bool
	repeat       bool
	depth        int
}

// NewFlow returns a flow of requests to a path under the host name of a branch.
// weight is its share of the load relative to the other flows.
func NewFlow(name string, weight float64, host, method, path string) Flow {
	return Flow{name: name, weight: weight, host: host, method: method, path: path, workFactor: 1, timeout: defaultTimeout}
}

// WithWork returns the flow with the service time of its requests multiplied by
// workFactor.
func (f Flow) WithWork(workFactor float64) Flow {
	f.workFactor = workFactor
	return f
}

// WithBodies returns the flow with request and response bodies of the given sizes in
// bytes.
func (f Flow) WithBodies(requestSize, responseSize int) Flow {
	f.requestSize = requestSize
	f.responseSize = responseSize
	return f
}

// WithTimeout returns the flow with the given timeout.
func (f Flow) WithTimeout(d time.Duration) Flow {
	f.timeout = d
	return f
}

// WithKey returns the flow with an idempotency key on each request.
func (f Flow) WithKey() Flow {
	f.withKey = true
	return f
}

// WithRepeat returns the flow with an idempotency key on each request and every
// request sent again with the same key as soon as the first has ended.
func (f Flow) WithRepeat() Flow {
	f.withKey = true
	f.repeat = true
	return f
}

// WithDepth returns the flow as nested calls of the given depth.
func (f Flow) WithDepth(depth int) Flow {
	f.depth = depth
	return f
}

// Plan describes a load: the rate, the duration, the flows and the nodes to send to.
type Plan struct {
	rate       float64
	length     time.Duration
	seed       uint64
	flows      []Flow
	targets    []string
	burstiness float64
	observe    func(scheduled time.Duration, s Sample)
}

// NewPlan returns a plan of rate requests a second for the given time, spread
// evenly at random over targets, the caller addresses of the nodes.
func NewPlan(rate float64, length time.Duration, seed uint64, flows []Flow, targets []string) Plan {
	return Plan{rate: rate, length: length, seed: seed, flows: flows, targets: targets}
}

// WithBurstiness returns the plan with a rate that changes every burstInterval to
// between 1-burstiness and 1+burstiness times the mean.
func (p Plan) WithBurstiness(burstiness float64) Plan {
	p.burstiness = burstiness
	return p
}

// WithObserver returns the plan with a function that is called with every sample and
// its scheduled start.
func (p Plan) WithObserver(observe func(scheduled time.Duration, s Sample)) Plan {
	p.observe = observe
	return p
}

// Sample is a completed request.
type Sample struct {
	id        string
	key       string
	flow      string
	outcome   string
	reason    string
	status    int
	latency   time.Duration
	timeout   time.Duration
	scheduled time.Duration
}

// ID returns the request id.
func (s Sample) ID() string { return s.id }

// Key returns the idempotency key, empty when there was none.
func (s Sample) Key() string { return s.key }

// Flow returns the name of the flow.
func (s Sample) Flow() string { return s.flow }

// Outcome returns answered, not-run, unknown, cut or no-answer.
func (s Sample) Outcome() string { return s.outcome }

// Reason returns the reason that the node gave, or the error of the client.
func (s Sample) Reason() string { return s.reason }

// Status returns the HTTP status.
func (s Sample) Status() int { return s.status }

// Latency returns the time from the scheduled start to the end of the response.
func (s Sample) Latency() time.Duration { return s.latency }

// Succeeded reports whether the server's complete response arrived within the
// deadline and with a status below 400.
func (s Sample) Succeeded() bool {
	return s.outcome == "answered" && s.status < 400 && s.latency <= s.timeout
}

// Result holds the outcomes and latencies of the requests of a plan.
type Result struct {
	samples   []Sample
	latency   *hdrhistogram.Histogram
	flows     map[string]*hdrhistogram.Histogram
	counts    map[string]int
	reasons   map[string]int
	succeeded int
	length    time.Duration
}

// Samples returns all completed requests.
func (r *Result) Samples() []Sample { return r.samples }

// Latency returns the latencies of answered requests in microseconds.
func (r *Result) Latency() *hdrhistogram.Histogram { return r.latency }

// Flow returns the latencies of one flow's answered requests in microseconds.
func (r *Result) Flow(name string) *hdrhistogram.Histogram {
	if h, ok := r.flows[name]; ok {
		return h
	}
	return newHistogram()
}

// Count returns how many requests had the given outcome.
func (r *Result) Count(outcome string) int { return r.counts[outcome] }

// Reasons returns how many requests were not answered, by outcome and reason.
func (r *Result) Reasons() map[string]int { return r.reasons }

// Sent returns how many requests were sent.
func (r *Result) Sent() int { return len(r.samples) }

// Succeeded returns how many requests succeeded within their deadline.
func (r *Result) Succeeded() int { return r.succeeded }

// Goodput returns the number of requests a second that succeeded.
func (r *Result) Goodput() float64 { return float64(r.succeeded) / r.length.Seconds() }

// Quantile returns the quantile q, in percent, of the latency of answered requests.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Run sends the requests of the plan and waits until all have completed.
func Run(ctx context.Context, client *http.Client, p Plan) *Result {
	samples := make(chan Sample, sampleBuffer)
	collected := make(chan *Result, 1)
	go func() { collected <- collect(p, samples) }()
	running := make(chan struct{}, maxInFlight)
	rng := rand.New(rand.NewPCG(p.seed, 11))
	started := time.Now()
	sched := newSchedule(p, rng)
	for at := sched.next(); at < p.length && ctx.Err() == nil; at = sched.next() {
		time.Sleep(time.Until(started.Add(at)))
		flow := pickFlow(p.flows, rng)
		target := p.targets[rng.IntN(len(p.targets))]
		id := fmt.Sprintf("%d-%s", p.seed, uuid.NewString())
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			key := newKey(flow)
			samples <- send(ctx, client, target, flow, id, key, started, at)
			if flow.repeat {
				samples <- send(ctx, client, target, flow, id+"-again", key, time.Now(), 0)
			}
		}()
	}
	for range maxInFlight {
		running <- struct{}{}
	}
	close(samples)
	return <-collected
}

func newKey(f Flow) string {
	if !f.withKey {
		return ""
	}
	return uuid.Must(uuid.NewV7()).String()
}

func pickFlow(flows []Flow, rng *rand.Rand) Flow {
	total := 0.0
	for _, f := range flows {
		total += f.weight
	}
	x := rng.Float64() * total
	for _, f := range flows {
		if x < f.weight {
			return f
		}
		x -= f.weight
	}
	return flows[len(flows)-1]
}

// schedule generates the start times of requests as a Poisson process, whose rate
// changes over time if the plan has a burstiness.
type schedule struct {
	plan           Plan
	rng            *rand.Rand
	at             float64 // seconds
	rateFactor     float64
	nextRateChange float64 // seconds
}

func newSchedule(p Plan, rng *rand.Rand) *schedule {
	return &schedule{plan: p, rng: rng, rateFactor: 1}
}

func (s *schedule) next() time.Duration {
	if s.plan.burstiness > 0 && s.at >= s.nextRateChange {
		s.rateFactor = 1 + s.plan.burstiness*(2*s.rng.Float64()-1)
		s.nextRateChange = s.at + burstInterval.Seconds()
	}
	s.at += s.rng.ExpFloat64() / (s.plan.rate * s.rateFactor)
	return time.Duration(s.at * float64(time.Second))
}

func send(ctx context.Context, client *http.Client, target string, f Flow, id, key string, started time.Time, scheduled time.Duration) Sample {
	s := Sample{id: id, key: key, flow: f.name, scheduled: scheduled, timeout: f.timeout, outcome: outcomeNoAnswer}
	ctx, cancel := context.WithTimeout(ctx, f.timeout+time.Second)
	defer cancel()
	request, err := newRequest(ctx, target, f, id, key)
	if err != nil {
		s.reason = err.Error()
		return s
	}
	response, err := client.Do(request)
	if err == nil {
		s.read(response)
	} else {
		s.reason = err.Error()
	}
	s.latency = time.Since(started.Add(scheduled))
	return s
}

func newRequest(ctx context.Context, target string, f Flow, id, key string) (*http.Request, error) {
	var body io.Reader
	if f.requestSize > 0 {
		body = strings.NewReader(strings.Repeat("b", f.requestSize))
	}
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+target+f.path, body)
	if err != nil {
		return nil, err
	}
	request.Host = f.host
	request.Header.Set(server.HeaderRequestID, id)
	request.Header.Set(server.HeaderTimeout, strconv.FormatInt(f.timeout.Milliseconds(), 10))
	request.Header.Set(servertest.HeaderWork, strconv.FormatFloat(f.workFactor, 'f', 3, 64))
	if f.responseSize > 0 {
		request.Header.Set(servertest.HeaderSize, strconv.Itoa(f.responseSize))
	}
	if f.depth > 0 {
		request.Header.Set(server.HeaderDepth, strconv.Itoa(f.depth))
	}
	if key != "" {
		request.Header.Set(server.HeaderIdempotencyKey, key)
	}
	return request, nil
}

// read reads the complete response. A response that ends early has the outcome cut.
func (s *Sample) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	s.outcome = response.Header.Get(caller.HeaderOutcome)
	s.reason = response.Header.Get(caller.HeaderReason)
	if s.outcome == "" {
		s.outcome = "answered"
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		s.outcome = outcomeTruncated
		s.reason = err.Error()
	}
}

func collect(p Plan, samples <-chan Sample) *Result {
	r := &Result{
		latency: newHistogram(), flows: map[string]*hdrhistogram.Histogram{}, counts: map[string]int{},
		reasons: map[string]int{}, length: p.length,
	}
	for s := range samples {
		r.add(s)
		if p.observe != nil {
			p.observe(s.scheduled, s)
		}
	}
	return r
}

func (r *Result) add(s Sample) {
	r.samples = append(r.samples, s)
	r.counts[s.outcome]++
	if s.Succeeded() {
		r.succeeded++
	}
	if s.outcome != "answered" {
		r.reasons[s.outcome+": "+s.reason]++
		return
	}
	micros := min(max(s.latency.Microseconds(), 1), maxLatencyMicros)
	_ = r.latency.RecordValue(micros)
	flow, ok := r.flows[s.flow]
	if !ok {
		flow = newHistogram()
		r.flows[s.flow] = flow
	}
	_ = flow.RecordValue(micros)
}
