// Command cestaviva prints the configuration documents of Cesta Viva's fleet.
package main

import (
	"fmt"
	"os"

	"github.com/limpetdock/limpetdock/examples/deployments"
)

func main() {
	pub, err := deployments.CestaViva(1).Print()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, doc := range pub.Services {
		fmt.Printf("; key: %s\n%s\n", doc.Key, doc.Text)
	}
	fmt.Printf("; key: %s\n%s", pub.Index.Key, pub.Index.Text)
}
