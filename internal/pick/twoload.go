package pick

// twoLoad takes the cheaper of two random targets by Cost: own requests in
// flight, the load that guards put on replies, and the time answers take.
// Reports age on the way, so they are discounted rather than believed
// (Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 2000).
type twoLoad struct{}

func (twoLoad) Choose(d Draw, among []*Target) *Target {
	a, b := twoOf(d.Rand, among)
	if b != a && b.Cost(d.Now) < a.Cost(d.Now) {
		return b
	}
	return a
}
