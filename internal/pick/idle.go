package pick

// idleHints chooses a target whose guard reported a free slot, using each hint once,
// and a random target if there is no hint (Lu et al., "Join-Idle-Queue: A
// Novel Load Balancing Algorithm for Dynamically Scalable Web Services",
// Performance Evaluation 2011). In that paper idle servers register themselves; here
// the hint is sent with replies, within the measuring budget.
type idleHints struct{}

func (idleHints) Choose(d Draw, among []*Target) *Target {
	first := d.Rand.IntN(len(among))
	for i := range among {
		t := among[(first+i)%len(among)]
		if t.Stat.hints.CompareAndSwap(1, 0) {
			return t
		}
	}
	return among[first]
}
