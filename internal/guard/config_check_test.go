package guard

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// viewOf returns a View of a revision whose service s has a queue of a length.
func viewOf(t *testing.T, revision uint64, queue int) *pick.View {
	f := fleet.Fleet{
		Name: "test", Revision: revision, Teams: []fleet.Team{{Name: "team"}}, Zones: []fleet.Zone{{Name: "z", Region: "r"}},
		Services: []fleet.Service{{
			Name: "s", Team: "team", Timeout: time.Second, Queue: queue,
			Targets: []fleet.Target{{VM: "vm1", Zone: "z", Slots: 2}},
		}},
	}
	return viewFor(t, f)
}

// viewFor returns the View of a fleet at vm1.
func viewFor(t *testing.T, f fleet.Fleet) *pick.View {
	t.Helper()
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(map[string][]byte{
		pub.Index.Key: pub.Index.Text, pub.Services[0].Key: pub.Services[0].Text,
	})
	require.NoError(t, err)
	return &pick.View{Config: c, Here: pick.Place{VM: "vm1", Zone: "z", Region: "r"}}
}

// While a change spreads, an entry and a guard may have different configurations. A
// request routed under another document of its service must not run: under the other
// rules its route might be idempotent or its key might have another home, and a
// booking would run twice. A short difference must not be visible to the caller.
func TestRequestsUnderAnotherConfigAreRefused(t *testing.T) {
	cases := []struct {
		name string
		// here and there are the revision and the queue length at the guard and at the
		// entry; later is what the guard receives 100 ms after the request.
		here, there, later [2]int
		stamp              string
		refused            bool
		notifies           bool
		waits              time.Duration
	}{
		{name: "the same", here: [2]int{3, 7}, there: [2]int{3, 7}},
		{name: "other revisions, the same document", here: [2]int{4, 7}, there: [2]int{3, 7}},
		{name: "the entry is older", here: [2]int{4, 8}, there: [2]int{3, 7}, refused: true},
		{
			name: "the entry is newer, and the guard catches up", here: [2]int{3, 7}, there: [2]int{4, 8}, later: [2]int{4, 8},
			notifies: true, waits: 100 * time.Millisecond,
		},
		{
			name: "the entry is newer, and the guard goes past it", here: [2]int{3, 7}, there: [2]int{4, 8}, later: [2]int{5, 9},
			notifies: true, waits: 100 * time.Millisecond, refused: true,
		},
		{
			name: "the entry is newer, and the guard can't catch up", here: [2]int{3, 7}, there: [2]int{4, 8},
			notifies: true, waits: configWait, refused: true,
		},
		{name: "a stamp that can't be parsed", here: [2]int{3, 7}, there: [2]int{3, 8}, stamp: "4", refused: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := New(&url.URL{}, 1, func() time.Duration { return 0 })
				var notified []string
				g.OnStaleConfig(func(vm string) { notified = append(notified, vm) })
				here, there := viewOf(t, uint64(c.here[0]), c.here[1]), viewOf(t, uint64(c.there[0]), c.there[1])
				g.view.Store(here)
				if c.later != [2]int{} {
					later := viewOf(t, uint64(c.later[0]), c.later[1])
					time.AfterFunc(100*time.Millisecond, func() { g.view.Store(later) })
				}
				r := httptest.NewRequest(http.MethodPost, "/", nil)
				r.Header.Set(headers.Service, "s")
				r.Header.Set(headers.TimeoutMs, "5000")
				if c.stamp == "" {
					c.stamp = there.Config.Stamp(there.Config.Services["s"], "vm9").String()
				}
				r.Header.Set(headers.Config, c.stamp)
				start := time.Now()
				v, e := g.checkConfig(r, here)
				require.Equal(t, c.waits, time.Since(start))
				require.Equal(t, c.notifies, len(notified) == 1)
				if c.notifies {
					require.Equal(t, "vm9", notified[0])
				}
				if c.refused {
					require.Equal(t, kind.StaleConfig, e.Kind)
					require.Equal(t, kind.NotRun, e.ReportedOutcome())
					return
				}
				require.Nil(t, e)
				require.Equal(t, there.Config.Services["s"].Tag(), v.Config.Services["s"].Tag())
			})
		})
	}
}

// Every path that can run a request must check its configuration.
func TestAdmitChecksConfig(t *testing.T) {
	g := New(&url.URL{}, 1, func() time.Duration { return 0 })
	g.SetView(viewOf(t, 4, 8))
	old := viewOf(t, 3, 7)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set(headers.Service, "s")
	r.Header.Set(headers.TimeoutMs, "5000")
	r.Header.Set(headers.Config, old.Config.Stamp(old.Config.Services["s"], "vm9").String())
	_, e := g.admit(r)
	require.NotNil(t, e)
	require.Equal(t, kind.StaleConfig, e.Kind)
	require.Contains(t, e.Message, "revision 3, while 4")
}
