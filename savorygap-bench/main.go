// Command savorygap-bench runs stand-ins, load and experiments against real
// node processes on loopback.
package main

import (
	"os"

	"savorygap.example/savorygap-bench/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdout, os.Stderr))
}
