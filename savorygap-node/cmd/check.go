package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-node/internal/pipeline"
	"savorygap.example/savorygap-node/internal/settings"
)

func checkCommand(stdout io.Writer) *cli.Command {
	var path string
	return &cli.Command{
		Name:  "check",
		Usage: "check the settings file and print the effective settings",
		Flags: []cli.Flag{settingsFlag(&path)},
		Action: func(context.Context, *cli.Command) error {
			tree, err := settings.Read(path)
			if err != nil {
				return err
			}
			pipeline.Default(tree)
			text, err := settings.Encode(tree)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(stdout, text)
			return err
		},
	}
}
