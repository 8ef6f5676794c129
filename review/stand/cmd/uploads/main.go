// Command uploads plays clients that upload, or download, large bodies beside clients
// that read over connections that they keep, and checks the rule LOST. With the
// disruption, more clients transfer at the same time.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"savorygap.example/review/stand"
)

const (
	virtualHost    = "board.example"
	readDeadline   = 800 * time.Millisecond
	uploadDeadline = 5 * time.Second
	// maxLost is how many requests from kept connections the rule LOST lets go unanswered.
	maxLost = 3
	readers = 8
	// wave is the time between two moments at which the clients upload.
	wave       = 4 * time.Second
	workRead   = 90 * time.Millisecond
	workUpload = 110 * time.Millisecond
)

// services names the service of the backend at each host.
var services = []string{"logview", "findings", "sensorhub", "logview", "findings", "sensorhub"}

// downloadServices puts the only backend of the downloads beside the entry, so that no
// large answer crosses a link between machines.
var downloadServices = []string{"sensorhub", "findings", "logview", "logview", "findings", "logview"}

type options struct {
	calm, burst int
	bytes, rate int
	length      time.Duration
	download    bool
}

// run is one play.
type run struct {
	options
	world     *stand.World
	started   sync.Map // ids that a backend has begun to run
	lost      atomic.Int64
	reads     atomic.Int64
	answers   [600]atomic.Int64
	done      chan struct{}
	startedAt time.Time // of the first wave of uploads
	clients   sync.WaitGroup
}

func main() {
	var o options
	flag.IntVar(&o.calm, "calm", 16, "uploading clients without the disruption")
	flag.IntVar(&o.burst, "burst", 28, "uploading clients with the disruption")
	flag.IntVar(&o.bytes, "bytes", 4<<20, "size of a body")
	flag.IntVar(&o.rate, "rate", 2<<20, "bytes a second that a client sends")
	flag.DurationVar(&o.length, "length", 20*time.Second, "length of the play")
	flag.BoolVar(&o.download, "download", false, "the clients download in place of uploading")
	flag.Parse()
	code, err := play(o)
	if err != nil {
		fmt.Println("cannot run:", err)
		code = 2
	}
	os.Exit(code)
}

func play(o options) (int, error) {
	w, err := stand.NewWorld()
	if err != nil {
		return 2, err
	}
	defer w.Close()
	r := &run{options: o, world: w, done: make(chan struct{})}
	if err := r.startHosts(); err != nil {
		return 2, err
	}
	uploaders := o.calm
	if stand.Trouble() {
		uploaders = o.burst
	}
	body := make([]byte, o.bytes)
	r.startedAt = time.Now().Add(time.Second)
	entry := w.Hosts()[0]
	w.Record().Say("%d clients that transfer and %d that read at %s, %d KB a body, %d KB/s a client, download: %t", uploaders, readers, entry.Name(), o.bytes>>10, o.rate>>10, o.download)
	for range readers {
		r.clients.Go(func() { r.read(entry) })
	}
	for range uploaders {
		r.clients.Go(func() { r.upload(entry, body) })
	}
	time.Sleep(o.length)
	close(r.done)
	r.clients.Wait()
	return r.verdict()
}

func (r *run) startHosts() error {
	if err := r.world.LoadItems(os.Getenv("ITEMS")); err != nil {
		return err
	}
	list := services
	if r.download {
		list = downloadServices
	}
	for i, service := range list {
		h, err := r.world.AddHost([]string{"pamplemousses", "port-louis"}[2*i/len(list)], service)
		if err != nil {
			return err
		}
		work := workRead
		if service == "sensorhub" {
			work = workUpload
		}
		b := stand.NewBackend(r.world.Record(), fmt.Sprintf("i-%08d", i+1), service, h.Zone(), 12, work)
		if r.download && service == "sensorhub" {
			b.AnswerBytes = r.bytes
		}
		b.OnRun = func(id, _ string, _ time.Time) { r.started.Store(id, true) }
		if err := errors.Join(b.Serve(h.Server()), h.StartNode()); err != nil {
			return err
		}
		go b.KeepHeartbeats(h.Announcements(), 0)
	}
	if err := r.world.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // heartbeats and links
	return nil
}

func (r *run) over() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// read sends reads one after the other over a kept connection.
func (r *run) read(h *stand.Host) {
	var c *stand.Client
	carried := 0
	for !r.over() {
		if c == nil {
			carried = 0
			var err error
			if c, err = stand.DialClient(h.Callers(), virtualHost); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := stand.NewID()
		a := c.Do(id, "GET", "/logview/today", nil, readDeadline)
		r.reads.Add(1)
		r.answers[a.Status].Add(1)
		if a.Err == nil && !a.Close {
			carried++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.Close()
		c = nil
		if a.Err == nil {
			continue
		}
		_, passedOn := r.started.Load(id)
		timeOver := errors.Is(a.Err, os.ErrDeadlineExceeded)
		r.world.Record().Add("read %s at %s gets no answer: %v; passed on to a backend: %t", id, h.Name(), a.Err, passedOn)
		if carried > 0 && passedOn && !timeOver {
			r.lost.Add(1)
		}
	}
	if c != nil {
		c.Close()
	}
}

// upload sends an upload with each wave, on a new connection.
func (r *run) upload(h *stand.Host, body []byte) {
	for n := 0; !r.over(); n++ {
		time.Sleep(time.Until(r.startedAt.Add(time.Duration(n) * wave)))
		var a stand.Answer
		if r.download {
			a = stand.Download(h.Callers(), virtualHost, "/sensorhub/export", r.rate, uploadDeadline)
		} else {
			a = stand.Upload(h.Callers(), virtualHost, "/sensorhub/archive", body, r.rate, uploadDeadline)
		}
		r.world.Record().Add("transfer %s at %s: status %d, %v, after %d ms", a.ID, h.Name(), a.Status, a.Err, a.Took.Milliseconds())
	}
}

func (r *run) verdict() (int, error) {
	record := r.world.Record()
	ends := 0
	for _, h := range r.world.Hosts() {
		ends += h.Ends()
		record.Say("node %s: ended %d times, at most %d MB resident", h.Name(), h.Ends(), h.PeakRSS())
	}
	record.Say("%d reads, %d answered 200", r.reads.Load(), r.answers[200].Load())
	record.Say("%d reads from kept connections were passed on to a sound backend and lost their connection without an answer; allowed: %d", r.lost.Load(), maxLost)
	if r.answers[200].Load() == 0 {
		return 2, errors.New("no read was answered")
	}
	if r.lost.Load() > maxLost {
		record.Say("LOST is broken")
		return 1, nil
	}
	record.Say("LOST holds")
	return 0, nil
}
