package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func checkCommand(stdout io.Writer) *cli.Command {
	o := &options{}
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and report the first error",
		Flags: o.flags(),
		Action: func(context.Context, *cli.Command) error {
			if _, err := o.load(); err != nil {
				return err
			}
			_, err := fmt.Fprintf(stdout, "%s: settings are sound\n", o.settingsFile)
			return err
		},
	}
}
