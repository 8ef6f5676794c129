// Command savorygapd is the node process that runs on every host with servers.
package main

import (
	"os"

	"savorygap.example/savorygapd/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdout, os.Stderr))
}
