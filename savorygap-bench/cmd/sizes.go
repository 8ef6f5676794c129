package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/sizes"
)

func sizesCommand(stdout io.Writer) *cli.Command {
	var nodes []int
	return &cli.Command{
		Name:  "sizes",
		Usage: "measure the memory and CPU time that the state of a node takes in large fleets",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "nodes", Value: []int{600, 1800, 5100}, Destination: &nodes}},
		Action: func(context.Context, *cli.Command) error {
			return sizes.Run(stdout, nodes)
		},
	}
}
