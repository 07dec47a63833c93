package metrics

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	rec := httptest.NewRecorder()
	promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
	text, err := io.ReadAll(rec.Result().Body)
	require.NoError(t, err)
	return string(text)
}

// Guards against an unbounded label set: callers may send made-up service names, and
// a later version may send kinds that this one doesn't know. As label values, each
// would permanently cost memory and scrape size.
func TestLabelsAreBounded(t *testing.T) {
	m := New()
	m.Answered("", kind.UnknownService, 0)
	m.Answered("orders", "made-up", 0)
	text := scrape(t, m)
	require.Contains(t, text, `limpetdock_requests_total{kind="unknown-service",service="_unknown"} 1`)
	require.Contains(t, text, `limpetdock_requests_total{kind="outcome-unknown",service="orders"} 1`)
	require.NotContains(t, text, "made-up")
	for i := range 2 * maxServices {
		m.Answered(fmt.Sprint("s", i), "", 0)
	}
	require.LessOrEqual(t, len(m.Usage()), maxServices+1)
	require.Contains(t, scrape(t, m), `service="_other"`)
}

func TestCounterNamesEndInTotal(t *testing.T) {
	m := New()
	m.Answered("orders", "", time.Second)
	m.Hopped("orders", kind.Overloaded)
	for line := range strings.Lines(scrape(t, m)) {
		if name, typ, ok := strings.Cut(strings.TrimPrefix(line, "# TYPE limpetdock_"), " "); ok && strings.HasPrefix(line, "# TYPE limpetdock_") {
			counter := strings.TrimSpace(typ) == "counter"
			require.Equal(t, counter, strings.HasSuffix(name, "_total"), line)
		}
	}
}

func TestCountingDoesNotAllocate(t *testing.T) {
	m := New()
	m.Answered("orders", kind.Overloaded, time.Millisecond)
	m.Hopped("orders", kind.Overloaded)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		m.Answered("orders", kind.Overloaded, time.Millisecond)
		m.Hopped("orders", kind.Overloaded)
	}))
}

func TestRecentRefusalsExpire(t *testing.T) {
	m := New()
	now := time.Unix(1_000_000, 0)
	m.now = func() time.Time { return now }
	m.Answered("orders", kind.Overloaded, 0)
	m.Answered("orders", "", 0)
	now = now.Add(RecentWindow / 2)
	m.Answered("orders", kind.Overloaded, 0)
	m.Answered("orders", kind.Leaving, 0)
	require.Equal(t, map[string]uint64{"overloaded": 2, "leaving": 1}, m.Usage()["orders"].Recent)
	now = now.Add(RecentWindow / 2)
	require.Equal(t, map[string]uint64{"overloaded": 1, "leaving": 1}, m.Usage()["orders"].Recent)
	now = now.Add(RecentWindow)
	require.Empty(t, m.Usage()["orders"].Recent)
	require.Equal(t, map[string]uint64{"overloaded": 2, "leaving": 1, "backend": 1}, m.Usage()["orders"].Answers)
}
