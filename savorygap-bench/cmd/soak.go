package cmd

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/soak"
)

func soakCommand(stdout io.Writer) *cli.Command {
	var length time.Duration
	var seed uint64
	return &cli.Command{
		Name:  "soak",
		Usage: "send load while random faults come and go, and account for every request",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long", Value: 10 * time.Minute, Destination: &length},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of faults and load", Value: 1, Destination: &seed},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return soak.Run(ctx, stdout, soak.NewOptions(length, seed))
		},
	}
}
