// Package load sends requests in an open loop and accounts for each of them.
//
// Requests start on a schedule that does not wait for answers, and latency is
// counted from the scheduled start, so that a stall is seen by every request
// that it delays. Each request carries an id, by which its outcome is later
// compared with what the servers ran.
//
// # Usage
//
//	result := load.Run(ctx, client, load.NewPlan(rate, 10*time.Second, seed, flows))
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
	"savorygap.example/savorygap-bench/internal/standin"
)

const (
	maxMicros       = 120_000_000
	significant     = 3
	resultBuffer    = 4096
	maxOutstanding  = 20_000
	keepBodyLimit   = 64 << 20
	outcomeUnheard  = "no-answer"
	outcomeCut      = "cut"
	burstEvery      = 20 * time.Millisecond
	defaultDeadline = 5 * time.Second
)

// Flow is one kind of request with its share of the load.
type Flow struct {
	name    string
	weight  float64
	host    string
	path    string
	method  string
	work    float64
	body    int
	answer  int
	timeout time.Duration
	keyed   bool
	repeat  bool
	depth   int
}

// NewFlow returns a flow of requests to a path of a branch's host.
func NewFlow(name string, weight float64, host, method, path string) Flow {
	return Flow{name: name, weight: weight, host: host, method: method, path: path, work: 1, timeout: defaultDeadline}
}

// WithWork returns the flow with the service time multiplied.
func (f Flow) WithWork(work float64) Flow {
	f.work = work
	return f
}

// WithBodies returns the flow with bodies of the given sizes in bytes.
func (f Flow) WithBodies(request, answer int) Flow {
	f.body = request
	f.answer = answer
	return f
}

// WithTimeout returns the flow with a deadline.
func (f Flow) WithTimeout(d time.Duration) Flow {
	f.timeout = d
	return f
}

// Keyed returns the flow with an idempotency key on each request.
func (f Flow) Keyed() Flow {
	f.keyed = true
	return f
}

// Repeated returns the flow with every request sent a second time under the
// same key, as soon as the first has ended.
func (f Flow) Repeated() Flow {
	f.keyed = true
	f.repeat = true
	return f
}

// Nested returns the flow as calls that are already some levels deep.
func (f Flow) Nested(depth int) Flow {
	f.depth = depth
	return f
}

// Plan is what to send.
type Plan struct {
	rate    float64
	length  time.Duration
	seed    uint64
	flows   []Flow
	targets []string
	bursty  float64
	marked  func(at time.Duration, sample Sample)
}

// NewPlan returns a plan of rate requests a second for the given time, spread
// over the callers' addresses of the nodes.
func NewPlan(rate float64, length time.Duration, seed uint64, flows []Flow, targets []string) Plan {
	return Plan{rate: rate, length: length, seed: seed, flows: flows, targets: targets}
}

// Bursty returns the plan with the rate shifting every few milliseconds
// between 1-b and 1+b times the mean.
func (p Plan) Bursty(b float64) Plan {
	p.bursty = b
	return p
}

// Observed returns the plan with a function that sees every sample.
func (p Plan) Observed(f func(at time.Duration, s Sample)) Plan {
	p.marked = f
	return p
}

// Sample is one request that ended.
type Sample struct {
	id       string
	key      string
	flow     string
	outcome  string
	reason   string
	status   int
	latency  time.Duration
	deadline time.Duration
	at       time.Duration
}

// ID returns the request id.
func (s Sample) ID() string { return s.id }

// Key returns the idempotency key, empty when there was none.
func (s Sample) Key() string { return s.key }

// Flow returns the name of the flow.
func (s Sample) Flow() string { return s.flow }

// Outcome returns answered, not-run, unknown, cut or no-answer.
func (s Sample) Outcome() string { return s.outcome }

// Reason returns the node's reason.
func (s Sample) Reason() string { return s.reason }

// Status returns the HTTP status.
func (s Sample) Status() int { return s.status }

// Latency returns the time from the scheduled start to the end.
func (s Sample) Latency() time.Duration { return s.latency }

// Good reports whether the server's answer arrived whole, in time and with
// success.
func (s Sample) Good() bool {
	return s.outcome == "answered" && s.status < 400 && s.latency <= s.deadline
}

// Result is what came of a plan.
type Result struct {
	samples []Sample
	latency *hdrhistogram.Histogram
	flows   map[string]*hdrhistogram.Histogram
	counts  map[string]int
	reasons map[string]int
	good    int
	length  time.Duration
}

// Samples returns every request.
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

// Count returns how many requests had an outcome.
func (r *Result) Count(outcome string) int { return r.counts[outcome] }

// Reasons returns how many requests were not answered, by reason.
func (r *Result) Reasons() map[string]int { return r.reasons }

// Sent returns how many requests were sent.
func (r *Result) Sent() int { return len(r.samples) }

// Good returns how many requests were answered with success in time.
func (r *Result) Good() int { return r.good }

// Goodput returns good answers a second.
func (r *Result) Goodput() float64 { return float64(r.good) / r.length.Seconds() }

// Quantile returns a quantile of the latency of answered requests; q is in
// percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significant) }

// Run sends the plan's requests and waits for all of them.
func Run(ctx context.Context, client *http.Client, p Plan) *Result {
	samples := make(chan Sample, resultBuffer)
	collected := make(chan *Result, 1)
	go func() { collected <- collect(p, samples) }()
	running := make(chan struct{}, maxOutstanding)
	rng := rand.New(rand.NewPCG(p.seed, 11))
	started := time.Now()
	pace := newPace(p, rng)
	for at := pace.next(); at < p.length && ctx.Err() == nil; at = pace.next() {
		time.Sleep(time.Until(started.Add(at)))
		flow := pick(p.flows, rng)
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
	for range maxOutstanding {
		running <- struct{}{}
	}
	close(samples)
	return <-collected
}

func newKey(f Flow) string {
	if !f.keyed {
		return ""
	}
	return uuid.Must(uuid.NewV7()).String()
}

func pick(flows []Flow, rng *rand.Rand) Flow {
	total := 0.0
	for _, f := range flows {
		total += f.weight
	}
	at := rng.Float64() * total
	for _, f := range flows {
		if at < f.weight {
			return f
		}
		at -= f.weight
	}
	return flows[len(flows)-1]
}

// pace yields the scheduled starts: a Poisson process whose rate shifts when
// the plan is bursty.
type pace struct {
	plan   Plan
	rng    *rand.Rand
	at     float64
	factor float64
	until  float64
}

func newPace(p Plan, rng *rand.Rand) *pace { return &pace{plan: p, rng: rng, factor: 1} }

func (p *pace) next() time.Duration {
	if p.plan.bursty > 0 && p.at >= p.until {
		p.factor = 1 + p.plan.bursty*(2*p.rng.Float64()-1)
		p.until = p.at + burstEvery.Seconds()
	}
	p.at += p.rng.ExpFloat64() / (p.plan.rate * p.factor)
	return time.Duration(p.at * float64(time.Second))
}

func send(ctx context.Context, client *http.Client, target string, f Flow, id, key string, started time.Time, at time.Duration) Sample {
	s := Sample{id: id, key: key, flow: f.name, at: at, deadline: f.timeout, outcome: outcomeUnheard}
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
	s.latency = time.Since(started.Add(at))
	return s
}

func newRequest(ctx context.Context, target string, f Flow, id, key string) (*http.Request, error) {
	var body io.Reader
	if f.body > 0 {
		body = strings.NewReader(strings.Repeat("b", f.body))
	}
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+target+f.path, body)
	if err != nil {
		return nil, err
	}
	request.Host = f.host
	request.Header.Set(server.HeaderRequestID, id)
	request.Header.Set(server.HeaderTimeout, strconv.FormatInt(f.timeout.Milliseconds(), 10))
	request.Header.Set(standin.HeaderWork, strconv.FormatFloat(f.work, 'f', 3, 64))
	if f.answer > 0 {
		request.Header.Set(standin.HeaderSize, strconv.Itoa(f.answer))
	}
	if f.depth > 0 {
		request.Header.Set(server.HeaderDepth, strconv.Itoa(f.depth))
	}
	if key != "" {
		request.Header.Set(server.HeaderIdempotencyKey, key)
	}
	return request, nil
}

// read takes the whole answer; one that breaks off is cut.
func (s *Sample) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	s.outcome = response.Header.Get(caller.HeaderOutcome)
	s.reason = response.Header.Get(caller.HeaderReason)
	if s.outcome == "" {
		s.outcome = "answered"
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, keepBodyLimit)); err != nil {
		s.outcome = outcomeCut
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
		if p.marked != nil {
			p.marked(s.at, s)
		}
	}
	return r
}

func (r *Result) add(s Sample) {
	r.samples = append(r.samples, s)
	r.counts[s.outcome]++
	if s.Good() {
		r.good++
	}
	if s.outcome != "answered" {
		r.reasons[s.outcome+": "+s.reason]++
		return
	}
	micros := min(max(s.latency.Microseconds(), 1), maxMicros)
	_ = r.latency.RecordValue(micros)
	flow, ok := r.flows[s.flow]
	if !ok {
		flow = newHistogram()
		r.flows[s.flow] = flow
	}
	_ = flow.RecordValue(micros)
}
