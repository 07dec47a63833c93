package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// A backend server accepts about 200 connections. If entries kept connections without a bound,
// further ones would be refused and callers would see errors without any fault.
func TestConnectionsAreSharedBetweenEntries(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, targets, used int
		want                 connectionLimits
	}{
		"18 nodes":      {18, 6, 6, connectionLimits{maxIdle: 8, maxOpen: 22}},
		"19 nodes":      {19, 6, 6, connectionLimits{maxIdle: 8, maxOpen: 22}},
		"890 nodes":     {890, 15, 5, connectionLimits{maxIdle: 1, maxOpen: 22}},
		"one node":      {1, 1, 1, connectionLimits{maxIdle: 128, maxOpen: 128}},
		"nothing known": {0, 1, 1, connectionLimits{maxIdle: 128, maxOpen: 128}},
	} {
		homes := make([]*pick.Target, c.targets)
		for i := range homes {
			homes[i] = &pick.Target{Slots: 6, Connections: 200}
		}
		s := &pick.Service{
			Service: &config.Service{Service: fleet.Service{Queue: 16}}, Targets: homes[:c.used], Homes: homes,
		}
		v := &pick.View{Nodes: c.nodes, Services: map[string]*pick.Service{"s": s}}
		require.Equal(t, c.want, connectionLimitsFor(v), name)
	}
}
