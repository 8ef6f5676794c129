package process

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/idempotency"
)

const (
	maxTasks    = 64
	eventBuffer = 8
	stopTimeout = 5 * time.Second

	// lateCallPeriod is how long the process keeps running after its last request
	// has ended. Calls that were sent before other nodes learnt of the drain are then
	// refused rather than lost, and the new homes of its idempotency keys can still
	// query it.
	lateCallPeriod = idempotency.MaxClockSkew

	eventConfigured chart.Event = "configured"
	eventTerminate  chart.Event = "terminate"
	eventDrained    chart.Event = "drained"
	tagReady        chart.Tag   = "ready"
	tagFinal        chart.Tag   = "final"
)

func (p *Process) startStateMachine() error {
	processChart, err := p.charts.Chart("process")
	if err != nil {
		return err
	}
	p.machine, err = processChart.NewMachine(chart.Actions{
		"announceLeaving": func() { p.Go(p.announceDeparture) },
		"stopListening":   func() { p.Go(p.drain) },
	})
	return err
}

// Configured reports that a configuration is in force. It never blocks.
func (p *Process) Configured() { p.postEvent(eventConfigured) }

// postEvent posts an event for Wait. It never blocks; if the buffer is full, the
// event is dropped.
func (p *Process) postEvent(e chart.Event) {
	select {
	case p.events <- e:
	default:
	}
}

// Ready reports whether the process serves callers.
func (p *Process) Ready() bool {
	reply := make(chan bool, 1)
	select {
	case p.readinessRequests <- reply:
		return <-reply
	case <-p.ctx.Done():
		return false
	}
}

// Wait handles signals and life cycle events until the process has stopped. SIGTERM
// and SIGINT start a drain, and a second one stops at once; SIGHUP reloads the
// certificates; SIGUSR1 calls dump.
func (p *Process) Wait(signals <-chan os.Signal, dump func()) {
	for !p.machine.HasTag(tagFinal) {
		select {
		case s := <-signals:
			p.handleSignal(s, dump)
		case e := <-p.events:
			p.fire(e)
		case reply := <-p.readinessRequests:
			reply <- p.machine.HasTag(tagReady)
		}
	}
	p.cancel()
	p.awaitTasks()
}

func (p *Process) handleSignal(s os.Signal, dump func()) {
	switch s {
	case syscall.SIGUSR1:
		go dump()
	case syscall.SIGHUP:
		if err := p.credentials.Reload(); err != nil {
			_ = level.Error(p.logger).Log("event", "reload certificates", "error", err)
		}
	default:
		p.fire(eventTerminate)
	}
}

// fire passes an event to the state machine, unless the current state does not accept
// it, and logs the transition.
func (p *Process) fire(e chart.Event) {
	if !p.machine.Accepts(e) {
		return
	}
	from := p.machine.State()
	if err := p.machine.Fire(e); err != nil {
		_ = level.Error(p.logger).Log("event", "life cycle", "error", err)
		return
	}
	_ = level.Info(p.logger).Log("event", "life cycle", "from", from, "to", p.machine.State())
}

func (p *Process) announceDeparture(ctx context.Context) {
	if p.gossipAgent != nil {
		p.gossipAgent.Leave(ctx)
	}
}

// drain accepts new requests for the accept period, while other nodes learn of the
// departure. It then stops accepting them and waits for the requests in flight.
func (p *Process) drain(ctx context.Context) {
	p.sleep(ctx, p.settings.Drain().AcceptPeriod())
	close(p.draining)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Drain().Timeout())
	defer cancel()
	for _, stop := range p.stopHooks {
		stop(ctx)
	}
	p.sleep(ctx, lateCallPeriod)
	p.postEvent(eventDrained)
}

func (p *Process) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}

// awaitTasks returns when all tasks have ended, or after stopTimeout.
func (p *Process) awaitTasks() {
	timeout := p.clock.After(stopTimeout)
	for ended := range p.taskCount {
		select {
		case <-p.taskEnded:
		case <-timeout:
			_ = level.Warn(p.logger).Log("event", "stop", "error", fmt.Sprintf("%d of %d tasks did not end within %s", p.taskCount-ended, p.taskCount, stopTimeout))
			return
		}
	}
}
