package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygapd/internal/pipeline"
	"savorygap.example/savorygapd/internal/settings"
)

func defaultsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "defaults",
		Usage: "print a settings file with all defaults",
		Action: func(context.Context, *cli.Command) error {
			tree := &settings.Tree{}
			pipeline.Default(tree)
			text, err := settings.Format(tree)
			if err != nil {
				return err
			}
			_, err = stdout.Write(text)
			return err
		},
	}
}
