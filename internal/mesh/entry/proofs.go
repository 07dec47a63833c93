package entry

import (
	"slices"
	"sync/atomic"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// proofCounters counts requests that were answered as not run, by what showed that, in the order of kind.Proofs.
type proofCounters [len(kind.Proofs)]atomic.Uint64

func (c *proofCounters) count(p kind.Proof) {
	if i := slices.Index(kind.Proofs[:], p); i >= 0 {
		c[i].Add(1)
	}
}

// NotRun returns how many requests were answered as not run by a proof.
func (e *Entry) NotRun(p kind.Proof) uint64 { return e.notRun[slices.Index(kind.Proofs[:], p)].Load() }
