// Command limpetdockd is the node that runs beside each backend server.
package main

import (
	"os"

	"github.com/limpetdock/limpetdock/internal/node"
)

func main() { os.Exit(node.Main(os.Args[1:])) }
