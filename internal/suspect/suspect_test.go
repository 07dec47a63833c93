package suspect_test

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/wire"
)

func level(t *suspect.Table, f uint64) suspect.Level { return entry(t, f).Level }

func entry(t *suspect.Table, f uint64) suspect.Entry {
	// Changed returns a Set only after a change; an unrelated row causes one.
	t.RecordDeath(1<<63, suspect.Death{ID: uint64(time.Now().UnixNano())}, 0)
	set, _ := t.Changed()
	return set[f]
}

// A request crashes the backend server it runs on, is retried alone on a second
// one, and crashes that too. A third attempt must be refused without a run. Other
// requests that were in flight at the first crash must still be served.
func TestCrashingRequestIsBlockedAndOtherRequestIsCleared(t *testing.T) {
	table := suspect.NewTable()
	const crashing, unrelated = 1, 2
	table.RecordDeath(crashing, suspect.Death{ID: 10}, 0)
	table.RecordDeath(unrelated, suspect.Death{ID: 10}, 0)
	require.Equal(t, suspect.Suspected, level(table, crashing))
	require.Equal(t, suspect.Suspected, level(table, unrelated))
	table.Clear(unrelated)
	table.RecordDeath(crashing, suspect.Death{ID: 11, Alone: true}, 0)
	require.Equal(t, suspect.Blocked, level(table, crashing))
	require.Equal(t, suspect.Unsuspected, level(table, unrelated))
	require.Equal(t, suspect.Blocked, entry(table, crashing).At(suspect.BlockFor-1).Level)
	require.Equal(t, suspect.Suspected, entry(table, crashing).At(suspect.BlockFor).Level)
	table.Expire(suspect.BlockFor + 24*time.Hour)
	require.Equal(t, suspect.Unsuspected, level(table, crashing))
}

// Guards against a popular request that is blocked for a day as it was in flight when many backend
// servers were killed.
func TestFirstBlockIsShortWhateverTheNumberOfDeaths(t *testing.T) {
	table := suspect.NewTable()
	for id := range uint64(7) {
		table.RecordDeath(1, suspect.Death{ID: id, Alone: id >= 3}, 0)
	}
	require.Equal(t, suspect.BlockFor, entry(table, 1).Until)
}

// Guards against a request that crashes backend servers again each time that its block ends.
func TestEachDeathOnTrialMakesTheBlockLonger(t *testing.T) {
	table := suspect.NewTable()
	now := time.Duration(0)
	for id := range uint64(3) {
		table.RecordDeath(1, suspect.Death{ID: id, Alone: true}, now)
	}
	last := suspect.BlockFor
	require.Equal(t, last, entry(table, 1).Until)
	for id := uint64(3); id < 8; id++ {
		now = entry(table, 1).Until
		table.Expire(now)
		require.Equal(t, suspect.Entry{Level: suspect.Suspected, Until: now, OnTrial: true}, entry(table, 1).At(now))
		table.RecordDeath(1, suspect.Death{ID: id, Alone: true, Trial: true}, now)
		block := entry(table, 1).Until - now
		require.Equal(t, min(10*last, 24*time.Hour), block)
		last = block
	}
	table.Clear(1)
	require.Equal(t, suspect.Unsuspected, level(table, 1), "one completed run ends it")
}

// Guards against a request that can't be suspected any more, or not be cleared, as it was cleared of
// many deaths before.
func TestClearedDeathsMakeRoomForNewOnes(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	for id := range uint64(20) {
		a.RecordDeath(1, suspect.Death{ID: 2 * id, Alone: true}, 0)
		a.RecordDeath(1, suspect.Death{ID: 2*id + 1, Alone: true}, 0)
		for _, row := range a.NextBatch(10, 0) {
			b.Merge(row, 0)
		}
		require.Equal(t, suspect.Blocked, level(a, 1))
		require.Equal(t, suspect.Blocked, level(b, 1))
		b.Clear(1)
		for _, row := range b.NextBatch(10, 0) {
			a.Merge(row, 0)
		}
		require.Equal(t, suspect.Unsuspected, level(a, 1))
		require.Equal(t, suspect.Unsuspected, level(b, 1))
	}
}

// Guards against a crashing request that is never blocked, as its row is full of deaths with other
// requests in flight.
func TestDeathAloneCountsInFullRow(t *testing.T) {
	table, peer := suspect.NewTable(), suspect.NewTable()
	for id := range uint64(20) {
		table.RecordDeath(1, suspect.Death{ID: id}, 0)
	}
	require.Equal(t, suspect.Suspected, level(table, 1))
	for _, row := range table.NextBatch(10, 0) {
		peer.Merge(row, 0)
	}
	table.RecordDeath(1, suspect.Death{ID: 100, Alone: true}, 0)
	require.Equal(t, suspect.Blocked, level(table, 1))
	for _, row := range table.NextBatch(10, 0) {
		peer.Merge(row, 0)
	}
	require.Equal(t, suspect.Blocked, level(peer, 1))
}

// Guards against a request that is never blocked, as its row is full of proven deaths with other requests in
// flight and takes no uncertain ones alone.
func TestUncertainDeathAloneCountsInFullRow(t *testing.T) {
	table := suspect.NewTable()
	for id := range uint64(20) {
		table.RecordDeath(1, suspect.Death{ID: id}, 0)
	}
	table.RecordDeath(1, suspect.Death{ID: 100, Alone: true, Uncertain: true}, 0)
	require.Equal(t, suspect.Blocked, level(table, 1))
}

// Guards against nodes with full rows that send each other the deaths that the other one drops.
func TestFullRowsWithOtherDeathsSettle(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	for id := range uint64(8) {
		a.RecordDeath(1, suspect.Death{ID: id, Alone: id%2 == 0}, 0)
		b.RecordDeath(1, suspect.Death{ID: 100 + id, Alone: id%4 == 0, Trial: id == 4}, 0)
	}
	exchange := func() (changed bool) {
		fromA, fromB := a.NextBatch(1, 0), b.NextBatch(1, 0)
		changed = a.Merge(fromB[0], 0)
		return b.Merge(fromA[0], 0) || changed
	}
	require.True(t, exchange())
	require.False(t, exchange())
	require.ElementsMatch(t, a.NextBatch(1, 0)[0].Deaths, b.NextBatch(1, 0)[0].Deaths)
}

// Guards against nodes that send each other old deaths for good, as neither can keep all of them.
func TestTablesWithOtherClearedDeathsSettle(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	for id := range uint64(8) {
		a.RecordDeath(1, suspect.Death{ID: id, Alone: true}, 0)
		b.RecordDeath(1, suspect.Death{ID: 100 + id, Alone: true}, 0)
	}
	a.Clear(1)
	b.Clear(1)
	exchange := func() (changed bool) {
		fromA, fromB := a.NextBatch(1, 0), b.NextBatch(1, 0)
		changed = a.Merge(fromB[0], 0)
		return b.Merge(fromA[0], 0) || changed
	}
	for range 3 {
		exchange()
	}
	require.False(t, exchange())
	require.Equal(t, suspect.Unsuspected, level(a, 1))
	require.Equal(t, suspect.Unsuspected, level(b, 1))
}

// Guards against requests that are remembered for good.
func TestRequestOnTrialIsForgotten(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 1, Alone: true}, 0)
	table.RecordDeath(1, suspect.Death{ID: 2, Alone: true}, 0)
	table.Expire(suspect.BlockFor + 24*time.Hour - 1)
	require.Equal(t, 1, table.Len())
	table.Expire(suspect.BlockFor + 24*time.Hour)
	require.Zero(t, table.Len())
}

// Guards against nodes that learn of a block later than others and count its time from then on.
func TestBlocksEndAtTheSameTimeEverywhere(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	a.RecordDeath(1, suspect.Death{ID: 1, Alone: true}, 0)
	a.RecordDeath(1, suspect.Death{ID: 2, Alone: true}, 0)
	const late = time.Minute
	for _, row := range a.NextBatch(1, late) {
		require.True(t, b.Merge(row, late))
	}
	require.Equal(t, entry(a, 1), entry(b, 1))
	a.RecordDeath(1, suspect.Death{ID: 3, Alone: true, Trial: true}, suspect.BlockFor)
	for _, row := range a.NextBatch(10, suspect.BlockFor) {
		b.Merge(row, suspect.BlockFor)
	}
	require.Equal(t, 11*suspect.BlockFor, entry(a, 1).Until)
	require.Equal(t, entry(a, 1), entry(b, 1))
}

// Guards against nodes that try a request all at once when its block ends.
func TestTrialDelaysDiffer(t *testing.T) {
	blocked := suspect.Entry{Level: suspect.Blocked, Until: time.Minute}
	delays := map[time.Duration]bool{}
	for range 10 {
		d := suspect.NewTrialDelay()
		blockedFor := d.BlockedFor(blocked.At(0), 0)
		require.GreaterOrEqual(t, blockedFor, time.Minute)
		require.Equal(t, blockedFor-time.Minute, d.BlockedFor(blocked.At(time.Minute), time.Minute))
		require.Zero(t, d.BlockedFor(blocked.At(blockedFor), blockedFor))
		delays[blockedFor] = true
	}
	require.Greater(t, len(delays), 1)
	require.Zero(t, suspect.NewTrialDelay().BlockedFor(suspect.Entry{Level: suspect.Suspected, Until: time.Minute}, 0))
}

// Two backend servers are killed by hand at the same moment with the same
// popular read in flight on both. It never ran alone, so it must not be blocked.
func TestTwoDeathsWithOtherRequestsInFlightDoNotBlock(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 10}, 0)
	table.RecordDeath(1, suspect.Death{ID: 11}, 0)
	require.Equal(t, suspect.Suspected, level(table, 1))
}

// Guards against a popular request that is blocked as backend servers are killed one after the
// other while it runs alone there.
func TestServedRequestIsBlockedByMoreDeathsOnly(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 10, Served: true}, 0)
	require.Equal(t, suspect.Unsuspected, level(table, 1))
	table.RecordDeath(1, suspect.Death{ID: 11, Alone: true, Served: true}, 0)
	table.RecordDeath(1, suspect.Death{ID: 12, Alone: true, Served: true}, 0)
	require.Equal(t, suspect.Suspected, level(table, 1))
	table.RecordDeath(1, suspect.Death{ID: 13, Alone: true, Served: true}, 500*time.Millisecond)
	require.Equal(t, suspect.Suspected, level(table, 1))
	table.RecordDeath(1, suspect.Death{ID: 14, Alone: true, Served: true}, time.Second)
	require.Equal(t, suspect.Blocked, level(table, 1), "it may crash servers only since a change of theirs")
	table.Clear(1)
	require.Equal(t, suspect.Unsuspected, level(table, 1))
}

// The report of an old death arrives after the request was cleared of it. The
// request must not become a suspect again.
func TestLateReportOfClearedDeathIsIgnored(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	a.RecordDeath(1, suspect.Death{ID: 10}, 0)
	late := a.NextBatch(1, 0)[0]
	b.Merge(late, 0)
	b.Clear(1)
	b.Merge(late, time.Second)
	require.Equal(t, suspect.Unsuspected, level(b, 1))
	b.RecordDeath(1, suspect.Death{ID: 12}, time.Second)
	require.Equal(t, suspect.Suspected, level(b, 1))
}

// A row that is gossiped between nodes must expire, whichever node sends it last.
func TestGossipDoesNotKeepRowsAlive(t *testing.T) {
	a, b := suspect.NewTable(), suspect.NewTable()
	a.RecordDeath(1, suspect.Death{ID: 10}, 0)
	now := time.Duration(0)
	const delay = 10 * time.Millisecond
	for now < 2*suspect.BlockFor {
		for _, pair := range [][2]*suspect.Table{{a, b}, {b, a}} {
			pair[0].Expire(now)
			batch := pair[0].NextBatch(1, now)
			now += delay
			for _, n := range batch {
				pair[1].Merge(n, now)
			}
		}
		now += time.Second
	}
	a.Expire(now)
	b.Expire(now)
	require.Empty(t, a.Dump(now))
	require.Empty(t, b.Dump(now))
}

// Nodes receive the same updates in different orders and more than once. They
// must reach the same level.
func TestMergeIgnoresOrderAndRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := suspect.NewTable(), suspect.NewTable(), suspect.NewTable()
		tables := []*suspect.Table{a, b}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, 1).Draw(t, "at")]
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				table.Clear(1)
				continue
			}
			id := rapid.Uint64Range(1, 4).Draw(t, "death")
			table.RecordDeath(1, suspect.Death{ID: id, Alone: rapid.Bool().Draw(t, "alone"), Served: rapid.Bool().Draw(t, "served"), Trial: rapid.Bool().Draw(t, "trial")}, 0)
		}
		merge := func(to, from *suspect.Table) {
			for _, n := range from.NextBatch(10, 0) {
				to.Merge(n, 0)
			}
		}
		merge(c, b)
		merge(c, a)
		merge(c, b)
		merge(a, b)
		require.Equal(t, level(a, 1), level(c, 1))
	})
}

func TestTableIsBounded(t *testing.T) {
	table := suspect.NewTable()
	for f := range uint64(10_000) {
		table.RecordDeath(f, suspect.Death{ID: f}, time.Duration(f))
	}
	require.LessOrEqual(t, len(table.Dump(0)), 256)
}

func TestFingerprint(t *testing.T) {
	print := func(change func(set func(name, value string))) uint64 {
		r := httptest.NewRequest("GET", "/a?b=c", nil)
		if change != nil {
			change(r.Header.Set)
		}
		return suspect.Fingerprint("s", r, nil)
	}
	plain := print(nil)
	require.Equal(t, plain, print(func(set func(n, v string)) { set("X-Request-Id", "7") }), "ids differ between sendings")
	require.NotEqual(t, plain, print(func(set func(n, v string)) { set("X-Crash", "1") }))
	require.NotEqual(t, plain, suspect.Fingerprint("other", httptest.NewRequest("GET", "/a?b=c", nil), nil))
	require.NotEqual(t, plain, suspect.Fingerprint("s", httptest.NewRequest("GET", "/a?b=c", nil), []byte("body")))
}

// Guards against uncertain deaths that drive a blocked request out of the table.
func TestUncertainDeathsEvictNoBlockedRequest(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 1}, 0)
	table.RecordDeath(1, suspect.Death{ID: 2, Alone: true}, 0)
	for id := range uint64(1000) {
		table.RecordDeath(100+id, suspect.Death{ID: 100 + id, Uncertain: true}, time.Second)
	}
	require.Equal(t, suspect.Blocked, level(table, 1))
}

// Guards against a suspect that is sent to other nodes too late, as many uncertain deaths come before it.
func TestBatchesHoldRestrictingRowsFirst(t *testing.T) {
	const (
		minorRows = 40
		limit     = 8
		crashing  = 1000
	)
	table := suspect.NewTable()
	for i := range uint64(minorRows) {
		table.RecordDeath(i, suspect.Death{ID: i, Uncertain: true}, 0)
	}
	table.RecordDeath(crashing, suspect.Death{ID: crashing}, 0)
	sent := map[uint64]bool{}
	for range minorRows {
		batch := table.NextBatch(limit, 0)
		require.Len(t, batch, limit)
		require.True(t, slices.ContainsFunc(batch, func(r wire.Suspect) bool { return r.Fingerprint == crashing }))
		for _, r := range batch {
			sent[r.Fingerprint] = true
		}
	}
	require.Len(t, sent, minorRows+1, "all rows are sent in turn")
}
