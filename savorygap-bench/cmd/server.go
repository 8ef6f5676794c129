package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygap-bench/internal/servertest"
)

type serverOptions struct {
	listen      string
	node        string
	service     string
	slots       int
	serviceTime time.Duration
	coldStart   time.Duration
}

func serverCommand(stdout io.Writer) *cli.Command {
	o := &serverOptions{}
	return &cli.Command{
		Name:  "server",
		Usage: "run a fake server that announces itself to the node on its host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "host:port", Value: "127.0.0.1:8000", Destination: &o.listen},
			&cli.StringFlag{Name: "node", Usage: "host:port of the node's local listener", Value: "127.0.0.1:7003", Destination: &o.node},
			&cli.StringFlag{Name: "service", Usage: "service to announce", Required: true, Destination: &o.service},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that the server takes at once", Value: 12, Destination: &o.slots},
			&cli.DurationFlag{Name: "time", Usage: "mean service time", Value: 10 * time.Millisecond, Destination: &o.serviceTime},
			&cli.DurationFlag{Name: "cold", Usage: "length of the cold start", Destination: &o.coldStart},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s := servertest.New(servertest.NewProfile(o.slots, o.serviceTime).WithColdStart(o.coldStart), 1)
			go s.Run(ctx)
			go servertest.NewAnnouncer(o.node, o.service, o.listen, o.slots, 200).Run(ctx)
			fmt.Fprintf(stdout, "server of service %s listens on %s\n", o.service, o.listen)
			return serve(ctx, o.listen, s.Handler())
		},
	}
}
