// Command cestaviva prints the configuration documents of Cesta Viva's fleet,
// or writes them into a directory with --out.
package main

import (
	"os"

	"github.com/limpetdock/limpetdock/examples/deployments"
)

func main() {
	os.Exit(deployments.Main("cestaviva", deployments.CestaViva, os.Args[1:], os.Stdout, os.Stderr))
}
