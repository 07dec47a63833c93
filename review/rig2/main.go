// Command rig2 plays the scripted cases of the second review: it starts the project's own nodes as
// separate processes on loopback addresses, beside stand-ins of the store, the backend servers and
// the clients. It is not part of a release.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"large-uploads":      largeUploads,
	"late-answers":       lateAnswers,
	"reset-answers":      resetAnswers,
	"unreadable-entries": unreadableEntries,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	code, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	rec.say("trouble %v, exit %d", trouble, code)
	return code
}

func envInt(name string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return otherwise
}
