// Command eisbruecke prints the configuration documents of the Innsbruck fleet.
// With --out it writes them to a directory instead.
package main

import (
	"os"

	"github.com/limpetdock/limpetdock/examples/deployments"
)

func main() {
	os.Exit(deployments.Main("eisbruecke", deployments.Eisbruecke, os.Args[1:], os.Stdout, os.Stderr))
}
