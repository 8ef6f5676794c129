package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func auditCommand(o *options, s streams) *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "list the recorded changes and their authors",
		Action: func(ctx context.Context, _ *cli.Command) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			form, err := client.Audit(ctx)
			if err != nil {
				return err
			}
			if o.output != "table" {
				return printForm(s.out, o.output, form)
			}
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "REVISION\tAT\tAUTHOR\tCHANGED\tID")
			for _, op := range form.Operations {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", op.Revision, op.At.UTC().Format("2006-01-02T15:04:05Z"), op.Author, strings.Join(op.Changed, ", "), op.ID)
			}
			return t.Flush()
		},
	}
}
