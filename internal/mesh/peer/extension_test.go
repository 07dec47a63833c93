package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guards against connections that nodes of another version close because a frame has fields that they
// don't know, or lacks fields that they expect.
func TestExtensionIsCompatibleWithVersionsWithoutIt(t *testing.T) {
	l := mesh.Load{Running: 3, Slots: 6, CallsTo: "stock", CallSuccess: 0.25, LinkRate: 1_625_000, LinkBacklog: 40 * time.Millisecond}
	frame, err := encodeExtended(frameLoad, 0, fromLoad(l), loadExtension(l))
	require.NoError(t, err)
	var old loadBody
	require.NoError(t, msgpack.Unmarshal(frame[prefixSize:], &old), "a version without extensions")
	require.Equal(t, fromLoad(l), old)

	var body loadBody
	x, err := decodeBody(frame[prefixSize:], &body)
	require.NoError(t, err)
	require.Equal(t, l, x.load(body))

	withoutExtension, err := encode(frameLoad, 0, fromLoad(l))
	require.NoError(t, err)
	x, err = decodeBody(withoutExtension[prefixSize:], &body)
	require.NoError(t, err)
	require.Equal(t, extension{}, x)
}

// Guards against frames that grow where no feature is in force.
func TestEmptyExtensionTakesNoBytes(t *testing.T) {
	l := mesh.Load{Running: 3, Slots: 6}
	plain, err := encode(frameLoad, 0, fromLoad(l))
	require.NoError(t, err)
	extended, err := encodeExtended(frameLoad, 0, fromLoad(l), loadExtension(l))
	require.NoError(t, err)
	require.Equal(t, plain, extended)
}

// Guards against a broken extension that is taken for an empty one.
func TestBrokenExtensionIsAnError(t *testing.T) {
	frame, err := encode(frameLoad, 0, fromLoad(mesh.Load{}))
	require.NoError(t, err)
	var body loadBody
	_, err = decodeBody(append(frame[prefixSize:], 0xc1), &body)
	require.Error(t, err)
}

// Guards against a refusal whose proof is lost on the way to the entry.
func TestRefusalCarriesProof(t *testing.T) {
	addr, _, client, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		e := kind.New(kind.Overloaded, "test").WithProof(kind.Rejected)
		e.Evidence = "status 503 on connection 10.0.0.1:4000"
		return nil, e
	})
	_, err := client.Run(t.Context(), addr, &mesh.Request{ID: "a", Remaining: time.Minute, Idempotent: true})
	require.Equal(t, kind.Rejected, err.ProofOfNotRun())
	require.Equal(t, "status 503 on connection 10.0.0.1:4000", err.Evidence)
}
