package cmd

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"savorygap.example/lib/chart"
)

func chartsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "charts",
		Usage: "print the state charts as a Markdown page with diagrams",
		Action: func(context.Context, *cli.Command) error {
			set, err := chart.Embedded()
			if err != nil {
				return err
			}
			_, err = io.WriteString(stdout, chart.MarkdownPage(set))
			return err
		},
	}
}
