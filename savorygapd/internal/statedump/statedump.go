// Package statedump writes the state of every task of a process as JSON.
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

// Form is the written form of the state.
type Form struct {
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
	Budgets       []Budget      `json:"budgets"`
	Keys          Keys          `json:"keys"`
	Faults        []Fault       `json:"lastFaults"`
}

// Fault is something that went wrong and was dealt with.
type Fault struct {
	At     time.Time `json:"at"`
	Event  string    `json:"event"`
	Peer   string    `json:"peer"`
	Reason string    `json:"reason"`
}

// Configuration is the state of the configuration.
type Configuration struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Highest  uint64 `json:"highest"`
}

// Control is the state of the control traffic.
type Control struct {
	Links         []string `json:"links"`
	SentBytes     uint64   `json:"sentBytes"`
	ReceivedBytes uint64   `json:"receivedBytes"`
	Shed          uint64   `json:"shed"`
	Suspected     uint64   `json:"suspected"`
	Refuted       uint64   `json:"refuted"`
	Watches       bool     `json:"watches"`
	Contact       bool     `json:"contact"`
	Superseded    bool     `json:"superseded"`
	Inbox         int      `json:"inbox"`
}

// Member is one node in the view.
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
	Service  string            `json:"service"`
	Address  string            `json:"address"`
	State    string            `json:"state"`
	Slots    int               `json:"slots"`
	Limit    int               `json:"limit"`
	InFlight int               `json:"inFlight"`
	Queued   map[string]int    `json:"queued"`
	Idle     int               `json:"idleConnections"`
	Open     int               `json:"openConnections"`
	Granted  uint64            `json:"granted"`
	Refused  map[string]uint64 `json:"refused"`
	Breaches int               `json:"breaches"`
}

// Target is what this node knows of one target.
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

// Budget is the state of one service's retries and hedges.
type Budget struct {
	Service     string  `json:"service"`
	RetryTokens float64 `json:"retryTokens"`
	HedgeTokens float64 `json:"hedgeTokens"`
	Retried     uint64  `json:"retried"`
	Hedged      uint64  `json:"hedged"`
	Denied      uint64  `json:"denied"`
}

// Keys is the state of the idempotency keys.
type Keys struct {
	Remembered int `json:"remembered"`
	Bytes      int `json:"bytes"`
}

// Take asks every task for its state.
func Take(ctx context.Context, p *process.Process) Form {
	control := p.Control().Dump(ctx)
	router := p.Router().Dump(ctx)
	ledger := p.Ledger().Dump(ctx)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Form{
		Host: p.Settings().Host(), DataCentre: p.Settings().DataCentre(), Epoch: p.Epoch().UnixNano(),
		Ready: p.Ready(), Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
		Configuration: Configuration{State: string(control.ConfigState()), Revision: uint64(control.Revision()), Highest: uint64(control.HighestRevision())},
		Control:       controlForm(control), Members: memberForms(control),
		Servers: serverForms(ctx, p), Targets: targetForms(p.Clock().Now(), router), Budgets: budgetForms(router),
		Keys:   Keys{Remembered: ledger.Keys(), Bytes: ledger.Bytes()},
		Faults: faultForms(ctx, p),
	}
}

func faultForms(ctx context.Context, p *process.Process) []Fault {
	out := []Fault{}
	for _, f := range p.Faults(ctx) {
		out = append(out, Fault{At: f.At(), Event: f.Event(), Peer: f.Peer(), Reason: f.Reason()})
	}
	return out
}

func controlForm(d gossip.Dump) Control {
	links := d.Links()
	sort.Strings(links)
	return Control{
		Links: links, SentBytes: d.SentBytes(), ReceivedBytes: d.ReceivedBytes(), Shed: d.ShedMessages(), Suspected: d.Suspicions(),
		Refuted: d.Refutations(), Watches: d.StoreRole().Watcher(), Contact: d.StoreRole().ContactNode(), Superseded: d.Superseded(), Inbox: d.InboxLen(),
	}
}

func memberForms(d gossip.Dump) []Member {
	out := make([]Member, 0, len(d.Members()))
	for _, m := range d.Members() {
		c := m.Record()
		out = append(out, Member{
			Name: c.Name(), State: string(m.State()), DataCentre: c.DataCentre(),
			Epoch: c.Epoch(), Version: c.Version(), Servers: len(c.Servers()),
		})
	}
	return out
}

func serverForms(ctx context.Context, p *process.Process) []Server {
	out := []Server{}
	for _, k := range p.Registry().Proxies(ctx) {
		if d, ok := k.Dump(ctx); ok {
			out = append(out, serverForm(d))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func serverForm(d server.Dump) Server {
	s := Server{
		Service: d.Announcement().Service(), Address: d.Announcement().Address(), State: string(d.State()),
		Slots: d.Announcement().Slots(), Limit: d.Limit(), InFlight: d.InFlight(), Idle: d.IdleConnections(), Open: d.OpenConnections(),
		Granted: d.Granted(), Breaches: d.InvariantBreaches(), Queued: map[string]int{}, Refused: map[string]uint64{},
	}
	for class, n := range d.Queued() {
		s.Queued[document.Class(class).String()] = n
	}
	for reason, n := range d.Refused() {
		s.Refused[reason.String()] = n
	}
	return s
}

func targetForms(now time.Time, d route.Dump) []Target {
	out := make([]Target, 0, len(d.TargetStates()))
	for _, e := range d.TargetStates() {
		out = append(out, targetForm(now, e))
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Service+out[i].Node+out[i].Address < out[j].Service+out[j].Node+out[j].Address
	})
	return out
}

func targetForm(now time.Time, e balance.TargetState) Target {
	t, r := e.Target(), e.Report()
	form := Target{
		Service: t.Service(), Node: t.ID().Node(), Address: t.ID().Address(), DataCentre: t.Locality().DataCentre(),
		Outstanding: e.Outstanding(), Limit: r.Limit(), InFlight: r.InFlight(), Queued: r.Queued(),
		LatencyMicros: r.Latency().Microseconds(), AgeMillis: -1, Failing: r.Failing(), Closed: r.Closed(),
	}
	if !e.ReportedAt().IsZero() {
		form.AgeMillis = now.Sub(e.ReportedAt()).Milliseconds()
	}
	return form
}

func budgetForms(d route.Dump) []Budget {
	out := make([]Budget, 0, len(d.Services()))
	for name, s := range d.Services() {
		out = append(out, Budget{
			Service: name, RetryTokens: s.RetryTokens(), HedgeTokens: s.HedgeTokens(),
			Retried: s.Retried(), Hedged: s.Hedged(), Denied: s.Denied(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}
