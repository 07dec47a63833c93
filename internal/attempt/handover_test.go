package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// movedKey returns a key whose home is vm under one list of targets and a under
// another.
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

// predecessor returns a home that has accepted keys for long enough.
func predecessor(k attempt.KeyConfig) *attempt.Table {
	t := attempt.NewTable(1)
	startListed(t, k)
	t.Confirm(k.Addr, startDelay)
	return t
}

// A home is restarted, and its next process restores the key table. Whatever happened
// in between, no booking may run a second time.
func TestRestoredKeysNeverRunTwice(t *testing.T) {
	abc, ab, ac := []string{"a", "b", "c"}, []string{"a", "b"}, []string{"a", "c"}
	stays, moved := keyOf("a", abc...), movedKey("b", ab, ac)
	first := rules("ip", abc...)
	short := first
	short.Lifetime = aMinute
	cases := []struct {
		name     string
		before   func(*attempt.Table)
		rules    attempt.KeyConfig
		next     attempt.KeyConfig
		after    func(*attempt.Table)
		key      string
		restored bool
		want     attempt.Verdict
	}{
		{name: "a copy of what ran there", key: "ran", restored: true, want: attempt.Known},
		{name: "a new key", key: stays, restored: true, want: attempt.Start},
		{
			name: "the targets were changed meanwhile", rules: rules("ip", ab...), next: rules("ip", ac...),
			key: moved, restored: true, want: attempt.TooEarly,
		},
		{
			name: "the targets were changed before", rules: rules("ip", ab...), next: rules("ip", ac...),
			before: func(t *attempt.Table) { t.SetKeys(rules("ip", ac...), startDelay) },
			key:    moved, restored: true, want: attempt.TooEarly,
		},
		{name: "the lifetime was raised meanwhile", rules: short, key: stays, restored: true, want: attempt.TooEarly},
		{
			name: "another process in between was seen", after: func(t *attempt.Table) { t.NoteIncarnation(2, 0) },
			key: stays, want: attempt.TooEarly,
		},
		{
			name: "a newer process was seen", after: func(t *attempt.Table) { t.NoteIncarnation(9, 0) },
			key: stays, want: attempt.TooEarly,
		},
		{
			name: "another was listed in the successor's place", key: stays, want: attempt.TooEarly,
			after: func(t *attempt.Table) { t.Confirm("other", 1); t.Confirm("ip", 2) },
		},
		{name: "the platform lists the VM under another address", next: rules("ip2", abc...), key: stays, want: attempt.TooEarly},
		{
			name: "the VM serves another service now", key: stays, want: attempt.TooEarly,
			next: attempt.KeyConfig{Service: "t", Self: "a", Targets: []string{"a"}, Lifetime: lifetime, Addr: "ip"},
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
			ran, _ := old.Begin(claimKey("ran", 1, startDelay), startDelay)
			sealed, ok := old.SealKeys(startDelay)
			require.True(t, ok)
			next := attempt.NewTable(3)
			startListed(next, c.next)
			if c.after != nil {
				c.after(next)
			}
			require.Equal(t, c.restored, next.RestoreKeys(sealed, time.Second))
			if c.key == "ran" && ran != attempt.Start {
				t.Skip("the key's home is another")
			}
			v, _ := next.Check(claimKey(c.key, 3, time.Second), time.Second)
			require.Equal(t, c.want, v)
		})
	}
}

// A home has handed over its keys and is still running. If it still reported a key as
// "not run", or ran it, its successor could run it too.
func TestHomeRefusesKeysAfterHandover(t *testing.T) {
	key := keyOf("a", "a", "b", "c")
	old := predecessor(rules("ip", "a", "b", "c"))
	_, ok := old.SealKeys(startDelay)
	require.True(t, ok)
	v, _ := old.Begin(claimKey(key, 1, startDelay), startDelay)
	require.Equal(t, attempt.HandedOver, v)
	require.Equal(t, wire.AttemptAbsent, old.Seal(claimKey(key, 1, startDelay), false, startDelay))
	_, again := old.SealKeys(startDelay)
	require.False(t, again)
}

// A process that isn't certain to be the home must not hand over keys.
func TestOnlyConfirmedHomeHandsOverKeys(t *testing.T) {
	for name, happens := range map[string]func(*attempt.Table) time.Duration{
		"the last listing is too old": func(*attempt.Table) time.Duration { return startDelay + aMinute },
		"a newer process was seen":    func(t *attempt.Table) time.Duration { t.NoteIncarnation(2, startDelay); return startDelay },
		"listed under another address": func(t *attempt.Table) time.Duration {
			t.Confirm("other", startDelay)
			return startDelay
		},
		"suspended": func(t *attempt.Table) time.Duration { t.ExpireConfirmation(); return startDelay },
	} {
		old := predecessor(rules("ip", "a", "b", "c"))
		_, ok := old.SealKeys(happens(old))
		require.False(t, ok, name)
	}
}

// A home is restarted every few days for months. If a predecessor's records were never
// dropped, they would fill the table and bookings would be refused.
func TestRestoredRecordsExpire(t *testing.T) {
	old := predecessor(rules("ip", "a"))
	for n := range 100 {
		_, _ = old.Begin(claimKey(fmt.Sprint("k", n), 1, startDelay), startDelay)
	}
	sealed, ok := old.SealKeys(startDelay)
	require.True(t, ok)
	next := attempt.NewTable(2)
	startListed(next, rules("ip", "a"))
	require.True(t, next.RestoreKeys(sealed, time.Second))
	records, _ := next.Len()
	require.Equal(t, 100, records)
	const late = 24 * time.Hour
	for range records {
		_, _ = next.Check(claimKey("later", 2, late), late)
	}
	records, _ = next.Len()
	require.Zero(t, records)
}

func TestHandedOverAnswersAreBounded(t *testing.T) {
	old := predecessor(rules("ip", "a"))
	const runs = 100
	for n := range runs {
		key := fmt.Sprint("k", n)
		v, _ := old.Begin(claimKey(key, 1, startDelay), startDelay)
		require.Equal(t, attempt.Start, v)
		if n > 0 {
			old.Finish(attempt.KeyID(key), &attempt.Answer{Status: 200, Body: make([]byte, attempt.MaxAnswer)}, startDelay)
		}
	}
	sealed, ok := old.SealKeys(startDelay)
	require.True(t, ok)
	next := attempt.NewTable(2)
	startListed(next, rules("ip", "a"))
	require.True(t, next.RestoreKeys(sealed, time.Second))
	states := map[wire.AttemptState]int{}
	for n := range runs {
		state, _, _ := next.Lookup(attempt.KeyID(fmt.Sprint("k", n)))
		states[state]++
	}
	_, stored := next.Len()
	require.LessOrEqual(t, stored, 2<<20)
	require.Equal(t, 31, states[wire.AttemptDone], "no further answer fits into 2 MiB")
	require.Equal(t, runs-31, states[wire.AttemptLost], "including a run that was in progress at the seal")
}
