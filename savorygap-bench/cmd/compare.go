package cmd

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/compare"
)

func compareCommand(stdout io.Writer) *cli.Command {
	var policies []string
	var loads []float64
	var seeds int
	var length time.Duration
	return &cli.Command{
		Name:  "compare",
		Usage: "compare the load-balancing policies",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: []string{"adaptive", "adaptive-all", "power-of-two", "least-reported", "round-robin", "random"}, Destination: &policies},
			&cli.Float64SliceFlag{Name: "load", Usage: "percent of capacity", Value: []float64{50, 80, 95, 100, 120}, Destination: &loads},
			&cli.IntFlag{Name: "seeds", Value: 10, Destination: &seeds},
			&cli.DurationFlag{Name: "for", Usage: "length of each run", Value: 5 * time.Second, Destination: &length},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return compare.Run(ctx, stdout, compare.NewOptions(policies, loads, seeds, length))
		},
	}
}
