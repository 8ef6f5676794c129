package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
)

// dataCentreCommand takes a data centre out of service and back.
func dataCentreCommand(o *options, s streams) *cli.Command {
	move := func(name, usage string, out bool) *cli.Command {
		a := &applyOptions{}
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME", Flags: a.flags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				return moveDataCentre(ctx, o, s, a, c.Args().First(), out)
			},
		}
	}
	return &cli.Command{
		Name: "datacentre", Usage: "take a data centre out of service and back",
		Commands: []*cli.Command{
			move("out", "no server there receives new work", true),
			move("in", "servers there receive work again, starting cold", false),
		},
	}
}

func moveDataCentre(ctx context.Context, o *options, s streams, a *applyOptions, name string, out bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	r, err := client.Get(ctx, document.NewKey(document.KindDataCentre, name))
	if err != nil {
		return fmt.Errorf("data centre %q: %w", name, err)
	}
	dc, _ := r.DataCentre()
	moved := document.DataCentreResource(document.NewDataCentre(dc.Name(), dc.Region(), out))
	return makeChange(ctx, o, s, a, []document.Resource{moved}, nil)
}
