package pick

// random chooses a random target. It is a baseline for comparisons.
type random struct{}

func (random) Choose(d Draw, among []*Target) *Target {
	return among[d.Rand.IntN(len(among))]
}
