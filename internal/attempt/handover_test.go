package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// movedKey finds a key whose home is vm under one list of targets and a under another.
func movedKey(vm string, under, now []string) string {
	for n := 0; ; n++ {
		key := fmt.Sprint("moved-", n)
		if attempt.Home("s", key, under) == vm && attempt.Home("s", key, now) == "a" {
			return key
		}
	}
}

func claimKey(key string, incarnation uint64, now time.Duration) attempt.Claim {
	return attempt.Claim{ID: attempt.KeyID(key), Incarnation: incarnation, Tick: attempt.Tick(now)}
}

// predecessor is a home that has taken keys for long enough.
func predecessor(k attempt.Keys) *attempt.Table {
	t := attempt.NewTable(1)
	listed(t, k)
	t.Confirm(k.Addr, waitFor)
	return t
}

// A home is restarted, and its next process takes over what it knew. Whatever
// may have happened in between, no booking runs a second time.
func TestWhatASuccessorMakesOfItsPredecessorsKeys(t *testing.T) {
	abc, ab, ac := []string{"a", "b", "c"}, []string{"a", "b"}, []string{"a", "c"}
	stays, moved := keyOf("a", abc...), movedKey("b", ab, ac)
	first := rules("ip", abc...)
	short := first
	short.Lifetime = aMinute
	cases := []struct {
		name   string
		before func(*attempt.Table)
		rules  attempt.Keys
		next   attempt.Keys
		after  func(*attempt.Table)
		key    string
		taken  bool
		want   attempt.Verdict
	}{
		{name: "a copy of what ran there", key: "ran", taken: true, want: attempt.Known},
		{name: "a new key", key: stays, taken: true, want: attempt.Start},
		{
			name: "the targets were changed meanwhile", rules: rules("ip", ab...), next: rules("ip", ac...),
			key: moved, taken: true, want: attempt.Young,
		},
		{
			name: "they were changed before", rules: rules("ip", ab...), next: rules("ip", ac...),
			before: func(t *attempt.Table) { t.SetKeys(rules("ip", ac...), waitFor) },
			key:    moved, taken: true, want: attempt.Young,
		},
		{name: "the lifetime was raised meanwhile", rules: short, key: stays, taken: true, want: attempt.Young},
		{
			name: "another process in between was heard of", after: func(t *attempt.Table) { t.Heard(2, 0) },
			key: stays, want: attempt.Young,
		},
		{
			name: "a newer one was heard of", after: func(t *attempt.Table) { t.Heard(9, 0) },
			key: stays, want: attempt.Young,
		},
		{
			name: "another was listed in the successor's place", key: stays, want: attempt.Young,
			after: func(t *attempt.Table) { t.Confirm("other", 1); t.Confirm("ip", 2) },
		},
		{name: "the platform shows the VM elsewhere", next: rules("ip2", abc...), key: stays, want: attempt.Young},
		{
			name: "the VM serves something else now", key: stays, want: attempt.Young,
			next: attempt.Keys{Service: "t", Self: "a", Targets: []string{"a"}, Lifetime: lifetime, Addr: "ip"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.rules.Service == "" {
				c.rules = first
			}
			if c.next.Service == "" {
				c.next = first
			}
			old := predecessor(c.rules)
			if c.before != nil {
				c.before(old)
			}
			ran, _ := old.Begin(claimKey("ran", 1, waitFor), waitFor)
			sealed, ok := old.SealKeys(waitFor)
			require.True(t, ok)
			next := attempt.NewTable(3)
			listed(next, c.next)
			if c.after != nil {
				c.after(next)
			}
			require.Equal(t, c.taken, next.TakeKeys(sealed, time.Second))
			if c.key == "ran" && ran != attempt.Start {
				t.Skip("the key's home is another")
			}
			v, _ := next.Check(claimKey(c.key, 3, time.Second), time.Second)
			require.Equal(t, c.want, v)
		})
	}
}

// A home has handed its keys on and lives a little longer. If it still called a
// key "not run", or ran it, its successor could run it too.
func TestAfterHandingItsKeysOnAHomeDecidesNothing(t *testing.T) {
	key := keyOf("a", "a", "b", "c")
	old := predecessor(rules("ip", "a", "b", "c"))
	_, ok := old.SealKeys(waitFor)
	require.True(t, ok)
	v, _ := old.Begin(claimKey(key, 1, waitFor), waitFor)
	require.Equal(t, attempt.Handed, v)
	require.Equal(t, wire.AttemptAbsent, old.Seal(claimKey(key, 1, waitFor), false, waitFor))
	_, again := old.SealKeys(waitFor)
	require.False(t, again)
}

// Who isn't certain to be the home has nothing to hand on.
func TestOnlyAConfirmedHomeHandsItsKeysOn(t *testing.T) {
	for name, happens := range map[string]func(*attempt.Table) time.Duration{
		"the platform's word is old":  func(*attempt.Table) time.Duration { return waitFor + aMinute },
		"a newer process is heard of": func(t *attempt.Table) time.Duration { t.Heard(2, waitFor); return waitFor },
		"listed elsewhere": func(t *attempt.Table) time.Duration {
			t.Confirm("other", waitFor)
			return waitFor
		},
		"suspended": func(t *attempt.Table) time.Duration { t.Doubt(); return waitFor },
	} {
		old := predecessor(rules("ip", "a", "b", "c"))
		_, ok := old.SealKeys(happens(old))
		require.False(t, ok, name)
	}
}

// A home is restarted every few days for months. Were a predecessor's records
// never dropped, they would fill the table, and bookings would be refused.
func TestAPredecessorsRecordsGoInTime(t *testing.T) {
	old := predecessor(rules("ip", "a"))
	for n := range 100 {
		_, _ = old.Begin(claimKey(fmt.Sprint("k", n), 1, waitFor), waitFor)
	}
	sealed, ok := old.SealKeys(waitFor)
	require.True(t, ok)
	next := attempt.NewTable(2)
	listed(next, rules("ip", "a"))
	require.True(t, next.TakeKeys(sealed, time.Second))
	records, _ := next.Len()
	require.Equal(t, 100, records)
	const late = 24 * time.Hour
	for range records {
		_, _ = next.Check(claimKey("later", 2, late), late)
	}
	records, _ = next.Len()
	require.Zero(t, records)
}

func TestAnswersAreHandedWithinABound(t *testing.T) {
	old := predecessor(rules("ip", "a"))
	const runs = 100
	for n := range runs {
		key := fmt.Sprint("k", n)
		v, _ := old.Begin(claimKey(key, 1, waitFor), waitFor)
		require.Equal(t, attempt.Start, v)
		if n > 0 {
			old.Finish(attempt.KeyID(key), &attempt.Answer{Status: 200, Body: make([]byte, attempt.MaxAnswer)}, waitFor)
		}
	}
	sealed, ok := old.SealKeys(waitFor)
	require.True(t, ok)
	next := attempt.NewTable(2)
	listed(next, rules("ip", "a"))
	require.True(t, next.TakeKeys(sealed, time.Second))
	states := map[wire.AttemptState]int{}
	for n := range runs {
		state, _, _ := next.Look(attempt.KeyID(fmt.Sprint("k", n)))
		states[state]++
	}
	_, stored := next.Len()
	require.LessOrEqual(t, stored, 2<<20)
	require.Equal(t, 31, states[wire.AttemptDone], "the rest of 2 MiB takes no more")
	require.Equal(t, runs-31, states[wire.AttemptLost], "a run under way at the seal among them")
}
