package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"savorygap.example/lib/store/storetest"
)

func storeCommand(stdout io.Writer) *cli.Command {
	var listen string
	return &cli.Command{
		Name:  "store",
		Usage: "run a fake of the platform's store",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Usage: "host:port", Value: "127.0.0.1:7600", Destination: &listen}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s := storetest.New(clockwork.NewRealClock())
			go s.Run(ctx)
			fmt.Fprintf(stdout, "fake store listens on %s\n", listen)
			return serve(ctx, listen, s.Handler())
		},
	}
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	s := &http.Server{Addr: listen, Handler: handler}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
