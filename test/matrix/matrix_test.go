// Package matrix_test runs the fault matrix: each fault at each step of a
// request, with real processes.
package matrix_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/deploy"
	"github.com/limpetdock/limpetdock/standin/matrix"
)

var (
	write = flag.String("matrix.write", "", "file for the table")
	pairs = flag.Bool("matrix.pairs", false, "run pairs of faults as well")
)

func start(t *testing.T) *matrix.Runner {
	t.Helper()
	bin := t.TempDir()
	require.NoError(t, deploy.Build(bin))
	octet, release, err := deploy.FreeNet()
	require.NoError(t, err)
	t.Cleanup(release)
	d, err := deploy.New(deploy.Options{
		Bin: bin, Out: filepath.Join(t.TempDir(), "out"), Net: octet, Fleet: matrix.Fleet(1), ServiceMs: 2,
	})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	require.NoError(t, d.Start(t.Context()))
	require.NoError(t, d.WaitReady(t.Context()))
	return matrix.NewRunner(d)
}

// A caller's request is at some step when something breaks. Whatever the step
// and the fault, its answer is its own or visibly none, "not run" is true, and an
// at-most-once request runs at most once.
func TestEachFaultAtEachStep(t *testing.T) {
	r := start(t)
	verdicts, err := r.Run(t.Context(), matrix.Cells())
	require.NoError(t, err)
	report(t, verdicts)
	if *write != "" {
		require.NoError(t, os.WriteFile(*write, []byte(matrix.Markdown(verdicts)), 0o644))
	}
}

// Two things break at once.
func TestPairsOfFaults(t *testing.T) {
	if !*pairs {
		t.Skip("only with -matrix.pairs: it takes some minutes")
	}
	r := start(t)
	verdicts, err := r.Run(t.Context(), matrix.Pairs())
	require.NoError(t, err)
	report(t, verdicts)
}

func report(t *testing.T, verdicts []matrix.Verdict) {
	t.Helper()
	ran := 0
	for _, v := range verdicts {
		if v.Skipped == "" {
			ran++
		}
		for _, b := range v.Broken {
			t.Errorf("%s: %s", v.Cell, b)
		}
	}
	t.Logf("%d cells ran, %d don't apply", ran, len(verdicts)-ran)
}
