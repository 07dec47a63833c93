package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// keyOf returns a key whose home among targets is vm.
func keyOf(vm string, targets ...string) string {
	for n := 0; ; n++ {
		key := "key-" + time.Duration(n).String()
		if attempt.Home("s", key, targets) == vm {
			return key
		}
	}
}

func rules(addr string, targets ...string) attempt.KeyConfig {
	return attempt.KeyConfig{Service: "s", Self: "a", Targets: targets, Lifetime: lifetime, Addr: addr}
}

const (
	// keyRetention is how long a key's record is kept.
	keyRetention = lifetime + 3*attempt.MaxKeyDelay
	// startDelay is how long a new process waits: twice the retention, because its
	// predecessor may have accepted keys for one retention after its start.
	startDelay = 2 * keyRetention
	aMinute    = time.Minute
)

// startListed applies rules in a new process that the platform lists at once.
func startListed(t *attempt.Table, k attempt.KeyConfig) {
	t.SetKeys(k, 0)
	t.Confirm("ip", 0)
}

func TestHomeAcceptsKeyOnlyWithFullHistory(t *testing.T) {
	stays := keyOf("a", "a", "b", "c")
	cases := []struct {
		// Each name describes the history; happens applies it and returns the current
		// time.
		name    string
		happens func(*attempt.Table) (now time.Duration)
		want    attempt.Verdict
		wait    time.Duration
	}{
		{"a new process can't know what its predecessor ran", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			return aMinute
		}, attempt.TooEarly, startDelay - aMinute},
		{"a process with records of a whole lifetime without a predecessor accepts it", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", startDelay)
			return startDelay
		}, attempt.Start, 0},
		{"a copy may be delayed on its way: a lifetime alone isn't enough", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", startDelay-3*attempt.MaxKeyDelay)
			return startDelay - 3*attempt.MaxKeyDelay
		}, attempt.TooEarly, 3 * attempt.MaxKeyDelay},
		{"the home was another target until a minute ago", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "b", "c"))
			t.SetKeys(rules("ip", "a", "b", "c"), 2*keyRetention)
			t.Confirm("ip", 2*keyRetention+aMinute)
			return 2*keyRetention + aMinute
		}, attempt.TooEarly, startDelay - aMinute},
		{"a change of targets doesn't affect a key whose home stays", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.SetKeys(rules("ip", "a", "b"), startDelay)
			t.Confirm("ip", startDelay+aMinute)
			return startDelay + aMinute
		}, attempt.Start, 0},
		{"another target is the home", func(t *attempt.Table) time.Duration {
			t.SetKeys(attempt.KeyConfig{Service: "s", Self: "b", Targets: []string{"a", "b", "c"}, Lifetime: lifetime}, 0)
			return 2 * keyRetention
		}, attempt.NotHome, 0},
		{"a longer lifetime needs records that were dropped", func(t *attempt.Table) time.Duration {
			short := rules("ip", "a", "b", "c")
			short.Lifetime = aMinute
			startListed(t, short)
			t.SetKeys(rules("ip", "a", "b", "c"), 2*keyRetention)
			t.Confirm("ip", 2*keyRetention)
			return 2 * keyRetention
		}, attempt.TooEarly, lifetime - aMinute},
		{"the platform's last confirmation has expired", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", keyRetention)
			return 2 * keyRetention
		}, attempt.Unconfirmed, 0},
		{"the platform lists the VM under its replacement's address", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", aMinute)
			t.Confirm("other", 2*keyRetention)
			return 2 * keyRetention
		}, attempt.Unconfirmed, 0},
		{"it wasn't listed until a minute ago", func(t *attempt.Table) time.Duration {
			t.SetKeys(rules("ip", "a", "b", "c"), 0)
			t.Confirm("ip", 2*keyRetention)
			return 2*keyRetention + aMinute
		}, attempt.TooEarly, startDelay - aMinute},
		{"another process was listed in its place until a minute ago", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("other", 2*keyRetention)
			t.Confirm("ip", 2*keyRetention+aMinute)
			return 2*keyRetention + aMinute
		}, attempt.Unconfirmed, 0},
		{"without an own address, the first listed one is used", func(t *attempt.Table) time.Duration {
			startListed(t, rules("", "a", "b", "c"))
			t.Confirm("ip", aMinute)
			t.Confirm("other", 2*keyRetention)
			return 2 * keyRetention
		}, attempt.Unconfirmed, 0},
		{"a peer has reported a newer incarnation", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", 2*keyRetention)
			t.NoteIncarnation(2, 2*keyRetention-aMinute)
			return 2 * keyRetention
		}, attempt.Unconfirmed, 0},
		{"the process was suspended and its clock stopped", func(t *attempt.Table) time.Duration {
			startListed(t, rules("ip", "a", "b", "c"))
			t.Confirm("ip", 2*keyRetention)
			t.ExpireConfirmation()
			return 2 * keyRetention
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

func TestRemovedTargetMovesOnlyItsKeys(t *testing.T) {
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

// A home was replaced while a confirmation ran there. A copy arrives through another
// entry, whose exchange with the new process breaks, so it asks the new process to
// seal the key. Sealing it would report "not run" for a confirmation that has run.
func TestNewHomeSealsNoKey(t *testing.T) {
	table := attempt.NewTable(2)
	table.SetKeys(rules("ip", "a"), 0)
	q := attempt.Claim{ID: attempt.KeyID("k"), Incarnation: 2, Tick: attempt.Tick(aMinute)}
	require.Equal(t, wire.AttemptAbsent, table.Seal(q, false, aMinute))
}
