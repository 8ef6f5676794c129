// Command savorygap-node is the load balancer node for hosts whose platform
// provides the store, the announcements of servers and the operators'
// configuration.
package main

import (
	"os"

	"savorygap.example/savorygap-node/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args, os.Stdout, os.Stderr))
}
