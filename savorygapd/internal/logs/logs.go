// Package logs writes JSON lines.
package logs

import (
	"io"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const defaultLevel = "info"

// String names the step.
func String() string { return "logs" }

// Default fills the settings.
func Default(t *settings.Tree) { t.SetLogLevel(defaultLevel) }

// New returns a logger of JSON lines at the level in the settings.
func New(w io.Writer, t *settings.Tree) kitlog.Logger {
	logger := kitlog.NewJSONLogger(kitlog.NewSyncWriter(w))
	logger = kitlog.With(logger, "time", kitlog.DefaultTimestampUTC, "host", t.Host())
	return level.NewFilter(logger, allowed(t.LogLevel()))
}

func allowed(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return level.AllowInfo()
}

// Run logs that the process starts.
func Run(p *process.Process) error {
	t := p.Settings()
	return level.Info(p.Logger()).Log("event", "start", "dataCentre", t.DataCentre(), "region", t.Region(), "epoch", p.StartedAt().UnixNano())
}
