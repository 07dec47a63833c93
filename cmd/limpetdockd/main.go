// Command limpetdockd is the node that runs beside each backend server.
package main

import (
	"os"

	mesh "github.com/limpetdock/limpetdock/internal/mesh/node"
	"github.com/limpetdock/limpetdock/internal/node"
	"github.com/limpetdock/limpetdock/platform"
)

// meshWord as the first argument runs a node of a deployment whose targets
// register themselves, on the platform of package platform.
const meshWord = "mesh"

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == meshWord {
		os.Exit(mesh.Main(args[1:], platform.Adapter))
	}
	os.Exit(node.Main(args))
}
