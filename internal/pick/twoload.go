package pick

// twoLoad chooses the target with the lower Cost of two random ones: own requests in
// flight, the load that guards report on replies, and the time to an answer. Reports
// are stale when they arrive, so they are discounted by age
// (Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 2000).
type twoLoad struct{}

func (twoLoad) Choose(d Draw, among []*Target) *Target {
	a, b := twoOf(d.Rand, among)
	if b != a && b.Cost(d.Now) < a.Cost(d.Now) {
		return b
	}
	return a
}
