// Command savorygap-bench runs fake servers, load and experiments against node
// processes on loopback.
package main

import (
	"os"

	"savorygap.example/savorygap-bench/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdout, os.Stderr))
}
