package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// keyOf finds a key whose home among targets is vm.
func keyOf(vm string, targets ...string) string {
	for n := 0; ; n++ {
		key := "key-" + time.Duration(n).String()
		if attempt.Home("s", key, targets) == vm {
			return key
		}
	}
}

func rules(addr string, targets ...string) attempt.Keys {
	return attempt.Keys{Service: "s", Self: "a", Targets: targets, Lifetime: lifetime, Addr: addr}
}

const (
	// keptFor is how long a key's record is kept.
	keptFor = lifetime + 3*attempt.KeyDelay
	// waitFor is how long a new process waits: as long again, in which its
	// predecessor may have gone on.
	waitFor = 2 * keptFor
	aMinute = time.Minute
)

// listed puts rules in force in a new process that the platform shows at once.
func listed(t *attempt.Table, k attempt.Keys) {
	t.SetKeys(k, 0)
	t.Confirm("ip", 0)
}

func TestWhenAHomeTakesAKey(t *testing.T) {
	stays := keyOf("a", "a", "b", "c")
	cases := []struct {
		// Each name is the history; happens brings the table to now.
		name    string
		happens func(*attempt.Table) (now time.Duration)
		want    attempt.Verdict
		wait    time.Duration
	}{
		{"a new process can't know what its predecessor ran", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			return aMinute
		}, attempt.Young, waitFor - aMinute},
		{"one that remembers a lifetime in which no predecessor can have gone on takes it", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", waitFor)
			return waitFor
		}, attempt.Start, 0},
		{"slack for a copy held up on its way: a lifetime alone isn't enough", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", waitFor-3*attempt.KeyDelay)
			return waitFor - 3*attempt.KeyDelay
		}, attempt.Young, 3 * attempt.KeyDelay},
		{"the home was another target until a minute ago", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "b", "c"))
			t.SetKeys(rules("ip", "a", "b", "c"), 2*keptFor)
			t.Confirm("ip", 2*keptFor+aMinute)
			return 2*keptFor + aMinute
		}, attempt.Young, waitFor - aMinute},
		{"a change of targets leaves a key whose home it doesn't move", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.SetKeys(rules("ip", "a", "b"), waitFor)
			t.Confirm("ip", waitFor+aMinute)
			return waitFor + aMinute
		}, attempt.Start, 0},
		{"another target is the home", func(t *attempt.Table) time.Duration {
			t.SetKeys(attempt.Keys{Service: "s", Self: "b", Targets: []string{"a", "b", "c"}, Lifetime: lifetime}, 0)
			return 2 * keptFor
		}, attempt.NotHome, 0},
		{"a longer lifetime asks for a memory that was swept", func(t *attempt.Table) time.Duration {
			short := rules("ip", "a", "b", "c")
			short.Lifetime = aMinute
			listed(t, short)
			t.SetKeys(rules("ip", "a", "b", "c"), 2*keptFor)
			t.Confirm("ip", 2*keptFor)
			return 2 * keptFor
		}, attempt.Young, lifetime - aMinute},
		{"the platform hasn't been heard for long", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", keptFor)
			return 2 * keptFor
		}, attempt.Unconfirmed, 0},
		{"the platform lists the VM under its replacement's address", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", aMinute)
			t.Confirm("other", 2*keptFor)
			return 2 * keptFor
		}, attempt.Unconfirmed, 0},
		{"it wasn't listed until a minute ago", func(t *attempt.Table) time.Duration {
			t.SetKeys(rules("ip", "a", "b", "c"), 0)
			t.Confirm("ip", 2*keptFor)
			return 2*keptFor + aMinute
		}, attempt.Young, waitFor - aMinute},
		{"another process was listed in its place until a minute ago", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("other", 2*keptFor)
			t.Confirm("ip", 2*keptFor+aMinute)
			return 2*keptFor + aMinute
		}, attempt.Unconfirmed, 0},
		{"without an own address, the first one listed counts", func(t *attempt.Table) time.Duration {
			listed(t, rules("", "a", "b", "c"))
			t.Confirm("ip", aMinute)
			t.Confirm("other", 2*keptFor)
			return 2 * keptFor
		}, attempt.Unconfirmed, 0},
		{"a peer has told of a newer incarnation", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", 2*keptFor)
			t.Heard(2, 2*keptFor-aMinute)
			return 2 * keptFor
		}, attempt.Unconfirmed, 0},
		{"the process was suspended and its clock stood still", func(t *attempt.Table) time.Duration {
			listed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", 2*keptFor)
			t.Doubt()
			return 2 * keptFor
		}, attempt.Unconfirmed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := attempt.NewTable(1)
			now := c.happens(table)
			got, wait := table.Check(attempt.Claim{ID: attempt.KeyID(stays), Incarnation: 1, Tick: attempt.Tick(now)}, now)
			require.Equal(t, c.want, got)
			require.Equal(t, c.wait, wait)
		})
	}
}

func TestHomesMoveOnlyWithTheirTarget(t *testing.T) {
	three, two := []string{"a", "b", "c"}, []string{"c", "b"}
	counts := map[string]int{}
	for n := range 3000 {
		key := time.Duration(n).String()
		before, after := attempt.Home("s", key, three), attempt.Home("s", key, two)
		counts[before]++
		if before != "a" {
			require.Equal(t, before, after, "a key whose home is still declared stays, whatever the order")
		}
	}
	for vm, n := range counts {
		require.InDelta(t, 1000, n, 200, vm)
	}
	require.Empty(t, attempt.Home("s", "key", nil))
}

// A home was replaced while a confirmation ran there. A copy comes through
// another entry, whose exchange with the new process breaks, so it asks the new
// process to seal the key. Sealing it would tell the manager "not run" of a
// confirmation that has run.
func TestAYoungHomeSealsNoKey(t *testing.T) {
	table := attempt.NewTable(2)
	table.SetKeys(rules("ip", "a"), 0)
	q := attempt.Claim{ID: attempt.KeyID("k"), Incarnation: 2, Tick: attempt.Tick(aMinute)}
	require.Equal(t, wire.AttemptAbsent, table.Seal(q, false, aMinute))
}
