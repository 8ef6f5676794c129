// Package cmd holds the commands of savorygapd, one file each.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	app := &cli.Command{
		Name:      "savorygapd",
		Usage:     "load balancer node for a host with servers",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  []*cli.Command{runCommand(stderr), checkCommand(stdout), defaultsCommand(stdout), chartsCommand(stdout)},

		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintf(stderr, "savorygapd: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}
