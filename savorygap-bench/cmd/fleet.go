package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/demo"
)

func fleetCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "run the Board's sample fleet until interrupted",
		Action: func(ctx context.Context, _ *cli.Command) error {
			f, err := demo.Start(ctx, stdout)
			if err != nil {
				return err
			}
			defer f.Stop()
			fmt.Fprintf(stdout, "keys, settings and logs are in %s\n", f.Dir())
			for _, h := range f.Hosts() {
				fmt.Fprintf(stdout, "%s in %s: callers %s, operators %s, local %s, process %d\n",
					h.Name(), h.DataCentre(), h.CallerAddress(), h.OperatorAddress(), h.LocalAddress(), h.PID())
			}
			<-ctx.Done()
			return nil
		},
	}
}
