package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// death is a Death with the time at which this node learnt of it.
type death struct {
	Death
	at time.Duration
}

type row struct {
	deaths  []death
	cleared []uint64
	// lastDeath is the time of the last death, which may be before the node's start.
	lastDeath time.Duration
}

// blockedUntil returns when the block ends, if the deaths known so far block the request.
func (r *row) blockedUntil() time.Duration { return r.lastDeath + blockTime(r.openDeaths()) }

// until returns when the row expires. A row that has been cleared is kept as long as it would be
// otherwise, or else a node that hasn't heard of it would bring the deaths back.
func (r *row) until() time.Duration {
	if levelOf(r.deaths) != Blocked {
		return r.lastDeath + BlockFor
	}
	return r.lastDeath + blockTime(r.deaths) + trialMemory
}

// blockTime returns how long a request is blocked after the last of the deaths. Only those on trial make
// it longer: many servers may be killed from outside before a request runs alone.
func blockTime(deaths []death) time.Duration {
	blocked := BlockFor
	for _, d := range deaths {
		if d.Trial {
			blocked = min(blocked*blockGrowth, maxBlock)
		}
	}
	return blocked
}

// add records a death and reports whether it changed the row.
func (r *row) add(d Death, now time.Duration) bool {
	for i := range r.deaths {
		if r.deaths[i].ID != d.ID {
			continue
		}
		known := &r.deaths[i]
		changed := d.Alone && !known.Alone || d.Served && !known.Served || d.Trial && !known.Trial || !d.Uncertain && known.Uncertain
		known.Alone = known.Alone || d.Alone
		known.Served = known.Served || d.Served
		known.Trial = known.Trial || d.Trial
		known.Uncertain = known.Uncertain && d.Uncertain
		return changed
	}
	if r.full() && !r.dropClearedDeath() && !r.dropWeaker(d) {
		return false
	}
	r.deaths = append(r.deaths, death{d, now})
	return true
}

func (r *row) full() bool { return len(r.deaths) >= maxDeaths }

// knows reports whether the row has a death.
func (r *row) knows(id uint64) bool {
	return slices.ContainsFunc(r.deaths, func(d death) bool { return d.ID == id })
}

// dropClearedDeath makes room for a death by dropping the oldest one that is cleared. It returns false
// if none is.
func (r *row) dropClearedDeath() bool {
	i := slices.IndexFunc(r.deaths, func(d death) bool { return slices.Contains(r.cleared, d.ID) })
	if i < 0 {
		return false
	}
	id := r.deaths[i].ID
	r.deaths = slices.Delete(r.deaths, i, i+1)
	r.cleared = slices.DeleteFunc(r.cleared, func(c uint64) bool { return c == id })
	return true
}

// dropWeaker makes room for a death by dropping the one that proves least. It returns false if that is
// the new one. The order doesn't depend on the node, so that full rows of different nodes converge.
func (r *row) dropWeaker(d Death) bool {
	weakest := 0
	for i := range r.deaths {
		if compareProof(r.deaths[i].Death, r.deaths[weakest].Death) < 0 {
			weakest = i
		}
	}
	if compareProof(d, r.deaths[weakest].Death) < 0 {
		return false
	}
	r.deaths = slices.Delete(r.deaths, weakest, weakest+1)
	return true
}

// compareProof compares by how much deaths prove that the request is the cause, and at last by id.
func compareProof(a, b Death) int {
	return cmp.Or(
		compareBool(a.Trial, b.Trial), compareBool(a.Alone, b.Alone), compareBool(!a.Uncertain, !b.Uncertain),
		compareBool(!a.Served, !b.Served), cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// clear records that the request did not cause a death, which may not be known yet, and reports
// whether that changed the row.
func (r *row) clear(id uint64) bool {
	if slices.Contains(r.cleared, id) || len(r.cleared) >= maxDeaths && !r.dropUnknownCleared() {
		return false
	}
	r.cleared = append(r.cleared, id)
	return true
}

// dropUnknownCleared drops the oldest cleared death that the row doesn't have. It returns false if it
// has all of them.
func (r *row) dropUnknownCleared() bool {
	i := slices.IndexFunc(r.cleared, func(id uint64) bool { return !r.knows(id) })
	if i < 0 {
		return false
	}
	r.cleared = slices.Delete(r.cleared, i, i+1)
	return true
}

// level returns the level by the deaths that no completed run has cleared. A block may have ended.
func (r *row) level() Level { return levelOf(r.openDeaths()) }

// openDeaths returns the deaths that no completed run has cleared.
func (r *row) openDeaths() []death {
	return slices.DeleteFunc(slices.Clone(r.deaths), func(d death) bool { return slices.Contains(r.cleared, d.ID) })
}

// hasOpenProof reports whether the row has a certain death that no completed run has cleared.
func (r *row) hasOpenProof() bool {
	return slices.ContainsFunc(r.openDeaths(), func(d death) bool { return !d.Uncertain })
}

// levelOf returns the level that follows from deaths.
func levelOf(deaths []death) Level {
	n := countDeaths(deaths)
	switch {
	case n.certain >= blockedAt && n.certainAlone > 0,
		n.unserved >= uncertainBlockedAt && n.unservedAlone > 0,
		n.alone >= servedBlockedAt && n.lastAlone-n.firstAlone >= servedBlockAfter:
		return Blocked
	case n.certainUnserved > 0, len(deaths) >= servedSuspectedAt:
		return Suspected
	}
	return Unsuspected
}

// deathCounts counts deaths by what is known about them.
type deathCounts struct {
	// certain leaves out the uncertain ones, and certainUnserved those too that the backend server had
	// answered before. certainAlone are the certainUnserved ones with the request alone.
	certain, certainUnserved, certainAlone int
	// unserved are all that the backend server had not answered before, and unservedAlone those of them
	// with the request alone.
	unserved, unservedAlone int
	// alone are all with the request alone, the first and the last of them at these times.
	alone                 int
	firstAlone, lastAlone time.Duration
}

func countDeaths(deaths []death) (n deathCounts) {
	for _, d := range deaths {
		if d.Alone {
			n.addAlone(d.at)
		}
		if !d.Uncertain {
			n.certain++
		}
		if d.Served {
			continue
		}
		n.unserved++
		if d.Alone {
			n.unservedAlone++
		}
		if d.Uncertain {
			continue
		}
		n.certainUnserved++
		if d.Alone {
			n.certainAlone++
		}
	}
	return n
}

func (n *deathCounts) addAlone(at time.Duration) {
	if n.alone == 0 {
		n.firstAlone, n.lastAlone = at, at
	}
	n.alone++
	n.firstAlone, n.lastAlone = min(n.firstAlone, at), max(n.lastAlone, at)
}

func (r *row) encode(fingerprint uint64, now time.Duration) wire.Suspect {
	s := wire.Suspect{
		Fingerprint: fingerprint, Cleared: slices.Clone(r.cleared),
		ExpiresMs: uint32(max(0, r.until()-now).Milliseconds()),
		SinceMs:   uint32(max(0, now-r.lastDeath).Milliseconds()),
	}
	for _, d := range r.deaths {
		s.Deaths = append(s.Deaths, d.ID)
		s.Alone = append(s.Alone, d.Alone)
		s.Served = append(s.Served, d.Served)
		s.Trial = append(s.Trial, d.Trial)
		s.Uncertain = append(s.Uncertain, d.Uncertain)
	}
	return s
}
