package pick

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// elevenZones returns VMs spread evenly over eleven zones, in regions of four, four
// and three zones.
func elevenZones(nodes int) (list []Place) {
	for i := range nodes {
		zone := i % 11
		list = append(list, Place{"vm" + strconv.Itoa(i), "z" + strconv.Itoa(zone), "r" + strconv.Itoa(zone%3)})
	}
	return list
}

// assignments returns each entry's targets of one service, after checks of each entry.
func assignments(t *testing.T, entries *Entries, targets []Place) map[string][]string {
	s := newService(fleet.PolicyTwoLoad, targets[0], targets, 9, entries)
	used := assignedNames(entries, targets)
	for i, got := range newAssignment(entries, s.Homes).run(entries.all) {
		here := entries.all[i]
		require.Len(t, got.near, minNear, here.VM)
		require.Len(t, got.far, minFar, here.VM)
		require.NotEqual(t, targets[got.near[0]].Zone, targets[got.near[1]].Zone, "one target must remain in the region after the loss of a zone")
	}
	for _, target := range s.Targets {
		require.Contains(t, used[targets[0].VM], target.VM, "an entry uses its assigned targets")
	}
	return used
}

// users returns the number of entries at places that use each target.
func users(assigned map[string][]string, at []Place) map[string]int {
	all := map[string]int{}
	for _, here := range at {
		for _, vm := range assigned[here.VM] {
			all[vm]++
		}
	}
	return all
}

func without(zone string, at []Place) []Place {
	return slices.DeleteFunc(slices.Clone(at), func(p Place) bool { return p.Zone == zone })
}

// Targets accept about 200 connections. At full size, if a region is overloaded, every
// entry there spills over, and the target with most entries might run out of
// connections. So all entries that may use a target count, including those that would
// only spill over, and the worst target counts, not the mean. When a zone is lost, its
// entries are lost too, and each remaining entry has a target in its region.
func TestSubsetsBoundConnectionsAtFullSize(t *testing.T) {
	const accepted = 200
	fleets := map[string]struct {
		nodes  []Place
		target func(i, service int) bool
	}{
		"890 in equal zones, targets apart": {
			places(3, 4, 75)[:890], func(i, service int) bool { return i%59 == service },
		},
		"885 in 11 zones, targets side by side": {
			elevenZones(885), func(i, service int) bool { return i/15 == service },
		},
	}
	for name, f := range fleets {
		t.Run(name, func(t *testing.T) {
			entries := NewEntries(f.nodes)
			worst := 0
			for service := 0; service < 59; service++ {
				var mine []Place
				for i, p := range f.nodes {
					if f.target(i, service) {
						mine = append(mine, p)
					}
				}
				assigned := assignments(t, entries, mine)
				whole, lost := users(assigned, f.nodes), users(assigned, without(f.nodes[0].Zone, f.nodes))
				for vm, n := range whole {
					worst = max(worst, n)
					require.Less(t, n, accepted, "%s: entries of all regions, if all of them spill over", vm)
					require.LessOrEqual(t, lost[vm], n, "%s: the loss of a zone adds no entries", vm)
				}
			}
			t.Logf("entries at the worst target: %d", worst)
		})
	}
}

// In small fleets every entry uses every target.
func TestEntriesOfSmallFleetsUseAllTargets(t *testing.T) {
	at := places(3, 2, 3)
	for _, here := range at {
		for i := range 3 {
			mine := []Place{at[i], at[i+3], at[i+6], at[i+9], at[i+12], at[i+15]}
			require.Len(t, newService(fleet.PolicyTwoLoad, here, mine, 6, NewEntries(at)).Targets, 6)
		}
	}
}

func TestSubsetChangesLittleWhenATargetIsRemoved(t *testing.T) {
	at := places(1, 2, 40)
	here := Place{"x", "r0z1", "r0"}
	entries := NewEntries(places(1, 2, 750))
	names := func(here Place, at []Place) (list []string) {
		for _, target := range newService(fleet.PolicyRandom, here, at, 9, entries).Targets {
			list = append(list, target.VM)
		}
		return list
	}
	before, left := names(here, at), slices.Delete(slices.Clone(at), 3, 4)
	require.Equal(t, before, names(here, at), "the same for the same view")
	require.LessOrEqual(t, added(before, names(here, left)), 1, "one target less changes at most one")
	require.Equal(t, "r0z1", newService(fleet.PolicyRandom, here, at, 9, entries).Targets[0].Zone)

	first, second := assignedNames(entries, at), assignedNames(entries, left)
	lost, changed := 0, 0
	for vm, used := range first {
		lost += len(used) - len(second[vm]) + added(used, second[vm])
		changed += added(used, second[vm])
	}
	t.Logf("one of 80 targets removed: %d of %d entries used it; %d targets changed at all entries", lost, len(first), changed)
	require.LessOrEqual(t, changed, 3*len(first)*6/80, "three times the unavoidable changes")
}

// added returns the number of names in after that are not in before.
func added(before, after []string) (n int) {
	for _, vm := range after {
		if !slices.Contains(before, vm) {
			n++
		}
	}
	return n
}

func assignedNames(entries *Entries, at []Place) map[string][]string {
	s := newService(fleet.PolicyRandom, at[0], at, 9, entries)
	list := map[string][]string{}
	for i, got := range newAssignment(entries, s.Homes).run(entries.all) {
		vm := entries.all[i].VM
		list[vm] = []string{}
		for _, j := range slices.Concat(got.near, got.far) {
			list[vm] = append(list[vm], at[j].VM)
		}
	}
	return list
}

// BenchmarkSubset assigns one service's targets to all 890 entries.
func BenchmarkSubset(b *testing.B) {
	nodes := elevenZones(890)
	entries := NewEntries(nodes)
	targets := make([]*Target, 15)
	for i := range targets {
		targets[i] = &Target{Place: nodes[i], Connections: 200}
	}
	for b.Loop() {
		entries.Subset(nodes[7], targets)
	}
}
