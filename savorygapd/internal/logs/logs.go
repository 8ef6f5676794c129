// Package logs creates the logger of the process, which writes JSON lines.
package logs

import (
	"io"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const defaultLevel = "info"

// String returns the name of the step.
func String() string { return "logs" }

// Default sets the log level, unless it is set.
func Default(t *settings.Tree) { t.SetLogLevel(defaultLevel) }

// New returns a logger that writes JSON lines to w, from the level of the settings
// upwards.
func New(w io.Writer, t *settings.Tree) kitlog.Logger {
	logger := kitlog.NewJSONLogger(kitlog.NewSyncWriter(w))
	logger = kitlog.With(logger, "time", kitlog.DefaultTimestampUTC, "host", t.Host())
	return level.NewFilter(logger, levelFilter(t.LogLevel()))
}

func levelFilter(name string) level.Option {
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

// Run logs the start of the process.
func Run(p *process.Process) error {
	t := p.Settings()
	return level.Info(p.Logger()).Log("event", "start", "dataCentre", t.DataCentre(), "region", t.Region(), "epoch", p.StartedAt().UnixNano())
}
