// Command savorygap is the command line tool for operators of the load balancer.
package main

import (
	"os"

	"savorygap.example/savorygap/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
