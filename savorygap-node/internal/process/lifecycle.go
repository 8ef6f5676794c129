package process

import (
	"os"
	"syscall"
	"time"

	"savorygap.example/lib/chart"
)

const (
	signalBuffer = 8

	eventConfigured chart.Event = "configured"
	eventTerminate  chart.Event = "terminate"
	eventDrained    chart.Event = "drained"
	tagReady        chart.Tag   = "ready"
	tagFinal        chart.Tag   = "final"

	// acceptFor is how long a node that stops still takes requests: the platform
	// asks for readiness once a second and needs two refusals.
	acceptFor = 3200 * time.Millisecond
	// graceMargin is left of the grace when the process gives up waiting.
	graceMargin = 500 * time.Millisecond
	// drainCheck is how often a node that stops looks whether its work is done.
	drainCheck = 50 * time.Millisecond
)

// readiness is the answer to whether callers may be sent here.
type readiness struct {
	ready  bool
	reason string
}

// drain is the state of a node that stops.
type drain struct {
	began  time.Time
	closed bool
	ticker <-chan time.Time
}

func (p *Process) startMachine() error {
	processChart, err := p.charts.Chart("process")
	if err != nil {
		return err
	}
	p.machine, err = processChart.Start(chart.Actions{"announceLeaving": p.announceLeaving, "stopListening": p.stopListening})
	return err
}

// Configured reports that a configuration is in force.
func (p *Process) Configured() {
	select {
	case p.events <- eventConfigured:
	default:
	}
}

// Ready reports whether callers may be sent here, and if not, why.
func (p *Process) Ready() (bool, string) {
	reply := make(chan readiness, 1)
	select {
	case p.ready <- reply:
		r := <-reply
		return r.ready, r.reason
	case <-p.ctx.Done():
		return false, "stopped"
	}
}

// announceLeaving opens no new links. The server on this host goes on getting work
// until the door closes: it may outlive this process.
func (p *Process) announceLeaving() {
	if p.fleet != nil {
		p.fleet.StopDialling()
	}
}

// stopListening begins to stop; callers are served until the platform sends them
// elsewhere.
func (p *Process) stopListening() {
	p.draining = &drain{began: p.clock.Now(), ticker: p.clock.NewTicker(drainCheck).Chan()}
}

func (p *Process) fire(e chart.Event) {
	from := p.machine.State()
	if !p.machine.Accepts(e) {
		return
	}
	if err := p.machine.Fire(e); err != nil {
		p.log.Write("chart-error", "error", err.Error())
		return
	}
	p.log.Write("process-state", "from", from, "to", p.machine.State(), "cause", e)
}

// Wait runs the life of the process until it has stopped. SIGTERM and SIGINT
// drain, a second one stops at once; SIGHUP calls reload, which checks the
// settings file.
func (p *Process) Wait(signals <-chan os.Signal, reload func() error) {
	for !p.machine.Has(tagFinal) {
		select {
		case s := <-signals:
			p.signal(s, reload)
		case e := <-p.events:
			p.fire(e)
		case reply := <-p.ready:
			reply <- readiness{ready: p.machine.Has(tagReady), reason: string(p.machine.State())}
		case <-p.drainTicks():
			p.drainFurther()
		}
	}
	p.log.Write("stop", "lasted_ms", p.clock.Since(p.started).Milliseconds())
	p.Stop()
}

// Stop ends all tasks, the log last.
func (p *Process) Stop() {
	p.cancel()
	if p.callers != nil && !p.isDoorClosed() {
		if err := p.callers.Close(); err != nil {
			p.log.Write("close-failed", "error", err.Error())
		}
	}
	p.logCancel()
	<-p.log.Done()
}

func (p *Process) isDoorClosed() bool { return p.draining != nil && p.draining.closed }

func (p *Process) drainTicks() <-chan time.Time {
	if p.draining == nil {
		return nil
	}
	return p.draining.ticker
}

func (p *Process) signal(s os.Signal, reload func() error) {
	switch s {
	case syscall.SIGTERM, syscall.SIGINT:
		p.fire(eventTerminate)
	case syscall.SIGHUP:
		// Addresses and limits are bound for the life of a process; a settings file
		// that does not read is reported now and not at the next start.
		if err := reload(); err != nil {
			p.log.Write("reload", "result", "unreadable", "error", err.Error())
			return
		}
		p.log.Write("reload", "result", "read")
	}
}

// drainFurther closes the door once callers had time to go elsewhere, and ends
// the process when the last request is done or the grace is over.
func (p *Process) drainFurther() {
	age := p.clock.Since(p.draining.began)
	if !p.draining.closed && age >= acceptFor {
		p.draining.closed = true
		p.serverProxy.Drain()
		p.frontend.Drain()
		if err := p.callers.Close(); err != nil {
			p.log.Write("close-failed", "error", err.Error())
		}
	}
	busy := p.frontend.OpenConnections() + p.router.ActiveRequests() + p.serverProxy.InFlight()
	over := age >= p.settings.DrainGrace()-graceMargin
	if p.draining.closed && busy == 0 || over {
		p.log.Write("drained", "after_ms", age.Milliseconds(), "left", busy)
		p.fire(eventDrained)
	}
}
