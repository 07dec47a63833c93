package wire_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/wire"
)

func messages() []wire.Message {
	return []wire.Message{
		&wire.Hello{Fleet: "f", VM: "vm1", Incarnation: 7},
		&wire.Gossip{
			From: "vm1", Revision: 3, Digest: "d", VMs: 9,
			Members: []wire.Member{{VM: "vm2", Incarnation: 1 << 60, State: wire.MemberLeaving, Tick: 5, Order: 1 << 60, Beat: 2}},
		},
		&wire.Fetch{Digest: "d"},
		&wire.Document{Digest: "d", Text: []byte("text")},
		&wire.Seal{Incarnation: 1, Attempt: "a"},
		&wire.Sealed{State: wire.AttemptSealed},
		&wire.KeysOffer{Format: wire.KeysFormat, VM: "vm1", Incarnation: 1 << 60, Bytes: 9, HoldMs: 1000},
		&wire.KeysGrant{Token: 1 << 60},
		&wire.KeysPart{Token: 1 << 60, Parts: 1, Data: []byte("chunk")},
		&wire.KeysAck{OK: true},
		&wire.KeysRequest{Format: wire.KeysFormat, VM: "vm1", Incarnation: 1 << 60, Seq: 3},
		&wire.FetchVMs{},
		&wire.VMs{Version: 4, Rows: []wire.VM{{Name: "vm1", IP: "10.0.0.1", Leaving: true}}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range messages() {
		frame, err := wire.Encode(m)
		require.NoError(t, err)
		got, err := wire.Read(bytes.NewReader(frame))
		require.NoError(t, err, "%T", m)
		require.Equal(t, m, got)
		for cut := range frame {
			_, err := wire.Read(bytes.NewReader(frame[:cut]))
			require.Error(t, err, "%T cut after %d bytes", m, cut)
		}
	}
}

// A node's budget for control traffic is 4 KB/s, and Member rows make up most of it.
func TestMemberRowIsAtMost64Bytes(t *testing.T) {
	row := wire.Member{VM: "catalogue-rs-a-0001", Incarnation: 1 << 60, Tick: 1 << 20, Order: 1 << 60, Beat: 1 << 20}
	one, err := wire.Encode(&wire.Gossip{Members: []wire.Member{row}})
	require.NoError(t, err)
	two, err := wire.Encode(&wire.Gossip{Members: []wire.Member{row, row}})
	require.NoError(t, err)
	require.LessOrEqual(t, len(two)-len(one), 64)
}

// FuzzRead passes arbitrary input to Read, which must not panic and must return an
// error or a message that can be encoded and read again.
func FuzzRead(f *testing.F) {
	for _, m := range messages() {
		frame, err := wire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Read(bytes.NewReader(frame))
		if err != nil {
			return
		}
		again, err := wire.Encode(m)
		require.NoError(t, err)
		_, err = wire.Read(bytes.NewReader(again))
		require.NoError(t, err)
	})
}
