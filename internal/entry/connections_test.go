package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// A backend server accepts about 200 connections. If every entry keeps as many
// as it likes, the last ones find no room, and their callers see failures on a
// day on which nothing has failed.
func TestConnectionsAreShared(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, targets, used int
		want                 connections
	}{
		"today":           {18, 6, 6, connections{idle: 8, open: 22}},
		"one node more":   {19, 6, 6, connections{idle: 8, open: 22}},
		"the target size": {890, 15, 5, connections{idle: 1, open: 22}},
		"one node":        {1, 1, 1, connections{idle: 128, open: 128}},
		"nothing known":   {0, 1, 1, connections{idle: 128, open: 128}},
	} {
		homes := make([]*pick.Target, c.targets)
		for i := range homes {
			homes[i] = &pick.Target{Slots: 6, Connections: 200}
		}
		s := &pick.Service{
			Service: &config.Service{Service: fleet.Service{Queue: 16}}, Targets: homes[:c.used], Homes: homes,
		}
		v := &pick.View{Nodes: c.nodes, Services: map[string]*pick.Service{"s": s}}
		require.Equal(t, c.want, connectionsOf(v), name)
	}
}
