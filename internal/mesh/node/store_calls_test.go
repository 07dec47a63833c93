package node

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// Guards against repeated failures of the store that are not logged with the number of bytes
// received.
func TestEachFailedStoreCallIsLoggedWithBytesReceived(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := decision.New(ctx, &out, slog.LevelInfo)
	calls := newStoreCalls(log, metrics.New())
	calls.observe(StoreCall{Query: "/watch", Took: time.Second, AnswerAfter: time.Millisecond, Bytes: 10})
	cut := StoreCall{Query: "/read", Took: time.Second, AnswerAfter: 5 * time.Millisecond, Bytes: 700_000, Err: eris.New("cut")}
	calls.observe(cut)
	calls.observe(cut)
	require.Eventually(t, func() bool { n, _ := log.Counts(); return n == 2 }, time.Minute, time.Millisecond)
	cancel()
	require.Equal(t, 2, bytes.Count(out.Bytes(), []byte(`"bytes":700000`)))
	require.Contains(t, out.String(), `"answer_after_ms":5`)
	require.EqualValues(t, 1_400_010, calls.received.Load())
}

// Guards against node metrics that exceed the page size of a monitor.
func TestNodeRegistryLeavesOutLabelledMetrics(t *testing.T) {
	m := metrics.New()
	m.Gauge("limpetdock_a", "A gauge.", func() float64 { return 1 })
	m.Answered("orders", "", time.Second)
	plain, err := m.Node.Gather()
	require.NoError(t, err)
	require.Len(t, plain, 1)
	all, err := m.Registry.Gather()
	require.NoError(t, err)
	require.Greater(t, len(all), 1)
}
