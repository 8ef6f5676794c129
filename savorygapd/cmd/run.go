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

	"savorygap.example/savorygapd/internal/local"
	"savorygap.example/savorygapd/internal/logs"
	"savorygap.example/savorygapd/internal/pipeline"
	"savorygap.example/savorygapd/internal/process"
)

const (
	signalBuffer    = 4
	gcPercent       = 200      // percent of the live heap
	softMemoryLimit = 48 << 20 // bytes, above which the garbage collector runs more often
)

func runCommand(stderr io.Writer) *cli.Command {
	o := &options{}
	return &cli.Command{
		Name:  "run",
		Usage: "run the node until it receives SIGTERM or SIGINT",
		Flags: o.flags(),
		Action: func(context.Context, *cli.Command) error {
			return run(o, stderr)
		},
	}
}

func run(o *options, stderr io.Writer) error {
	tree, err := o.load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimit)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	p, err := process.New(tree, logs.New(stderr, tree), clockwork.NewRealClock())
	if err != nil {
		return err
	}
	if err := pipeline.Run(p); err != nil {
		return err
	}
	p.Wait(signals, func() { local.LogStateDump(p) })
	return nil
}
