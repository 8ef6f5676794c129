package process

import (
	"os"
	"syscall"
	"time"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/upstream"
)

const (
	eventBuffer = 8 // events

	eventConfigured chart.Event = "configured"
	eventTerminate  chart.Event = "terminate"
	eventDrained    chart.Event = "drained"
	tagReady        chart.Tag   = "ready"
	tagFinal        chart.Tag   = "final"

	// drainAcceptPeriod is how long a draining node still accepts callers. The
	// platform probes readiness once a second and directs callers elsewhere after the
	// second failure.
	drainAcceptPeriod = 3200 * time.Millisecond
	// drainMoveDelay is how long a draining node keeps callers' connections open for
	// further requests. By then two readiness probes have failed.
	drainMoveDelay = 2200 * time.Millisecond
	// drainLastAccepted is the time from which on a draining node accepts only requests
	// whose time is over before the process ends. Until then it accepts those as well that
	// a server can be expected to end by then.
	drainLastAccepted = 2800 * time.Millisecond
	// drainGraceMargin is how long before the end of the grace period the process
	// stops waiting for requests.
	drainGraceMargin = 500 * time.Millisecond
	// drainAnswerMargin is how long before that the last answers are due, so that they
	// are written by then.
	drainAnswerMargin = 100 * time.Millisecond
	// drainCheckInterval is how often a draining node checks whether its work is
	// done.
	drainCheckInterval = 50 * time.Millisecond
)

// readiness is the reply to a readiness query.
type readiness struct {
	ready  bool
	reason string
}

// drainState is the progress of a drain.
type drainState struct {
	startedAt      time.Time
	callersMoved   bool
	listenerClosed bool
	ticks          <-chan time.Time
}

func (p *Process) startStateMachine() error {
	processChart, err := p.charts.Chart("process")
	if err != nil {
		return err
	}
	p.machine, err = processChart.NewMachine(chart.Actions{"announceLeaving": p.announceLeaving, "stopListening": p.stopListening})
	return err
}

// Configured reports that a configuration is in force. It never blocks.
func (p *Process) Configured() {
	select {
	case p.events <- eventConfigured:
	default:
	}
}

// Ready reports whether callers may be sent to this node, and if not, why.
func (p *Process) Ready() (bool, string) {
	reply := make(chan readiness, 1)
	select {
	case p.readinessRequests <- reply:
		r := <-reply
		return r.ready, r.reason
	case <-p.ctx.Done():
		return false, "stopped"
	}
}

// announceLeaving stops opening links. The server on this host gets requests until
// the listener closes, since it may keep running after this process has stopped.
func (p *Process) announceLeaving() {
	if p.fleet != nil {
		p.fleet.StopDialling()
	}
}

// stopListening begins the drain. Callers' connections are closed from drainMoveDelay
// on, and the listener after drainAcceptPeriod, within which the platform directs
// callers elsewhere.
func (p *Process) stopListening() {
	now := p.clock.Now()
	p.draining = &drainState{startedAt: now, ticks: p.clock.NewTicker(drainCheckInterval).Chan()}
	shutdown := upstream.NewShutdown(now.Add(p.drainTime() - drainAnswerMargin))
	if p.router != nil {
		p.router.StopAt(now.Add(drainLastAccepted), shutdown)
	}
	if p.serverProxy != nil {
		p.serverProxy.StopAt(shutdown)
	}
}

// drainTime returns how long the process waits for requests after the signal.
func (p *Process) drainTime() time.Duration { return p.settings.DrainGrace() - drainGraceMargin }

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

// Wait handles signals and life cycle events until the process has stopped. SIGTERM
// and SIGINT start a drain, and a second one stops at once; SIGHUP calls reload,
// which checks the settings file.
func (p *Process) Wait(signals <-chan os.Signal, reload func() error) {
	for !p.machine.HasTag(tagFinal) {
		select {
		case s := <-signals:
			p.handleSignal(s, reload)
		case e := <-p.events:
			p.fire(e)
		case reply := <-p.readinessRequests:
			reply <- readiness{ready: p.machine.HasTag(tagReady), reason: string(p.machine.State())}
		case <-p.drainTicks():
			p.continueDrain()
		}
	}
	p.log.Write("stop", "lasted_ms", p.clock.Since(p.startedAt).Milliseconds())
	p.Stop()
}

// Stop ends all tasks, the log last.
func (p *Process) Stop() {
	p.cancel()
	if p.callerListener != nil && !p.isListenerClosed() {
		if err := p.callerListener.Close(); err != nil {
			p.log.Write("close-failed", "error", err.Error())
		}
	}
	p.logCancel()
	<-p.log.Done()
}

func (p *Process) isListenerClosed() bool { return p.draining != nil && p.draining.listenerClosed }

func (p *Process) drainTicks() <-chan time.Time {
	if p.draining == nil {
		return nil
	}
	return p.draining.ticks
}

func (p *Process) handleSignal(s os.Signal, reload func() error) {
	switch s {
	case syscall.SIGTERM, syscall.SIGINT:
		p.fire(eventTerminate)
	case syscall.SIGHUP:
		// Settings are applied at the start of a process only. Reading the file reports
		// an invalid one now rather than at the next start.
		if err := reload(); err != nil {
			p.log.Write("reload", "result", "unreadable", "error", err.Error())
			return
		}
		p.log.Write("reload", "result", "read")
	}
}

// continueDrain moves callers away after drainMoveDelay, closes the listener after
// drainAcceptPeriod, and ends the drain when no request is left or the grace period
// is almost over.
func (p *Process) continueDrain() {
	elapsed := p.clock.Since(p.draining.startedAt)
	if !p.draining.callersMoved && elapsed >= drainMoveDelay {
		p.draining.callersMoved = true
		p.frontend.Drain()
	}
	if !p.draining.listenerClosed && elapsed >= drainAcceptPeriod {
		p.draining.listenerClosed = true
		p.serverProxy.Drain()
		if err := p.callerListener.Close(); err != nil {
			p.log.Write("close-failed", "error", err.Error())
		}
	}
	remaining := p.frontend.OpenConnections() + p.router.ActiveRequests() + p.serverProxy.InFlight()
	graceOver := elapsed >= p.drainTime()
	if p.draining.listenerClosed && remaining == 0 || graceOver {
		p.log.Write("drained", "after_ms", elapsed.Milliseconds(), "left", remaining)
		p.fire(eventDrained)
	}
}
