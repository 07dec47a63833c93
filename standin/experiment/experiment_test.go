package main

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitReturnsLeastSquaresLine(t *testing.T) {
	a, b, ok := fit([]float64{6, 18, 36}, []float64{16, 40, 76})
	require.True(t, ok)
	require.InDelta(t, 4, a, 1e-9)
	require.InDelta(t, 2, b, 1e-9)
	require.Equal(t, []string{"4 + 2 n", "1.78e+03"}, line([]float64{6, 18}, []float64{16, 40}, "n", targetNodes))
	require.Equal(t, []string{"unmeasured", "unmeasured"}, line([]float64{6}, []float64{16}, "n", targetNodes))
}

func TestParseMetricDropsLabelsAndSkipsComments(t *testing.T) {
	for text, want := range map[string]float64{
		"a_total 3": 3, `a_total{kind="x y",service="s"} 2.5`: 2.5, "a_total 1.5e+06": 1.5e6,
	} {
		name, value, ok := parseMetric(text)
		require.True(t, ok, text)
		require.Equal(t, "a_total", name)
		require.InDelta(t, want, value, 1e-9)
	}
	_, _, ok := parseMetric("# HELP a_total Counts 3")
	require.False(t, ok)
}

func TestCounterIncreaseAllowsForRestartedNode(t *testing.T) {
	before := []sample{{"a": 10}, {"a": 100}}
	after := []sample{{"a": 15}, {"a": 3}}
	require.Equal(t, sample{"a": 8}, increase(before, after))
	require.Equal(t, sample{"a": 18}, sum(after))
}

func TestReplaceSectionReplacesOnlyNamedSection(t *testing.T) {
	const page = "# P\n<!-- begin one -->\nold\n<!-- end one -->\nkept\n"
	next, err := replaceSection(page, "one", "new\n")
	require.NoError(t, err)
	require.Equal(t, strings.Replace(page, "old", "new", 1), next)
	_, err = replaceSection(page, "two", "new\n")
	require.Error(t, err)
}

func TestExperimentFleetsAreValid(t *testing.T) {
	var all []variant
	for _, list := range []func() ([]variant, error){
		(&policies{}).variants, (&orders{}).variants, (&budgets{Budgets: []string{"0", "0.25", "4"}}).variants,
	} {
		some, err := list()
		require.NoError(t, err)
		all = append(all, some...)
	}
	for _, v := range all {
		_, err := v.fleet(1).Print()
		require.NoError(t, err, v.name)
	}
	for _, n := range []int{6, 18, 36, 72, targetNodes} {
		_, err := capacityFleet(n, 1).Print()
		require.NoError(t, err, n)
	}
	_, err := addedFleet().Print()
	require.NoError(t, err)
}

func TestScenarioLoadPlansAreValid(t *testing.T) {
	for _, one := range scenarios {
		one.shortDeadlines = one.chains == 0
		p := planOf(one, 1890, 1)
		p.To = []string{"127.0.0.1:1"}
		require.NoError(t, p.Check(), one.name)
	}
}

func TestUnknownSelectionsAreRejected(t *testing.T) {
	chosen, err := (&comparison{Scenarios: []string{"slow"}}).choose()
	require.NoError(t, err)
	require.Len(t, chosen, 1)
	_, err = (&comparison{Scenarios: []string{"none"}}).choose()
	require.ErrorContains(t, err, "there are steady")
	_, err = (&policies{Policies: []string{"none"}}).variants()
	require.ErrorContains(t, err, "there are random")
	_, err = (&orders{Orders: []string{"none"}}).variants()
	require.ErrorContains(t, err, "there are fifo")
	_, err = (&budgets{Budgets: []string{"-1"}}).variants()
	require.ErrorContains(t, err, "no multiple")
}

func TestRepeatedFiguresShowMedianAndRange(t *testing.T) {
	for want, list := range map[string][]float64{
		"2.0": {2}, "2.0 (1.0-9.0)": {1, 2, 9}, "2.5 (1.0-9.0)": {1, 2, 3, 9}, "-": {math.NaN()}, "3.0": {3, 3},
	} {
		require.Equal(t, want, ranged("%.1f", list))
	}
}
