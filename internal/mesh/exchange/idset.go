package exchange

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSentIDs bounds the requests that a connection carries, and so the memory for their IDs.
const maxSentIDs = 1024

// idSet holds the hashes of request IDs. A collision costs a connection and nothing else. A request
// without an ID, such as a health probe, isn't held.
type idSet []uint64

func (s *idSet) add(id string) {
	if id != "" {
		*s = append(*s, xxhash.Sum64String(id))
	}
}

func (s idSet) contains(id string) bool {
	return len(s) > 0 && id != "" && slices.Contains(s, xxhash.Sum64String(id))
}

func (s idSet) full() bool { return len(s) >= maxSentIDs }
