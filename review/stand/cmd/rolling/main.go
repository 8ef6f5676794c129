// Command rolling plays clients whose requests take seconds, while the machines are
// stopped and started in turn, and checks the rule LOST.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savorygap.example/review/stand"
)

const (
	virtualHost = "board.example"
	uri         = "/findings/report"
	warmUp      = 6 * time.Second
	grace       = 6 * time.Second
	graceSlack  = time.Second            // until when after GraceS the rule counts
	lossSlack   = 200 * time.Millisecond // LossSlackS
	lastSixth   = grace - grace/6        // from when on a run may be cut
	lateSend    = 3 * time.Second        // a request sent later than this after SIGTERM has no such excuse
	probeEvery  = time.Second            // of the readiness probe
	requestSize = 2 << 10                // bytes
	roundOff    = 50 * time.Millisecond  // between the clocks of this program's parts
)

type options struct {
	clients, slots      int
	work, deadline, gap time.Duration
	order               []int
	fresh               bool
}

// request is one attempt of a client.
type request struct {
	id       string
	host     int
	sent     time.Time
	ended    time.Time
	status   int
	sealed   bool
	err      error
	runs     []time.Time
	brokeOff time.Time
}

type play struct {
	options
	world     *stand.World
	out       []atomic.Bool               // hosts that clients are kept from, by host
	stoppedAt []atomic.Pointer[time.Time] // time of SIGTERM, by host
	events    chan func(map[string]*request)
	done      chan struct{}
	wait      sync.WaitGroup
}

func main() {
	var o options
	flag.IntVar(&o.clients, "clients", 4, "clients at each host")
	flag.IntVar(&o.slots, "slots", 18, "slots of a backend")
	flag.DurationVar(&o.work, "work", 3500*time.Millisecond, "work of a request")
	flag.DurationVar(&o.deadline, "deadline", 5*time.Second, "deadline of the clients and TimeoutS of the route")
	flag.DurationVar(&o.gap, "gap", 2*time.Second, "time between two stops")
	flag.BoolVar(&o.fresh, "fresh", false, "a new connection for each request")
	order := flag.String("order", "2,1,3,5,4,6", "hosts that are stopped, in turn")
	flag.Parse()
	for _, text := range strings.Split(*order, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Println("cannot run:", err)
			os.Exit(2)
		}
		o.order = append(o.order, n-1)
	}
	code, err := run(o)
	if err != nil {
		fmt.Println("cannot run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(o options) (int, error) {
	w, err := stand.NewWorld()
	if err != nil {
		return 2, err
	}
	defer w.Close()
	p := &play{options: o, world: w, out: make([]atomic.Bool, 6), stoppedAt: make([]atomic.Pointer[time.Time], 6), events: make(chan func(map[string]*request), 1024), done: make(chan struct{})}
	requests := map[string]*request{}
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for e := range p.events {
			e(requests)
		}
	}()
	if err := p.startHosts(); err != nil {
		return 2, err
	}
	for i := range w.Hosts() {
		go p.probe(i)
		for n := range o.clients {
			p.wait.Go(func() { p.client(i, n) })
		}
	}
	time.Sleep(warmUp)
	if stand.Trouble() {
		p.roll()
	} else {
		time.Sleep(time.Duration(len(o.order))*o.gap + grace)
	}
	close(p.done)
	p.wait.Wait()
	close(p.events)
	<-collected
	return p.verdict(requests)
}

func (p *play) startHosts() error {
	if err := p.world.LoadItems(os.Getenv("ITEMS")); err != nil {
		return err
	}
	for i, service := range []string{"logview", "findings", "sensorhub", "logview", "findings", "sensorhub"} {
		h, err := p.world.AddHost([]string{"pamplemousses", "port-louis"}[i/3], service)
		if err != nil {
			return err
		}
		b := stand.NewBackend(p.world.Record(), fmt.Sprintf("i-%08d", i+1), service, h.Zone(), p.slots, p.work)
		b.OnRun = func(id, _ string, at time.Time) {
			p.events <- func(all map[string]*request) { r := entry(all, id); r.runs = append(r.runs, at) }
		}
		b.OnBrokenOff = func(id string, at time.Time) {
			p.events <- func(all map[string]*request) { entry(all, id).brokeOff = at }
		}
		if err := errors.Join(b.Serve(h.Server()), h.StartNode()); err != nil {
			return err
		}
		go b.KeepHeartbeats(h.Announcements(), 0)
	}
	if err := p.world.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // heartbeats and links
	return nil
}

func entry(all map[string]*request, id string) *request {
	r, ok := all[id]
	if !ok {
		r = &request{id: id}
		all[id] = r
	}
	return r
}

// probe asks each second whether a node is ready; clients are kept from it after two
// misses, until it answers 200 again.
func (p *play) probe(i int) {
	misses := 0
	for {
		if p.world.Hosts()[i].Ready() {
			misses = 0
		} else {
			misses++
		}
		p.out[i].Store(misses >= 2)
		select {
		case <-p.done:
			return
		case <-time.After(probeEvery):
		}
	}
}

// client sends one request after the other over a connection that it keeps.
func (p *play) client(host, n int) {
	time.Sleep(time.Duration(n) * p.work / time.Duration(p.clients))
	h := p.world.Hosts()[host]
	var c *stand.Client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-p.done:
			return
		default:
		}
		if p.out[host].Load() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if c == nil {
			var err error
			if c, err = stand.DialClient(h.Callers(), virtualHost); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id, sent := stand.NewID(), time.Now()
		a := c.Do(id, "POST", uri, make([]byte, requestSize), p.deadline)
		ended := time.Now()
		p.events <- func(all map[string]*request) {
			r := entry(all, id)
			r.host, r.sent, r.ended, r.status, r.sealed, r.err = host, sent, ended, a.Status, a.Sealed, a.Err
		}
		p.world.Record().Add("request %s sent to %s: status %d (%v) after %d ms", id, h.Name(), a.Status, a.Err, a.Took.Milliseconds())
		if a.Err != nil || a.Close || p.fresh {
			c.Close()
			c = nil
		}
		if a.Status != 200 {
			time.Sleep(max(a.RetryAfter, 100*time.Millisecond))
		}
	}
}

// roll stops the machines in turn; the platform starts each again when it has ended.
func (p *play) roll() {
	for _, i := range p.order {
		h := p.world.Hosts()[i]
		now := time.Now()
		p.stoppedAt[i].Store(&now)
		p.world.Record().Say("SIGTERM to %s", h.Name())
		if err := h.Signal(syscall.SIGTERM); err != nil {
			p.world.Record().Say("%v", err)
		}
		time.Sleep(p.gap)
	}
	time.Sleep(grace)
}

// lost reports whether the rule counts the request: after a SIGTERM of the machine that
// took it from the client, it was broken off at a backend that was at work on it, or it
// was not passed on and got no answer.
func (p *play) lost(r *request) bool {
	at := p.stoppedAt[r.host].Load()
	switch {
	case r.sealed || at == nil || r.sent.IsZero():
		return false
	case r.ended.Before(*at) || r.ended.After(at.Add(grace+graceSlack)):
		return false
	case r.ended.Sub(r.sent) >= p.deadline-roundOff:
		return false // the deadline was reached
	case len(r.runs) == 0:
		return r.status == 0 && r.ended.Sub(r.sent) > lossSlack+roundOff
	case r.brokeOff.IsZero():
		return false
	}
	inLastSixth := !r.sent.After(at.Add(lateSend)) && r.runs[0].Add(p.work).After(at.Add(lastSixth))
	return !inLastSixth
}

func (p *play) verdict(requests map[string]*request) (int, error) {
	record := p.world.Record()
	statuses, lost := map[int]int{}, 0
	for _, r := range requests {
		if r.sent.IsZero() {
			continue
		}
		statuses[r.status]++
		if !p.lost(r) {
			continue
		}
		lost++
		at := *p.stoppedAt[r.host].Load()
		ran := "was not passed on to a backend"
		if len(r.runs) > 0 {
			ran = fmt.Sprintf("ran at a backend from %.2f s on and was broken off at %.2f s", r.runs[0].Sub(at).Seconds(), r.brokeOff.Sub(at).Seconds())
		}
		record.Say("LOST: request %s was sent to %s %.2f s after its SIGTERM and %s; its end at the client: status %d (%v) at %.2f s", r.id, p.world.Hosts()[r.host].Name(),
			r.sent.Sub(at).Seconds(), ran, r.status, r.err, r.ended.Sub(at).Seconds())
	}
	record.Say("answers by status (0: none): %v", statuses)
	if statuses[200] == 0 {
		return 2, errors.New("no request was answered")
	}
	if lost > 0 {
		record.Say("LOST is broken by %d requests", lost)
		return 1, nil
	}
	record.Say("LOST holds")
	return 0, nil
}
