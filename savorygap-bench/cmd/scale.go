package cmd

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/scale"
)

func scaleCommand(stdout io.Writer) *cli.Command {
	var sizes []int
	var idle time.Duration
	return &cli.Command{
		Name:  "scale",
		Usage: "measure the control traffic and failure detection of fleets of several sizes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{8, 24, 72}, Destination: &sizes},
			&cli.DurationFlag{Name: "idle", Usage: "how long each fleet is watched while idle", Value: 20 * time.Second, Destination: &idle},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return scale.Run(ctx, stdout, scale.NewOptions(sizes, idle))
		},
	}
}
