// Package cmd implements the commands of savorygap-node, one per file.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// settingsVariable is the environment variable with the path of the settings file.
const settingsVariable = "SAVORYGAP_SETTINGS"

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	app := &cli.Command{
		Name:           "savorygap-node",
		Usage:          "load balancer node for a host of a platform with a metadata store",
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       []*cli.Command{runCommand(stdout), checkCommand(stdout), checkConfigCommand(stdout, stderr)},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(context.Background(), args)
	var exit *exitCodeError
	if errors.As(err, &exit) {
		return exit.code
	}
	if err != nil {
		fmt.Fprintf(stderr, "savorygap-node: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func settingsFlag(path *string) cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Usage: "path of the settings file", Value: os.Getenv(settingsVariable), Destination: path,
	}
}
