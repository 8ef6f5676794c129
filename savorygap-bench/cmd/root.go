// Package cmd implements the command line of savorygap-bench. Each command has a file
// of its own.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	app := &cli.Command{
		Name: "savorygap-bench", Usage: "fake servers, load generation and experiments against node processes on loopback",
		Writer: stdout, ErrWriter: stderr, EnableShellCompletion: true,
		Commands:       []*cli.Command{demoCommand(stdout), storeCommand(stdout), serverCommand(stdout), fleetCommand(stdout), overheadCommand(stdout), compareCommand(stdout), scaleCommand(stdout), soakCommand(stdout), sizesCommand(stdout), bypassCommand(stdout)},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := app.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "savorygap-bench: %v\n", err)
		return exitFailed
	}
	return exitOK
}
