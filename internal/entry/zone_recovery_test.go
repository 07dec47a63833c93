package entry_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two of six guards fail with their zone and recover while callers read continuously through
// twelve entries. If every entry at once sent them as many requests as they seem to have
// capacity for, the first callers would wait behind a burst of connections and requests. The
// test counts what both guards receive until a second after both are reachable again.
func TestRecoveredZoneIsNotFloodedByEntries(t *testing.T) {
	const guards, back, entries, callers = 6, 2, 12, 4
	var runs [guards]atomic.Int64
	var urls []string
	for i := range guards {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs[i].Add(1)
			time.Sleep(2 * time.Millisecond)
		}))
		defer s.Close()
		urls = append(urls, s.URL)
	}
	w := newTestCluster(t, urls...)
	for len(w.entries) < entries {
		w.addEntry()
	}
	done, all := make(chan struct{}), sync.WaitGroup{}
	for i := range entries * callers {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					w.ask(i%entries, http.MethodGet, "/read", "")
				}
			}
		})
	}
	// Each entry has connections to the guards that fail, and loses them.
	require.Eventually(t, func() bool { return runs[0].Load() > 500 }, time.Minute, time.Millisecond)
	for _, n := range w.nodes[:back] {
		n.proxy.close()
	}
	before := runs[back].Load()
	require.Eventually(t, func() bool { return runs[back].Load() > before+500 }, time.Minute, time.Millisecond)
	counts := func() (n []int64) {
		for i := range runs {
			n = append(n, runs[i].Load())
		}
		return n
	}
	for _, n := range w.nodes[:back] {
		n.proxy.reopen(t)
	}
	first := func() bool { return w.nodes[0].proxy.accepted() > 0 && w.nodes[1].proxy.accepted() > 0 }
	require.Eventually(t, first, time.Minute, time.Millisecond, "both guards are reachable again")
	start := counts()
	time.Sleep(time.Second)
	end := counts()
	close(done)
	all.Wait()
	share := int64(0)
	for i := range runs {
		share += (end[i] - start[i]) / guards
	}
	for i, n := range w.nodes[:back] {
		t.Logf("%d connections, %d requests; an equal share is %d", n.proxy.accepted(), end[i]-start[i], share)
		require.LessOrEqual(t, n.proxy.accepted(), entries*callers, "no more connections than there are callers")
		require.LessOrEqual(t, end[i]-start[i], share+share/2)
	}
}
