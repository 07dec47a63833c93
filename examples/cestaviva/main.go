// Command cestaviva prints the configuration documents of the Cesta Viva fleet.
// With --out it writes them to a directory instead.
package main

import (
	"os"

	"github.com/limpetdock/limpetdock/examples/deployments"
)

func main() {
	os.Exit(deployments.Main("cestaviva", deployments.CestaViva, os.Args[1:], os.Stdout, os.Stderr))
}
