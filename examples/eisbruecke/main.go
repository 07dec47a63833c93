// Command eisbruecke prints the configuration documents of the fleet at
// Innsbruck, or writes them into a directory with --out.
package main

import (
	"os"

	"github.com/limpetdock/limpetdock/examples/deployments"
)

func main() {
	os.Exit(deployments.Main("eisbruecke", deployments.Eisbruecke, os.Args[1:], os.Stdout, os.Stderr))
}
