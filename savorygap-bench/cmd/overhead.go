package cmd

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/overhead"
)

func overheadCommand(stdout io.Writer) *cli.Command {
	var transports []string
	var length time.Duration
	var seed uint64
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the latency and cost that two nodes add to a call",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "transport", Usage: "tcp or quic", Value: []string{"tcp", "quic"}, Destination: &transports},
			&cli.DurationFlag{Name: "for", Usage: "length of each case", Value: 10 * time.Second, Destination: &length},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the request schedule", Value: 1, Destination: &seed},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return overhead.Run(ctx, stdout, overhead.NewOptions(transports, length, seed))
		},
	}
}
