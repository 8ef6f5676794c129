package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/demo"
)

func demoCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the Board's sample fleet end to end and print what happened",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return demo.Run(ctx, stdout)
		},
	}
}
