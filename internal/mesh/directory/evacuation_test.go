package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/directory"
)

func evacuated(s *directory.State) map[string]bool {
	if v := s.Tick(0); v != nil {
		return v.EvacuatedZones
	}
	return nil
}

func TestEvacuationIsInTheView(t *testing.T) {
	s := populatedState(t)
	s.Evacuate("rs-b", 11)
	require.Equal(t, map[string]bool{"rs-b": true}, evacuated(s))
	s.EndEvacuation("rs-b", 12)
	require.Empty(t, evacuated(s))
}

// Guards against a change that arrives late and undoes a newer one: an evacuation that ends and
// begins again within a second.
func TestOlderEvacuationChangeIsIgnored(t *testing.T) {
	s := populatedState(t)
	s.Evacuate("rs-b", 13)
	s.EndEvacuation("rs-b", 12)
	require.True(t, evacuated(s)["rs-b"])
	s.EndEvacuation("rs-b", 14)
	s.Evacuate("rs-b", 13)
	require.False(t, evacuated(s)["rs-b"])
}

// Guards against an evacuation that is kept although its end was missed, and against one that a
// read from before it ends.
func TestFullReadReplacesOlderEvacuations(t *testing.T) {
	s := populatedState(t)
	s.Evacuate("rs-a", 11)
	s.Evacuate("sc-a", 21)
	s.ReplaceEvacuations(20, map[string]uint64{"rs-b": 15})
	require.Equal(t, map[string]bool{"rs-b": true, "sc-a": true}, evacuated(s))
}

// Guards against requests to an evacuated zone because the store doesn't answer.
func TestEvacuationIsKeptWhileTheStoreIsUnavailable(t *testing.T) {
	s := populatedState(t)
	s.Evacuate("rs-b", 11)
	s.MarkUnavailable(0)
	require.True(t, evacuated(s)["rs-b"])
}
