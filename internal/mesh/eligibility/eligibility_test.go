package eligibility_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
)

func TestCheckNamesTheReason(t *testing.T) {
	v := &mesh.View{EvacuatedZones: map[string]bool{"sc-a": true}}
	residents := &mesh.Route{AllowedRegions: []string{"rs", "sc"}}
	for name, c := range map[string]struct {
		target *mesh.Target
		routes []*mesh.Route
		want   eligibility.Reason
	}{
		"none registered":           {nil, nil, eligibility.NotRegistered},
		"ready":                     {&mesh.Target{Zone: "rs-a", Region: "rs"}, []*mesh.Route{residents}, eligibility.Eligible},
		"draining":                  {&mesh.Target{Zone: "rs-a", Region: "rs", State: mesh.Draining}, nil, eligibility.Draining},
		"evacuated zone":            {&mesh.Target{Zone: "sc-a", Region: "sc"}, []*mesh.Route{residents}, eligibility.ZoneEvacuated},
		"region that isn't allowed": {&mesh.Target{Zone: "pr-a", Region: "pr"}, []*mesh.Route{residents}, eligibility.RegionNotAllowed},
		"unknown region":            {&mesh.Target{Zone: "??"}, []*mesh.Route{residents}, eligibility.RegionNotAllowed},
		"unrestricted":              {&mesh.Target{Zone: "??"}, []*mesh.Route{{}, nil}, eligibility.Eligible},
		"one of two routes allows":  {&mesh.Target{Zone: "rs-a", Region: "rs"}, []*mesh.Route{residents, {AllowedRegions: []string{"sc"}}}, eligibility.RegionNotAllowed},
		"regions nobody knows":      {&mesh.Target{Zone: "rs-a", Region: "rs"}, []*mesh.Route{{AllowedRegions: []string{"atlantis"}}}, eligibility.RegionNotAllowed},
	} {
		require.Equal(t, c.want, eligibility.Check(v, c.target, c.routes...), name)
	}
}

// Guards against a combination of restrictions that cancel each other out.
func TestEligibleTargetSatisfiesEveryRestriction(t *testing.T) {
	regions := []string{"rs", "sc", "pr", ""}
	rapid.Check(t, func(t *rapid.T) {
		target := &mesh.Target{
			Zone:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Region: rapid.SampledFrom(regions).Draw(t, "region"),
			State:  rapid.SampledFrom([]mesh.TargetState{mesh.Ready, mesh.Draining}).Draw(t, "state"),
		}
		v := &mesh.View{EvacuatedZones: map[string]bool{}}
		for _, zone := range rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c"})).Draw(t, "evacuated") {
			v.EvacuatedZones[zone] = true
		}
		lists := rapid.SliceOfN(rapid.SliceOf(rapid.SampledFrom(regions[:3])), 0, 2).Draw(t, "allowed")
		var routes []*mesh.Route
		allowed := true
		for _, list := range lists {
			routes = append(routes, &mesh.Route{AllowedRegions: list})
			allowed = allowed && (len(list) == 0 || slices.Contains(list, target.Region))
		}
		want := allowed && target.State == mesh.Ready && !v.EvacuatedZones[target.Zone]
		require.Equal(t, want, eligibility.Check(v, target, routes...) == eligibility.Eligible)
	})
}
