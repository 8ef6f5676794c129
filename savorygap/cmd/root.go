// Package cmd holds the commands of savorygap, one file each.
//
// Exit codes: 0 success; 1 failure; 2 invalid command line or resource; 3 conflict
// with another operator's change; 4 the store cannot be reached, nothing was
// changed; 5 it is not known whether the change was made; 6 the resource does not
// exist.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
)

// Exit codes.
const (
	exitOK               = 0
	exitFailed           = 1
	exitInvalid          = 2
	exitConflict         = 3
	exitStoreUnavailable = 4
	exitUnknownOutcome   = 5
	exitNotFound         = 6
)

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	s := streams{in: in, out: out, err: errOut}
	o := &options{}
	app := &cli.Command{
		Name: "savorygap", Usage: "manage the services, data centres, branches and rules of the load balancer",
		Writer: out, ErrWriter: errOut, Flags: o.flags(), EnableShellCompletion: true,
		Commands: []*cli.Command{
			applyCommand(o, s), getCommand(o, s), deleteCommand(o, s), watchCommand(o, s),
			statusCommand(o, s), auditCommand(o, s), dumpCommand(s), keysCommand(s), dataCentreCommand(o, s),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintf(errOut, "savorygap: %v\n", err)
		printConflict(errOut, err)
		return exitCode(err)
	}
	return exitOK
}

// printConflict lists the fields in which a rejected change and the configuration in
// force differ, and the revision to base the next attempt on.
func printConflict(w io.Writer, err error) {
	var responseErr *operator.ResponseError
	if !errors.As(err, &responseErr) {
		return
	}
	for _, d := range responseErr.Problem().Differences {
		fmt.Fprintf(w, "  %s %s: in force %q, wanted %q\n", d.Resource, d.Field, d.Have, d.Want)
	}
	if responseErr.Problem().Code == "conflict" {
		fmt.Fprintf(w, "Read the resources again with \"savorygap get\" and apply with --revision %d.\n", responseErr.Problem().Actual)
	}
}

func exitCode(err error) int {
	var invalidErr *document.InvalidError
	var usageErr *usageError
	var responseErr *operator.ResponseError
	switch {
	case errors.As(err, &invalidErr), errors.As(err, &usageErr):
		return exitInvalid
	case errors.As(err, &responseErr):
		return exitCodeOfStatus(responseErr.Status())
	}
	return exitFailed
}

func exitCodeOfStatus(status int) int {
	switch status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusServiceUnavailable:
		return exitStoreUnavailable
	case http.StatusGatewayTimeout:
		return exitUnknownOutcome
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return exitInvalid
	}
	return exitFailed
}

// usageError reports an invalid command line or input file.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string { return e.message }
