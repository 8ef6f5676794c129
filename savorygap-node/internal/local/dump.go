package local

import (
	"context"

	"savorygap.example/savorygap-node/internal/process"
)

// stateForm is the written form of the state dump.
type stateForm struct {
	Server        serverForm          `json:"server"`
	Configuration configurationForm   `json:"configuration"`
	Servers       map[string][]string `json:"openServers"`
	RetryTokens   map[string]float64  `json:"retryTokens"`
	Active        int                 `json:"activeRequests"`
	Connections   int                 `json:"callerConnections"`
	LinesDropped  uint64              `json:"logLinesDropped"`
}

type serverForm struct {
	State      string  `json:"state"`
	DataCentre string  `json:"dataCentre"`
	Instance   string  `json:"instance"`
	Slots      int     `json:"slots"`
	InUse      int     `json:"inUse"`
	InLine     int     `json:"inLine"`
	Idle       int     `json:"idleConnections"`
	Slowness   float64 `json:"slowness"`
}

type configurationForm struct {
	State     string   `json:"state"`
	Version   uint64   `json:"version"`
	Evacuated []string `json:"evacuated"`
	Members   int      `json:"members"`
	Links     int      `json:"links"`
}

// stateOf asks each task for its state.
func stateOf(ctx context.Context, p *process.Process) stateForm {
	k, f, r := p.ServerProxy().Dump(ctx), p.Fleet().Dump(ctx), p.Router().Dump(ctx)
	return stateForm{
		Server: serverForm{
			State: k.State(), DataCentre: k.DataCentre(), Instance: k.Instance(), Slots: k.Slots(),
			InUse: k.InUse(), InLine: k.QueueLen(), Idle: k.Idle(), Slowness: k.Slowness(),
		},
		Configuration: configurationForm{State: f.State(), Version: f.Version(), Evacuated: f.Evacuated(), Members: f.Members(), Links: f.Links()},
		Servers:       r.Servers(), RetryTokens: r.RetryTokens(), Active: p.Router().ActiveRequests(), Connections: p.Frontend().OpenConnections(),
		LinesDropped: p.Log().Dropped(),
	}
}
