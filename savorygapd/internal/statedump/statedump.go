// Package statedump collects the state of all tasks of a process in a form that is
// encoded as JSON.
package statedump

import (
	"context"
	"runtime"
	"sort"
	"time"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/document"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/route"
	"savorygap.example/lib/server"
	"savorygap.example/savorygapd/internal/process"
)

// Dump is the state of a process.
type Dump struct {
	Host          string        `json:"host"`
	DataCentre    string        `json:"dataCentre"`
	Epoch         int64         `json:"epoch"`
	Ready         bool          `json:"ready"`
	Goroutines    int           `json:"goroutines"`
	HeapBytes     uint64        `json:"heapBytes"`
	Configuration Configuration `json:"configuration"`
	Control       Control       `json:"control"`
	Members       []Member      `json:"members"`
	Servers       []Server      `json:"servers"`
	Targets       []Target      `json:"targets"`
	RetryBudgets  []RetryBudget `json:"budgets"`
	Keys          Keys          `json:"keys"`
	Faults        []Fault       `json:"lastFaults"`
}

// Fault is a failure that the process handled.
type Fault struct {
	At     time.Time `json:"at"`
	Event  string    `json:"event"`
	Peer   string    `json:"peer"`
	Reason string    `json:"reason"`
}

// Configuration is the state of the configuration.
type Configuration struct {
	State           string `json:"state"`
	Revision        uint64 `json:"revision"`
	HighestRevision uint64 `json:"highest"`
}

// Control is the state of the gossip agent.
type Control struct {
	Links         []string `json:"links"`
	SentBytes     uint64   `json:"sentBytes"`
	ReceivedBytes uint64   `json:"receivedBytes"`
	ShedMessages  uint64   `json:"shed"`
	Suspicions    uint64   `json:"suspected"`
	Refutations   uint64   `json:"refuted"`
	StoreWatcher  bool     `json:"watches"`
	ContactNode   bool     `json:"contact"`
	Superseded    bool     `json:"superseded"`
	InboxLen      int      `json:"inbox"`
}

// Member is one node in the membership list of this node.
type Member struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	DataCentre string `json:"dataCentre"`
	Epoch      uint64 `json:"epoch"`
	Version    uint64 `json:"version"`
	Servers    int    `json:"servers"`
}

// Server is one server of this host.
type Server struct {
	Service           string            `json:"service"`
	Address           string            `json:"address"`
	State             string            `json:"state"`
	Slots             int               `json:"slots"`
	Limit             int               `json:"limit"`
	InFlight          int               `json:"inFlight"`
	Queued            map[string]int    `json:"queued"`
	IdleConnections   int               `json:"idleConnections"`
	OpenConnections   int               `json:"openConnections"`
	Granted           uint64            `json:"granted"`
	Refused           map[string]uint64 `json:"refused"`
	InvariantBreaches int               `json:"breaches"`
}

// Target is the state of one target as this node sees it.
type Target struct {
	Service       string `json:"service"`
	Node          string `json:"node"`
	Address       string `json:"address"`
	DataCentre    string `json:"dataCentre"`
	Outstanding   int    `json:"outstanding"`
	Limit         int    `json:"limit"`
	InFlight      int    `json:"inFlight"`
	Queued        int    `json:"queued"`
	LatencyMicros int64  `json:"latencyMicros"`
	AgeMillis     int64  `json:"ageMillis"`
	Failing       bool   `json:"failing"`
	Closed        bool   `json:"closed"`
}

// RetryBudget is the state of the retries and hedges of one service.
type RetryBudget struct {
	Service     string  `json:"service"`
	RetryTokens float64 `json:"retryTokens"`
	HedgeTokens float64 `json:"hedgeTokens"`
	Retried     uint64  `json:"retried"`
	Hedged      uint64  `json:"hedged"`
	Denied      uint64  `json:"denied"`
}

// Keys is the size of the table of idempotency keys.
type Keys struct {
	Remembered int `json:"remembered"`
	Bytes      int `json:"bytes"`
}

// Collect queries every task for its state.
func Collect(ctx context.Context, p *process.Process) Dump {
	agent := p.GossipAgent().Dump(ctx)
	router := p.Router().Dump(ctx)
	tracker := p.IdempotencyTracker().Dump(ctx)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Dump{
		Host: p.Settings().Host(), DataCentre: p.Settings().DataCentre(), Epoch: p.StartedAt().UnixNano(),
		Ready: p.Ready(), Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
		Configuration: Configuration{State: string(agent.ConfigState()), Revision: uint64(agent.Revision()), HighestRevision: uint64(agent.HighestRevision())},
		Control:       dumpControl(agent), Members: dumpMembers(agent),
		Servers: dumpServers(ctx, p), Targets: dumpTargets(p.Clock().Now(), router), RetryBudgets: dumpRetryBudgets(router),
		Keys:   Keys{Remembered: tracker.Keys(), Bytes: tracker.Bytes()},
		Faults: dumpFaults(ctx, p),
	}
}

func dumpFaults(ctx context.Context, p *process.Process) []Fault {
	out := []Fault{}
	for _, f := range p.RecentFaults(ctx) {
		out = append(out, Fault{At: f.At(), Event: f.Event(), Peer: f.Peer(), Reason: f.Reason()})
	}
	return out
}

func dumpControl(d gossip.Dump) Control {
	links := d.Links()
	sort.Strings(links)
	return Control{
		Links: links, SentBytes: d.SentBytes(), ReceivedBytes: d.ReceivedBytes(), ShedMessages: d.ShedMessages(), Suspicions: d.Suspicions(),
		Refutations: d.Refutations(), StoreWatcher: d.StoreRole().Watcher(), ContactNode: d.StoreRole().ContactNode(), Superseded: d.Superseded(), InboxLen: d.InboxLen(),
	}
}

func dumpMembers(d gossip.Dump) []Member {
	out := make([]Member, 0, len(d.Members()))
	for _, m := range d.Members() {
		r := m.Record()
		out = append(out, Member{
			Name: r.Name(), State: string(m.State()), DataCentre: r.DataCentre(),
			Epoch: r.Epoch(), Version: r.Version(), Servers: len(r.Servers()),
		})
	}
	return out
}

func dumpServers(ctx context.Context, p *process.Process) []Server {
	out := []Server{}
	for _, sp := range p.ServerRegistry().Proxies(ctx) {
		if d, ok := sp.Dump(ctx); ok {
			out = append(out, dumpServer(d))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func dumpServer(d server.Dump) Server {
	s := Server{
		Service: d.Announcement().Service(), Address: d.Announcement().Address(), State: string(d.State()),
		Slots: d.Announcement().Slots(), Limit: d.Limit(), InFlight: d.InFlight(), IdleConnections: d.IdleConnections(), OpenConnections: d.OpenConnections(),
		Granted: d.Granted(), InvariantBreaches: d.InvariantBreaches(), Queued: map[string]int{}, Refused: map[string]uint64{},
	}
	for class, n := range d.Queued() {
		s.Queued[document.Class(class).String()] = n
	}
	for reason, n := range d.Refused() {
		s.Refused[reason.String()] = n
	}
	return s
}

func dumpTargets(now time.Time, d route.Dump) []Target {
	out := make([]Target, 0, len(d.TargetStates()))
	for _, e := range d.TargetStates() {
		out = append(out, dumpTarget(now, e))
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Service+out[i].Node+out[i].Address < out[j].Service+out[j].Node+out[j].Address
	})
	return out
}

func dumpTarget(now time.Time, e balance.TargetState) Target {
	t, r := e.Target(), e.Report()
	target := Target{
		Service: t.Service(), Node: t.ID().Node(), Address: t.ID().Address(), DataCentre: t.Locality().DataCentre(),
		Outstanding: e.Outstanding(), Limit: r.Limit(), InFlight: r.InFlight(), Queued: r.Queued(),
		LatencyMicros: r.Latency().Microseconds(), AgeMillis: -1, Failing: r.Failing(), Closed: r.Closed(),
	}
	if !e.ReportedAt().IsZero() {
		target.AgeMillis = now.Sub(e.ReportedAt()).Milliseconds()
	}
	return target
}

func dumpRetryBudgets(d route.Dump) []RetryBudget {
	out := make([]RetryBudget, 0, len(d.Services()))
	for name, s := range d.Services() {
		out = append(out, RetryBudget{
			Service: name, RetryTokens: s.RetryTokens(), HedgeTokens: s.HedgeTokens(),
			Retried: s.Retried(), Hedged: s.Hedged(), Denied: s.Denied(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}
