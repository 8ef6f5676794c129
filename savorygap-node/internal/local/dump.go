package local

import (
	"context"

	"savorygap.example/savorygap-node/internal/process"
)

// stateJSON is the encoding of the state dump.
type stateJSON struct {
	Server            serverJSON          `json:"server"`
	Configuration     configurationJSON   `json:"configuration"`
	OpenServers       map[string][]string `json:"openServers"`
	RetryTokens       map[string]float64  `json:"retryTokens"`
	ActiveRequests    int                 `json:"activeRequests"`
	CallerConnections int                 `json:"callerConnections"`
	LogLinesDropped   uint64              `json:"logLinesDropped"`
}

type serverJSON struct {
	State           string  `json:"state"`
	DataCentre      string  `json:"dataCentre"`
	Instance        string  `json:"instance"`
	Slots           int     `json:"slots"`
	InUse           int     `json:"inUse"`
	Queued          int     `json:"inLine"`
	IdleConnections int     `json:"idleConnections"`
	Slowness        float64 `json:"slowness"`
	RateLimit       float64 `json:"rateLimit"`
}

type configurationJSON struct {
	State     string   `json:"state"`
	Version   uint64   `json:"version"`
	Evacuated []string `json:"evacuated"`
	Members   int      `json:"members"`
	Links     int      `json:"links"`
}

// dumpState collects the state of all tasks.
func dumpState(ctx context.Context, p *process.Process) stateJSON {
	s, f, r := p.ServerProxy().Dump(ctx), p.Fleet().Dump(ctx), p.Router().Dump(ctx)
	return stateJSON{
		Server: serverJSON{
			State: s.State(), DataCentre: s.DataCentre(), Instance: s.Instance(), Slots: s.Slots(),
			InUse: s.InUse(), Queued: s.QueueLen(), IdleConnections: s.IdleConnections(), Slowness: s.Slowness(),
			RateLimit: s.RateLimit(),
		},
		Configuration: configurationJSON{State: f.State(), Version: f.Version(), Evacuated: f.Evacuated(), Members: f.Members(), Links: f.Links()},
		OpenServers:   r.Servers(), RetryTokens: r.RetryTokens(), ActiveRequests: p.Router().ActiveRequests(), CallerConnections: p.Frontend().OpenConnections(),
		LogLinesDropped: p.Log().Dropped(),
	}
}
