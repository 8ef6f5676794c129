package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/operator"
)

func watchCommand(o *options, s streams) *cli.Command {
	var after uint64
	var count int
	return &cli.Command{
		Name: "watch", Usage: "show each new revision and how many nodes run it",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "after", Usage: "resume after this revision", Destination: &after},
			&cli.IntFlag{Name: "count", Usage: "stop after this many revisions", Destination: &count},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			seen := 0
			return client.Watch(ctx, after, func(e operator.EventForm) bool {
				showEvent(ctx, client, o, s, e)
				seen++
				return count == 0 || seen < count
			})
		},
	}
}

func showEvent(ctx context.Context, client *operator.Client, o *options, s streams, e operator.EventForm) {
	if o.output != "table" {
		_ = printForm(s.out, o.output, e)
		return
	}
	for _, op := range e.Operations {
		fmt.Fprintf(s.out, "revision %d: %s by %s\n", op.Revision, strings.Join(op.Changed, ", "), op.Author)
	}
	if status, err := client.Status(ctx); err == nil {
		fmt.Fprintf(s.out, "revision %d: in force at %d of %d nodes\n", e.Revision, status.UpToDate, status.Nodes)
	}
}
