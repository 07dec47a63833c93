package budget

import "time"

const (
	// shareMargin divides a node's share, as nodes may know of fewer others than there are.
	shareMargin = 2
	// shareGrowth is by how many times the number of nodes may grow without the node's share beginning
	// anew.
	shareGrowth = 1.25
)

// Share is a node's share of a number of repeats that all nodes together may make within a window.
// Nodes don't coordinate: each divides the number by the nodes that it knows of.
//
// A node that has just started may know of few others, and may have been started several times within
// the window. So it has no share until it has known about as many nodes for a whole window.
type Share struct {
	total  float64
	window time.Duration
	// nodes is the number of nodes to divide by, known since the time settles minus a window.
	nodes   int
	settles time.Duration
	// fewer is the number of nodes known since fewerAt, if that is less, or 0.
	fewer   int
	fewerAt time.Duration
}

// NewShare returns a node's share of total repeats within a window.
func NewShare(total float64, window time.Duration) *Share {
	return &Share{total: total, window: window, settles: window}
}

// SetNodes sets the number of nodes that are known from now on, including this one. now is the time since
// the node's start.
func (s *Share) SetNodes(n int, now time.Duration) {
	s.forgetNodes(now)
	if float64(n) > shareGrowth*float64(s.nodes) {
		s.settles = now + s.window
	}
	switch {
	case n >= s.nodes:
		s.nodes, s.fewer = n, 0
	case n > s.fewer:
		s.fewer, s.fewerAt = n, now
	}
}

// forgetNodes takes fewer nodes for the number of nodes once that is all that has been known for a window.
func (s *Share) forgetNodes(now time.Duration) {
	if s.fewer > 0 && now-s.fewerAt >= s.window {
		s.nodes, s.fewer = s.fewer, 0
	}
}

// At returns the number of repeats that the node may make within a window that ends now.
func (s *Share) At(now time.Duration) float64 {
	s.forgetNodes(now)
	if now < s.settles || s.nodes == 0 {
		return 0
	}
	return s.total / float64(shareMargin*s.nodes)
}

// Nodes returns the number of nodes that the total is divided by.
func (s *Share) Nodes() int { return s.nodes }
