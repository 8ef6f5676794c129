package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-node/internal/pipeline"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

const (
	signalBuffer = 4
	// gcPercent is below Go's default of 100, since small hosts have less memory than
	// processor time to spare.
	gcPercent = 40
	// softMemoryLimitRatio is the fraction of the memory limit above which the garbage
	// collector runs more often.
	softMemoryLimitRatio = 0.6
)

func runCommand(stdout io.Writer) *cli.Command {
	var path string
	return &cli.Command{
		Name:  "run",
		Usage: "run the node until it receives SIGTERM or SIGINT",
		Flags: []cli.Flag{settingsFlag(&path)},
		Action: func(context.Context, *cli.Command) error {
			return run(path, stdout)
		},
	}
}

func run(path string, stdout io.Writer) error {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	tree, err := settings.Read(path)
	if err != nil {
		return err
	}
	pipeline.Default(tree)
	if limit := tree.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(limit)))
	}
	p, err := process.New(tree, stdout, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	if err := pipeline.Run(p); err != nil {
		p.Stop()
		return err
	}
	p.Wait(signals, func() error {
		_, err := settings.Read(path)
		return err
	})
	return nil
}
