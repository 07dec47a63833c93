// Command limpetdockd is the node that runs beside each backend server.
package main

import (
	"os"

	mesh "github.com/limpetdock/limpetdock/internal/mesh/node"
	"github.com/limpetdock/limpetdock/internal/node"
	"github.com/limpetdock/limpetdock/platform"
)

// meshCommand is the first argument that selects a mesh node: a node of a
// deployment whose targets register themselves in the store that package platform
// connects to.
const meshCommand = "mesh"

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == meshCommand {
		os.Exit(mesh.Main(args[1:], platform.Adapter))
	}
	os.Exit(node.Main(args))
}
