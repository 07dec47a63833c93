package mesh

import (
	"math/rand/v2"
	"sync"
)

// Weights divides the requests of one route among its shares, by smooth weighted
// round robin: a random draw would stray from the weights by several percent
// over the few hundred requests by which operators judge a split. Nodes start at
// random places, or all of them would send their first requests the same way.
// Safe for concurrent use.
type Weights struct {
	mu     sync.Mutex
	credit []float64
}

// Next gives the service of the next request.
func (w *Weights) Next(shares []Share) string {
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
		w.start(shares)
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

// start gives every share a random part of its weight. The mutex is held.
func (w *Weights) start(shares []Share) {
	w.credit = make([]float64, len(shares))
	for i, s := range shares {
		w.credit[i] = rand.Float64() * s.Weight
	}
}
