package process

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/idempotency"
)

const (
	maxTasks     = 64
	signalBuffer = 8
	stopTimeout  = 5 * time.Second

	// farewell is how long the process stays after its work is done, so that
	// calls that were already on their way are refused and not lost, and that
	// the next homes of its idempotency keys can still ask it.
	farewell = idempotency.MaxClockSkew

	eventConfigured chart.Event = "configured"
	eventTerminate  chart.Event = "terminate"
	eventDrained    chart.Event = "drained"
	tagReady        chart.Tag   = "ready"
	tagFinal        chart.Tag   = "final"
)

func (p *Process) startMachine() error {
	processChart, err := p.charts.Chart("process")
	if err != nil {
		return err
	}
	p.machine, err = processChart.NewMachine(chart.Actions{
		"announceLeaving": func() { p.Go(p.leave) },
		"stopListening":   func() { p.Go(p.drain) },
	})
	return err
}

// Configured reports that a configuration is in force.
func (p *Process) Configured() { p.post(eventConfigured) }

func (p *Process) post(e chart.Event) {
	select {
	case p.signals <- e:
	default:
	}
}

// Ready reports whether callers are served.
func (p *Process) Ready() bool {
	reply := make(chan bool, 1)
	select {
	case p.ready <- reply:
		return <-reply
	case <-p.ctx.Done():
		return false
	}
}

// Wait runs the life cycle until the process has stopped. SIGTERM and SIGINT
// drain, a second one stops at once; SIGHUP reloads the certificates; SIGUSR1
// calls dump.
func (p *Process) Wait(signals <-chan os.Signal, dump func()) {
	for !p.machine.HasTag(tagFinal) {
		select {
		case s := <-signals:
			p.signal(s, dump)
		case e := <-p.signals:
			p.fire(e)
		case reply := <-p.ready:
			reply <- p.machine.HasTag(tagReady)
		}
	}
	p.cancel()
	p.await()
}

func (p *Process) signal(s os.Signal, dump func()) {
	switch s {
	case syscall.SIGUSR1:
		go dump()
	case syscall.SIGHUP:
		if err := p.ring.Reload(); err != nil {
			_ = level.Error(p.logger).Log("event", "reload certificates", "error", err)
		}
	default:
		p.fire(eventTerminate)
	}
}

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

func (p *Process) leave(ctx context.Context) {
	if p.control != nil {
		p.control.Leave(ctx)
	}
}

// drain lets work arrive for a moment after the fleet was told, then stops
// taking any and waits for what is in flight.
func (p *Process) drain(ctx context.Context) {
	p.sleep(ctx, p.settings.Drain().Linger())
	close(p.draining)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Drain().Timeout())
	defer cancel()
	for _, stop := range p.stopHooks {
		stop(ctx)
	}
	p.sleep(ctx, farewell)
	p.post(eventDrained)
}

func (p *Process) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}

// await returns when all tasks have ended, or after stopTimeout.
func (p *Process) await() {
	limit := p.clock.After(stopTimeout)
	for range p.started {
		select {
		case <-p.running:
		case <-limit:
			_ = level.Warn(p.logger).Log("event", "stop", "error", "tasks did not end in time")
			return
		}
	}
}
