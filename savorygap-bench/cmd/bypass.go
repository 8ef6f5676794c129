package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/bypass"
)

func bypassCommand(stdout io.Writer) *cli.Command {
	var loads []float64
	var seeds int
	return &cli.Command{
		Name:  "bypass",
		Usage: "measure the queueing times of one server with and without cheap requests overtaking long ones",
		Flags: []cli.Flag{
			&cli.Float64SliceFlag{Name: "load", Usage: "percent of capacity", Value: []float64{80, 95, 120}, Destination: &loads},
			&cli.IntFlag{Name: "seeds", Value: 3, Destination: &seeds},
		},
		Action: func(context.Context, *cli.Command) error {
			return bypass.Run(stdout, loads, seeds)
		},
	}
}
