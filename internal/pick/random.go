package pick

// random takes any target. A baseline.
type random struct{}

func (random) Choose(d Draw, among []*Target) *Target {
	return among[d.Rand.IntN(len(among))]
}
