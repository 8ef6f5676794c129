package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/operator"
)

const statusPollInterval = 250 * time.Millisecond

func statusCommand(o *options, s streams) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show how many nodes run the latest revision",
		Action: func(ctx context.Context, _ *cli.Command) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			form, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if o.output != "table" {
				return printForm(s.out, o.output, form)
			}
			return printStatusTable(s.out, form)
		},
	}
}

func printStatusTable(w io.Writer, f operator.StatusForm) error {
	fmt.Fprintf(w, "revision %d in force at %d of %d nodes\n", f.Revision, f.UpToDate, f.Nodes)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tSTATE\tNODES\tSETTLED\tSERVERS")
	for _, d := range f.DataCentres {
		state := "in"
		if d.OutOfService {
			state = "OUT"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", d.Name, state, d.Nodes, d.UpToDate, d.Servers)
	}
	for _, n := range f.Behind {
		fmt.Fprintf(t, "%s\tbehind: %s at revision %d\t\t\t\n", n.DataCentre, n.Name, n.Revision)
	}
	for _, name := range f.Unresponsive {
		fmt.Fprintf(t, "\tno answer: %s\t\t\t\n", name)
	}
	return t.Flush()
}

// awaitRevision polls the status until every node runs the given revision or a later
// one, or the timeout has passed.
func awaitRevision(ctx context.Context, client *operator.Client, s streams, revision uint64, timeout time.Duration) error {
	started := time.Now()
	for {
		form, err := client.Status(ctx)
		if err == nil && form.Revision >= revision && form.UpToDate == form.Nodes {
			_, err = fmt.Fprintf(s.out, "in force at all %d nodes\n", form.Nodes)
			return err
		}
		if time.Since(started) > timeout {
			return fmt.Errorf("revision %d is in force at %d of %d nodes after %s", revision, form.UpToDate, form.Nodes, timeout)
		}
		time.Sleep(statusPollInterval)
	}
}
