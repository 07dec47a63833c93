package attempt_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated histories, so that every run of the tests
// checks the same ones.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.checks": "6000", "rapid.steps": "80",
	} {
		if current := flag.Lookup(name); current.Value.String() == current.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
