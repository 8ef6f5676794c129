package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/demo"
	"savorygap.example/savorygap-bench/internal/soak"
)

func demoCommand(stdout io.Writer) *cli.Command {
	var platform bool
	return &cli.Command{
		Name:  "demo",
		Usage: "run the Board's sample fleet end to end and print the outcomes of its requests",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "platform", Usage: "run savorygap-node against a fake of the users' platform", Destination: &platform},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if platform {
				return soak.RunPhases(ctx, stdout)
			}
			return demo.Run(ctx, stdout)
		},
	}
}
