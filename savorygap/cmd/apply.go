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
	maxAttempts = 4
	retryDelay  = 500 * time.Millisecond
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
		Usage: "create or update the resources of a YAML file",
		Flags: append(a.flags(), &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML file, - for standard input", Required: true, Destination: &a.file}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			resources, err := readResources(a.file, s.in)
			if err != nil {
				return err
			}
			return applyChange(ctx, o, s, a, resources, nil)
		},
	}
}

func (a *applyOptions) flags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "revision", Usage: "make the change only if this is the current revision", Value: -1, Destination: &a.revision},
		&cli.BoolFlag{Name: "dry-run", Usage: "validate the change without making it", Destination: &a.dryRun},
		&cli.StringFlag{Name: "id", Usage: "operation ID; give the same one to retry a change", Destination: &a.id},
		&cli.DurationFlag{Name: "wait", Usage: "wait up to this long until all nodes run the new revision", Destination: &a.wait},
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

// applyChange sends a change and prints the new revision. With the flag wait, it
// then waits until all nodes run that revision.
func applyChange(ctx context.Context, o *options, s streams, a *applyOptions, puts []document.Resource, deletes []document.Key) error {
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
	result, err := sendChange(ctx, client, change, expected, a.dryRun)
	if err != nil {
		return fmt.Errorf("change %q: %w", a.id, err)
	}
	if a.dryRun {
		_, err = fmt.Fprintf(s.out, "valid; would become revision %d\n", result.Revision)
		return err
	}
	if _, err := fmt.Fprintf(s.out, "revision %d accepted\n", result.Revision); err != nil {
		return err
	}
	if a.wait > 0 {
		return awaitRevision(ctx, client, s, result.Revision, a.wait)
	}
	return nil
}

// sendChange sends a change until its outcome is known, at most maxAttempts times.
// A change with a given operation ID is made only once, so that a retry is safe.
func sendChange(ctx context.Context, client *operator.Client, c document.Change, expected *uint64, dryRun bool) (operator.ResultForm, error) {
	var result operator.ResultForm
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(retryDelay)
		}
		result, err = client.Apply(ctx, c, expected, dryRun)
		var responseErr *operator.ResponseError
		if err == nil || (errors.As(err, &responseErr) && responseErr.Problem().Code != "unsettled") {
			return result, err
		}
	}
	return result, err
}
