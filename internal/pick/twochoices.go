package pick

// twoChoices chooses the less loaded of two random targets, by the node's own
// requests in flight (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", IEEE TPDS 2001).
type twoChoices struct{}

func (twoChoices) Choose(d Draw, among []*Target) *Target {
	a, b := twoOf(d.Rand, among)
	if b.inFlight(d.Now) < a.inFlight(d.Now) {
		return b
	}
	return a
}
