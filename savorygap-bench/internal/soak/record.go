package soak

import (
	"context"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/savorygap-bench/internal/cluster"
)

// disturbance is the interval of an operation on a host, or on the store if host is
// nil.
type disturbance struct {
	name           string
	host           *cluster.Host
	planned        bool
	delaysRequests bool
	from           time.Time
	to             time.Time
}

// departure is the drain of a server and when the node acknowledged it.
type departure struct {
	instance     string
	acknowledged time.Time
}

// evacuation is the interval in which a data centre was out of service. restored
// reports whether the store lost the evacuation meanwhile.
type evacuation struct {
	dataCentre string
	from       time.Time
	to         time.Time
	restored   bool
}

// coldStart is the cold start of a server and when it ended.
type coldStart struct {
	instance string
	until    time.Time
}

// configChange is a configuration version and when the store acknowledged it.
type configChange struct {
	version      int64
	acknowledged time.Time
}

// history is what was done during a soak. The recorder's task owns it.
type history struct {
	disturbances []disturbance
	departures   []departure
	evacuations  []evacuation
	coldStarts   []coldStart
	changes      []configChange
	limits       []rateLimit
	floods       []flood
	rollouts     []rollout
	quota        float64 // of each tenant with a limit, in requests a second
	failures     []string
}

// recorder is the task that records what was done during a soak.
type recorder struct {
	inbox *task.Inbox[recorderMessage]
}

// recorderMessage is a closed union; exactly one part is set.
type recorderMessage struct {
	update func(*history)
	read   task.Reply[history]
}

func newRecorder() *recorder { return &recorder{inbox: task.NewInbox[recorderMessage](64)} }

func (r *recorder) run(ctx context.Context) {
	hist := history{}
	r.inbox.Run(ctx, func(m recorderMessage) {
		if m.update != nil {
			m.update(&hist)
			return
		}
		m.read <- hist
	})
}

func (r *recorder) update(change func(*history)) { r.inbox.Send(recorderMessage{update: change}) }

func (r *recorder) fail(text string) {
	r.update(func(hist *history) { hist.failures = append(hist.failures, text) })
}

func (r *recorder) read(ctx context.Context) history {
	reply := task.NewReply[history]()
	if !r.inbox.Send(recorderMessage{read: reply}) {
		return history{}
	}
	hist, _ := reply.Wait(ctx, r.inbox.Done())
	return hist
}
