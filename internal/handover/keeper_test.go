package handover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

func at(up time.Duration) Moment { return Moment{Up: up, Wall: time.Unix(1e9, 0).Add(up)} }

func offer(incarnation uint64, bytes uint64) *wire.KeysOffer {
	return &wire.KeysOffer{Format: wire.KeysFormat, VM: "a", Incarnation: incarnation, Bytes: bytes, HoldMs: 10_000}
}

func ask(incarnation uint64, seq uint32) *wire.KeysRequest {
	return &wire.KeysRequest{Format: wire.KeysFormat, VM: "a", Incarnation: incarnation, Seq: seq}
}

func part(token uint64, seq uint32) *wire.KeysPart {
	return &wire.KeysPart{Token: token, Seq: seq, Parts: 2, Data: []byte{byte(seq)}}
}

func newKeeper() *Keeper {
	n := uint64(0)
	return NewKeeper(func() uint64 { n++; return n })
}

// keeperWithTable returns a keeper that has had a complete table of incarnation 5
// since time 0.
func keeperWithTable() (*Keeper, uint64) {
	k := newKeeper()
	token := k.Offer(offer(5, 100), 5, at(0)).Token
	k.Put("a", part(token, 0), at(0))
	k.Put("a", part(token, 1), at(0))
	return k, token
}

// In each refused case, serving the table would make a process the home of keys that
// another process has run or may still run.
func TestKeeperServesTableOnlyToSuccessor(t *testing.T) {
	const served, notServed = 2, 0
	cases := []struct {
		name string
		// serve returns the keeper's answer to the last request.
		serve func(k *Keeper, token uint64) *wire.KeysPart
		want  uint32
	}{
		{"to its successor in time", func(k *Keeper, _ uint64) *wire.KeysPart {
			k.ServePart(ask(6, 0), 5, at(time.Second))
			return k.ServePart(ask(6, 1), 6, at(time.Second))
		}, served},
		{"after its expiry", func(k *Keeper, _ uint64) *wire.KeysPart { return k.ServePart(ask(6, 0), 5, at(11*time.Second)) }, notServed},
		{"after its expiry by the wall clock alone", func(k *Keeper, _ uint64) *wire.KeysPart {
			return k.ServePart(ask(6, 0), 5, Moment{Up: time.Second, Wall: at(time.Minute).Wall})
		}, notServed},
		{"a second time", func(k *Keeper, _ uint64) *wire.KeysPart {
			k.ServePart(ask(6, 0), 5, at(0))
			k.ServePart(ask(6, 1), 5, at(0))
			return k.ServePart(ask(6, 0), 5, at(0))
		}, notServed},
		{"a part again whose answer was lost", func(k *Keeper, _ uint64) *wire.KeysPart {
			k.ServePart(ask(6, 0), 5, at(0))
			return k.ServePart(ask(6, 0), 5, at(0))
		}, notServed},
		{"the rest to another", func(k *Keeper, _ uint64) *wire.KeysPart {
			k.ServePart(ask(6, 0), 5, at(0))
			return k.ServePart(ask(7, 1), 5, at(0))
		}, notServed},
		{"when a third process has been seen", func(k *Keeper, _ uint64) *wire.KeysPart {
			return k.ServePart(ask(7, 0), 6, at(0))
		}, notServed},
		{"to an older process", func(k *Keeper, _ uint64) *wire.KeysPart { return k.ServePart(ask(4, 0), 5, at(0)) }, notServed},
		{"once served, sent again by a sender that missed the acknowledgement", func(k *Keeper, token uint64) *wire.KeysPart {
			k.ServePart(ask(6, 0), 5, at(0))
			k.ServePart(ask(6, 1), 5, at(0))
			k.Put("a", part(token, 0), at(0))
			k.Put("a", part(token, 1), at(0))
			return k.ServePart(ask(7, 0), 5, at(0))
		}, notServed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.serve(keeperWithTable()).Parts)
		})
	}
}

func TestKeeperRefusesInvalidOffersAndParts(t *testing.T) {
	k := newKeeper()
	require.Zero(t, k.Offer(offer(5, MaxBytes+1), 5, at(0)).Token, "too long")
	require.Zero(t, k.Offer(offer(5, 100), 6, at(0)).Token, "of a process that was replaced")
	other := offer(5, 100)
	other.Format++
	require.Zero(t, k.Offer(other, 5, at(0)).Token, "of another format")
	token := k.Offer(offer(5, 1), 5, at(0)).Token
	require.False(t, k.Put("a", part(token+1, 0), at(0)).OK, "under another token, as after a restart of the keeper")
	require.False(t, k.Put("b", part(token, 0), at(0)).OK, "from another VM")
	require.True(t, k.Put("a", part(token, 0), at(0)).OK)
	require.True(t, k.Put("a", part(token, 0), at(0)).OK, "the same again")
	require.False(t, k.Put("a", part(token, 1), at(0)).OK, "more than was offered")
	token = k.Offer(offer(5, 100), 5, at(0)).Token
	require.True(t, k.Put("a", part(token, 0), at(0)).OK)
	require.False(t, k.Put("a", part(token, 1), at(putTimeout+1)).OK, "from a process that was frozen after the first part")
	require.Empty(t, k.Tables())
	for n := range 3 {
		o := offer(5, MaxBytes)
		o.VM = fmt.Sprint(n)
		require.Equal(t, n < maxStoredBytes/MaxBytes, k.Offer(o, 5, at(0)).Token != 0, "memory is bounded")
	}
}

// A successor was frozen during the transfer.
func TestLateTableIsDiscarded(t *testing.T) {
	parts, err := Split(&attempt.KeyTable{})
	require.NoError(t, err)
	transfer := NewTransfer(at(0))
	_, err = transfer.Table(at(0))
	require.ErrorIs(t, err, ErrInvalid)
	_, err = transfer.Add(&wire.KeysPart{})
	require.ErrorIs(t, err, ErrNoTable)
	more, err := transfer.Add(&wire.KeysPart{Token: 1, Parts: 1, Data: parts[0]})
	require.NoError(t, err)
	require.False(t, more)
	_, err = transfer.Table(at(transferTimeout + 1))
	require.ErrorIs(t, err, ErrExpired)
	_, err = transfer.Table(at(transferTimeout))
	require.NoError(t, err)
}

// A keeper stops answering during a handover. If it received the last part, its copy
// is complete although the acknowledgement was lost.
func TestNoSecondKeeperAfterLastPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		failsAt int
		to      int
		ok      bool
		puts    int
	}{
		{"no failure", -1, 0, true, 3},
		{"no answer before the last part", 1, 1, true, 2 + 3},
		{"no answer at the last part", 2, 0, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			puts := 0
			to, ok := Send(2, 3, func(keeper, part int) error {
				puts++
				if keeper == 0 && part == c.failsAt {
					return ErrInvalid
				}
				return nil
			})
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.to, to)
			require.Equal(t, c.puts, puts)
		})
	}
}

// A table of 100 000 keys with answers must fit the size that a keeper accepts, in
// parts that fit a frame.
func TestLargestTableFits(t *testing.T) {
	const lifetime = 10 * time.Minute
	table := attempt.NewTable(1)
	table.SetKeys(attempt.KeyConfig{Service: "s", Self: "a", Targets: []string{"a"}, Lifetime: lifetime, Addr: "ip"}, 0)
	table.Confirm("ip", 0)
	now := 2 * time.Hour
	table.Confirm("ip", now)
	for n := range 100_000 {
		id := attempt.KeyID(fmt.Sprintf("%036d", n))
		_, _ = table.Begin(attempt.Claim{ID: id, Incarnation: 1, Tick: attempt.Tick(now)}, now)
		table.Finish(id, &attempt.Answer{Status: 200, Body: make([]byte, 300)}, now)
	}
	bytes, _, ok := table.HandoverSize(now)
	require.True(t, ok)
	require.LessOrEqual(t, bytes, MaxBytes)
	sealed, ok := table.SealKeys(now)
	require.True(t, ok)
	parts, err := Split(sealed)
	require.NoError(t, err)
	total := 0
	for i, data := range parts {
		total += len(data)
		_, err := wire.Encode(&wire.KeysPart{Token: 1, Seq: uint32(i), Parts: uint32(len(parts)), Data: data})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, total, bytes)
	t.Logf("%d bytes in %d parts", total, len(parts))
}
