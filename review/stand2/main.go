package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 112 * time.Second

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("node", "", "the program of the node")
	path := flag.String("record", "", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	flag.Parse()
	os.Exit(run(*name, *binary, *path, *trouble))
}

func run(name, binary, path string, trouble bool) int {
	cases := map[string]func(*fleet, bool) error{"quota": playQuota, "budget": playBudget, "config": playConfig}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return statusFailed
	}
	f, err := newFleet(binary, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	ended := make(chan error, 1)
	go func() { ended <- play(f, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(maxDuration):
		err = errors.New("the case took too long")
	}
	f.stop()
	switch {
	case err == nil:
		f.record.note("result: the rule held")
	case errors.Is(err, errBroken):
		f.record.note("result: %v", err)
	default:
		f.record.note("result: the case could not run: %v", err)
	}
	f.record.close()
	switch {
	case err == nil:
		return statusHeld
	case errors.Is(err, errBroken):
		return statusBroken
	}
	return statusFailed
}
