// Package cmd holds the operators' commands, one file each.
//
// Exit codes: 0 done; 1 failed; 2 wrong use of the command line or an unsound
// resource; 3 conflict with another operator's change; 4 the store cannot be
// reached, nothing was changed; 5 it is not known whether the change was made;
// 6 the resource does not exist.
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
	exitOK        = 0
	exitFailed    = 1
	exitInvalid   = 2
	exitConflict  = 3
	exitStoreDown = 4
	exitUnsettled = 5
	exitAbsent    = 6
)

// streams are what a command reads from and writes to.
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
		Name: "savorygap", Usage: "declare services, data centres, branches and rules, and watch them settle",
		Writer: out, ErrWriter: errOut, Flags: o.flags(), EnableShellCompletion: true,
		Commands: []*cli.Command{
			applyCommand(o, s), getCommand(o, s), deleteCommand(o, s), watchCommand(o, s),
			statusCommand(o, s), auditCommand(o, s), dumpCommand(s), keysCommand(s), dataCentreCommand(o, s),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintf(errOut, "savorygap: %v\n", err)
		printDifferences(errOut, err)
		return codeOf(err)
	}
	return exitOK
}

func printDifferences(w io.Writer, err error) {
	var answer *operator.ResponseError
	if !errors.As(err, &answer) {
		return
	}
	for _, d := range answer.Problem().Differences {
		fmt.Fprintf(w, "  %s %s: in force %q, wanted %q\n", d.Resource, d.Field, d.Have, d.Want)
	}
	if answer.Problem().Code == "conflict" {
		fmt.Fprintf(w, "Read the resources again with \"savorygap get\" and apply with --revision %d.\n", answer.Problem().Actual)
	}
}

func codeOf(err error) int {
	var invalid *document.InvalidError
	var usage *usageError
	var answer *operator.ResponseError
	switch {
	case errors.As(err, &invalid), errors.As(err, &usage):
		return exitInvalid
	case errors.As(err, &answer):
		return codeOfStatus(answer.Status())
	}
	return exitFailed
}

func codeOfStatus(status int) int {
	switch status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusServiceUnavailable:
		return exitStoreDown
	case http.StatusGatewayTimeout:
		return exitUnsettled
	case http.StatusNotFound:
		return exitAbsent
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return exitInvalid
	}
	return exitFailed
}

// usageError reports a wrong use of the command line.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string { return e.message }
