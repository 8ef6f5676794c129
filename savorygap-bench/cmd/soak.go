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
	var rounds, subnet int
	var binary, only string
	return &cli.Command{
		Name:  "soak",
		Usage: "run nodes against a fake platform under random faults, and check every request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "name of the one fault that is injected; all operations if empty", Destination: &only},
			&cli.DurationFlag{Name: "for", Usage: "length of the soak", Value: time.Minute, Destination: &length},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the faults and the load", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "rounds", Usage: "number of rounds of six hosts", Value: 1, Destination: &rounds},
			&cli.IntFlag{Name: "subnet", Usage: "third byte of all addresses", Value: 30, Destination: &subnet},
			&cli.StringFlag{Name: "node", Usage: "path of the node binary, which is built if empty", Destination: &binary},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return soak.Run(ctx, stdout, soak.NewOptions(length, seed).WithRounds(rounds).WithSubnet(subnet).WithBinary(binary).WithOnly(only))
		},
	}
}
