// Package matrix_test runs the fault matrix with real processes: every fault is
// injected at every step of a request.
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
	tablePath = flag.String("matrix.write", "", "file to write the table to")
	runPairs  = flag.Bool("matrix.pairs", false, "also run pairs of simultaneous faults")
)

// newRunner starts a deployment that stops when the test ends, and returns a runner for it.
func newRunner(t *testing.T) *matrix.Runner {
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

// Every fault is injected at every step of a caller's request. The caller must get
// the complete answer to its own request or a visible failure, a request answered
// "not run" must not have run, and an at-most-once request must run at most once.
func TestEachFaultAtEachStep(t *testing.T) {
	r := newRunner(t)
	verdicts, err := r.Run(t.Context(), matrix.Cells())
	require.NoError(t, err)
	reportVerdicts(t, verdicts)
	if *tablePath != "" {
		require.NoError(t, os.WriteFile(*tablePath, []byte(matrix.Markdown(verdicts)), 0o644))
	}
}

// Two faults occur at the same step of a request.
func TestPairsOfFaults(t *testing.T) {
	if !*runPairs {
		t.Skip("runs for several minutes; enable with -matrix.pairs")
	}
	r := newRunner(t)
	verdicts, err := r.Run(t.Context(), matrix.Pairs())
	require.NoError(t, err)
	reportVerdicts(t, verdicts)
}

// reportVerdicts fails the test for each broken guarantee and logs how many cells ran.
func reportVerdicts(t *testing.T, verdicts []matrix.Result) {
	t.Helper()
	ran := 0
	for _, v := range verdicts {
		if v.Skipped == "" {
			ran++
		}
		for _, broken := range v.Violations {
			t.Errorf("%s: %s", v.Cell, broken)
		}
	}
	t.Logf("%d cells ran, %d not applicable", ran, len(verdicts)-ran)
}
