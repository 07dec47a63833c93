// Command backend simulates a backend server in tests and the demo. It has
// slots and a service time and records each run in a ledger file. PUT /-/set
// changes its behaviour, for example to simulate faults. It is not part of a
// release.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Listen    string  `long:"listen" required:"true"`
	Name      string  `long:"name" default:"backend"`
	Slots     int     `long:"slots" default:"6"`
	ServiceMs float64 `long:"service-ms" default:"5"`
	Ledger    string  `long:"ledger" description:"append-only NDJSON file"`
	Entry     string  `long:"entry" description:"callers' address of the node beside it, for call chains"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	b, err := newBackend(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", b.waitWhileFrozen(b.health))
	mux.HandleFunc("GET /load", b.waitWhileFrozen(b.load))
	mux.HandleFunc("PUT /-/set", b.set)
	mux.HandleFunc("PUT /-/release", b.release)
	mux.HandleFunc("/", b.waitWhileFrozen(b.serve))
	if err := http.ListenAndServe(opts.Listen, mux); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
