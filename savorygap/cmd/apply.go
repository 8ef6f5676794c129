package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
	"savorygap.example/lib/wire"
)

const (
	changeTries = 4
	changePause = 500 * time.Millisecond
)

type applyOptions struct {
	file     string
	revision int64
	dryRun   bool
	id       string
	wait     time.Duration
}

func applyCommand(o *options, s streams) *cli.Command {
	a := &applyOptions{}
	return &cli.Command{
		Name:  "apply",
		Usage: "write the resources of a YAML file",
		Flags: append(a.flags(), &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML file, - for standard input", Required: true, Destination: &a.file}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			resources, err := readResources(a.file, s.in)
			if err != nil {
				return err
			}
			return makeChange(ctx, o, s, a, resources, nil)
		},
	}
}

func (a *applyOptions) flags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "revision", Usage: "change only this revision", Value: -1, Destination: &a.revision},
		&cli.BoolFlag{Name: "dry-run", Usage: "check only", Destination: &a.dryRun},
		&cli.StringFlag{Name: "id", Usage: "operation id, to send a change again", Destination: &a.id},
		&cli.DurationFlag{Name: "wait", Usage: "wait until all nodes have the change in force", Destination: &a.wait},
	}
}

func readResources(file string, in io.Reader) ([]document.Resource, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(in)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	resources, err := wire.DecodeYAML(text)
	if err != nil {
		return nil, &usageError{message: fmt.Sprintf("file %q: %v", file, err)}
	}
	if len(resources) == 0 {
		return nil, &usageError{message: fmt.Sprintf("file %q holds no resource", file)}
	}
	return resources, nil
}

// makeChange sends a change until its outcome is known. The operation id makes
// sending it again safe.
func makeChange(ctx context.Context, o *options, s streams, a *applyOptions, puts []document.Resource, deletes []document.Key) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	if a.id == "" {
		a.id = uuid.NewString()
	}
	change := document.NewChange(a.id, "", time.Time{}, puts, deletes)
	var expected *uint64
	if a.revision >= 0 {
		r := uint64(a.revision)
		expected = &r
	}
	result, err := send(ctx, client, change, expected, a.dryRun)
	if err != nil {
		return fmt.Errorf("change %q: %w", a.id, err)
	}
	if a.dryRun {
		_, err = fmt.Fprintf(s.out, "sound; it would become revision %d\n", result.Revision)
		return err
	}
	if _, err := fmt.Fprintf(s.out, "revision %d accepted\n", result.Revision); err != nil {
		return err
	}
	if a.wait > 0 {
		return awaitSettled(ctx, client, s, result.Revision, a.wait)
	}
	return nil
}

func send(ctx context.Context, client *operator.Client, c document.Change, expected *uint64, dryRun bool) (operator.ResultForm, error) {
	var result operator.ResultForm
	var err error
	for try := range changeTries {
		if try > 0 {
			time.Sleep(changePause)
		}
		result, err = client.Apply(ctx, c, expected, dryRun)
		var answer *operator.ResponseError
		if err == nil || (errors.As(err, &answer) && answer.Problem().Code != "unsettled") {
			return result, err
		}
	}
	return result, err
}
