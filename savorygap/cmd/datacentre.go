package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
)

// dataCentreCommand returns the command that takes a data centre out of service or
// puts it back.
func dataCentreCommand(o *options, s streams) *cli.Command {
	stateCommand := func(name, usage string, outOfService bool) *cli.Command {
		a := &applyOptions{}
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME", Flags: a.flags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				return setDataCentreState(ctx, o, s, a, c.Args().First(), outOfService)
			},
		}
	}
	return &cli.Command{
		Name: "datacentre", Usage: "take a data centre out of service or put it back",
		Commands: []*cli.Command{
			stateCommand("out", "stop sending new requests to the servers of a data centre", true),
			stateCommand("in", "send requests to the servers of a data centre again; they start cold", false),
		},
	}
}

func setDataCentreState(ctx context.Context, o *options, s streams, a *applyOptions, name string, outOfService bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	r, err := client.Get(ctx, document.NewKey(document.KindDataCentre, name))
	if err != nil {
		return fmt.Errorf("data centre %q: %w", name, err)
	}
	dc, _ := r.DataCentre()
	changed := document.DataCentreResource(document.NewDataCentre(dc.Name(), dc.Region(), outOfService))
	return applyChange(ctx, o, s, a, []document.Resource{changed}, nil)
}
