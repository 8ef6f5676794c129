package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	dumpTimeout  = 10 * time.Second
	maxDumpBytes = 64 << 20
)

func dumpCommand(s streams) *cli.Command {
	var address string
	return &cli.Command{
		Name: "dump", Usage: "print the state dump of the node on this host",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "local", Usage: "host:port of the node's local listener", Value: "127.0.0.1:7003",
			Sources: cli.EnvVars("SAVORYGAP_LOCAL"), Destination: &address,
		}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
			if err != nil {
				return err
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("node answers %s", response.Status)
			}
			_, err = io.Copy(s.out, io.LimitReader(response.Body, maxDumpBytes))
			return err
		},
	}
}
