package mesh

import (
	"math/rand/v2"
	"sync"
)

// Splitter divides the requests of one route among its shares by smooth weighted round robin.
// A random draw would deviate from the weights by several percent over the few hundred
// requests by which operators judge a split. Splitters start in random states, as otherwise
// all nodes would send their first requests to the same service. Safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit []float64
}

// Next returns the service for the next request.
func (w *Splitter) Next(shares []Share) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	if len(w.credit) != len(shares) {
		w.randomize(shares)
	}
	best := 0
	for i, s := range shares {
		w.credit[i] += s.Weight
		if w.credit[i] > w.credit[best] {
			best = i
		}
	}
	w.credit[best] -= total
	return shares[best].Service
}

// randomize sets the credit of each share to a random part of its weight. The mutex must be
// held.
func (w *Splitter) randomize(shares []Share) {
	w.credit = make([]float64, len(shares))
	for i, s := range shares {
		w.credit[i] = rand.Float64() * s.Weight
	}
}
