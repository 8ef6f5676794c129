// Command savorygap is the operators' command line.
package main

import (
	"os"

	"savorygap.example/savorygap/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
