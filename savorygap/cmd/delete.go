package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/document"
	"savorygap.example/lib/wire"
)

func deleteCommand(o *options, s streams) *cli.Command {
	a := &applyOptions{}
	return &cli.Command{
		Name: "delete", Usage: "delete resources", ArgsUsage: "KIND/NAME ...", Flags: a.flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return &usageError{message: "name a resource, such as service/logview"}
			}
			var deletes []document.Key
			for _, text := range c.Args().Slice() {
				deletes = append(deletes, wire.ParseKey(text))
			}
			return applyChange(ctx, o, s, a, nil, deletes)
		},
	}
}
