package fleet_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

func TestOperatorPageStatesDocumentSizes(t *testing.T) {
	f := deployments.Large(1)
	pub, err := f.Print()
	require.NoError(t, err)
	require.Len(t, pub.Services, deployments.LargeServices)
	all, longest := len(pub.Index.Text), 0
	for _, doc := range pub.Services {
		all += len(doc.Text)
		longest = max(longest, len(doc.Text))
	}
	page, err := os.ReadFile("../docs/operators/declaring.md")
	require.NoError(t, err)
	row := fmt.Sprintf("| %d targets, %d services, %d zones | %d | %d | %d |",
		deployments.LargeTargets, len(f.Services), len(f.Zones), len(pub.Index.Text), longest, all)
	require.Contains(t, string(page), row, "the page states the sizes in bytes")
}

// The goldens are the documents printed by the examples. A change to them changes the
// documents of every operator, so it must be intended. UPDATE=1 rewrites them.
func TestExamplesMatchGoldens(t *testing.T) {
	for name, declare := range map[string]func(uint64) fleet.Fleet{
		"cestaviva": deployments.CestaViva, "eisbruecke": deployments.Eisbruecke, "shop": func(uint64) fleet.Fleet { return shop() },
	} {
		t.Run(name, func(t *testing.T) {
			got := printed(t, declare(1))
			file := filepath.Join("testdata", name+".golden")
			if os.Getenv("UPDATE") != "" {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
			}
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

// Documents written to a directory or a stream and parsed as by a node must equal the
// declaration. Otherwise a rule would be lost.
func TestParsedDocumentsEqualDeclaration(t *testing.T) {
	hedged := shop()
	hedged.Services[0].HedgePercent = 5
	for _, f := range []fleet.Fleet{shop(), hedged, deployments.CestaViva(3), deployments.Eisbruecke(4)} {
		pub, err := f.Print()
		require.NoError(t, err)
		dir := t.TempDir()
		require.NoError(t, pub.WriteDir(dir))
		fromDir, err := fleet.ReadDir(dir)
		require.NoError(t, err)
		fromStream, err := fleet.Split([]byte(printed(t, f)))
		require.NoError(t, err)
		require.Equal(t, fromDir, fromStream)

		idx, err := config.ParseIndex(fromDir[fleet.IndexKey])
		require.NoError(t, err)
		want := f.WithDefaults()
		require.ElementsMatch(t, want.Zones, idx.Fleet.Zones)
		require.Equal(t, want.Budget, idx.Fleet.Budget)
		require.Len(t, idx.Entries, len(want.Services))
		for _, e := range idx.Entries {
			s, err := config.ParseService(e, fromDir[e.Key])
			require.NoError(t, err)
			at := slices.IndexFunc(want.Services, func(d fleet.Service) bool { return d.Name == s.Name })
			require.GreaterOrEqual(t, at, 0)
			declared := want.Services[at]
			slices.SortFunc(declared.Targets, func(a, b fleet.Target) int { return strings.Compare(a.VM, b.VM) })
			require.Equal(t, declared, s.Service)
		}
	}
}

func TestSplitRefusesInvalidStreams(t *testing.T) {
	for text, want := range map[string]string{
		"revision = 1\n":                     "before the first document",
		"; key: a\nx = 1\n; key: a\nx = 2\n": "document a appears twice",
	} {
		_, err := fleet.Split([]byte(text))
		require.ErrorContains(t, err, want)
	}
}

func TestExampleProgramArguments(t *testing.T) {
	run := func(args ...string) (int, string, string) {
		var out, errOut strings.Builder
		code := deployments.Main("eisbruecke", deployments.Eisbruecke, args, &out, &errOut)
		return code, out.String(), errOut.String()
	}
	code, out, _ := run("--revision", "9")
	require.Zero(t, code)
	require.Contains(t, out, "revision = 9\n")
	dir := t.TempDir()
	code, out, _ = run("--out", dir)
	require.Zero(t, code)
	require.Empty(t, out)
	require.FileExists(t, filepath.Join(dir, fleet.IndexKey))
	for _, wrong := range [][]string{{"--revision", "x"}, {"more"}, {"--revision", "0"}} {
		code, _, errOut := run(wrong...)
		require.NotZero(t, code, wrong)
		require.Equal(t, 1, strings.Count(errOut, "\n"), errOut)
	}
}
