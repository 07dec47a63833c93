package death

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// uncertain is the flag by which the numbers of uncertain deaths differ from generations.
const uncertain = 1 << 63

// IDs draws the ids of deaths that a guard reports. They are unique among all nodes. Safe for concurrent
// use.
type IDs struct {
	incarnation uint64
	uncertain   atomic.Uint64
}

// NewIDs returns the ids of the process with an incarnation.
func NewIDs(incarnation uint64) *IDs { return &IDs{incarnation: incarnation} }

// Of returns the id of the death of a generation.
func (i *IDs) Of(g Generation) uint64 { return i.hash(uint64(g)) }

// Uncertain returns a new id for one exchange that broke off without a proof of a death.
func (i *IDs) Uncertain() uint64 { return i.hash(uncertain | i.uncertain.Add(1)) }

func (i *IDs) hash(number uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], i.incarnation)
	binary.BigEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}
