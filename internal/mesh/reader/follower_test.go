package reader

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// fakeStore is a node's copy of a store that has revision stored. Refresh copies it, unless
// the store is unavailable.
type fakeStore struct {
	mu          sync.Mutex
	known       uint64
	stored      uint64
	reading     bool
	unavailable bool
	refreshed   int
	restored    []string
}

func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) Revision() (r uint64) {
	s.locked(func() { r = s.known })
	return r
}

func (s *fakeStore) Reading() (r bool) {
	s.locked(func() { r = s.reading })
	return r
}

func (s *fakeStore) Refresh(uint64) {
	s.locked(func() {
		s.refreshed++
		if !s.unavailable {
			s.known = s.stored
		}
	})
}

// refreshes returns how often Refresh was called.
func (s *fakeStore) refreshes() (n int) {
	s.locked(func() { n = s.refreshed })
	return n
}

func (s *fakeStore) Snapshot(uint64, int) []byte { return nil }

func (s *fakeStore) Restore(_ context.Context, snapshot []byte) error {
	s.locked(func() {
		s.restored = append(s.restored, string(snapshot))
		s.known = s.stored
	})
	return nil
}

// fakeAsker records queries and answers them if answer is set.
type fakeAsker struct {
	mu     sync.Mutex
	asked  []string
	answer func(addr string)
	// down are the nodes to which no connection can be opened.
	down map[string]bool
}

func (a *fakeAsker) Warm(_ context.Context, addr string) error {
	if a.down[addr] {
		return errors.New("refused")
	}
	return nil
}

func (a *fakeAsker) Ask(addr string, _ peer.StateQuery) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, addr)
	if a.answer != nil {
		go a.answer(addr)
	}
	return nil
}

func (a *fakeAsker) onAsk(f func(addr string)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer = f
}

func (a *fakeAsker) queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

func newFollower(s *fakeStore, a *fakeAsker) *Follower {
	began := time.Now()
	t := NewTable("10.1.0.9:8300", mesh.Place{Zone: "rs-a"}, func() time.Duration { return time.Since(began) })
	t.SetView(&mesh.View{LocalTarget: &mesh.Target{}, Peers: map[string]mesh.Peer{"10.1.0.1:8300": {Zone: "rs-a"}, "10.2.0.1:8300": {Zone: "rs-b"}}})
	return NewFollower(t, s, a, nil)
}

func runFollower(t *testing.T, s *fakeStore, a *fakeAsker, f func(f *Follower)) {
	virtualtime.Test(t, func(t *testing.T) {
		follower := newFollower(s, a)
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		f(follower)
		cancel()
		synctest.Wait()
	})
}

const sameZoneNode, otherZoneNode = "10.1.0.1:8300", "10.2.0.1:8300"

func TestUpdateIsFetchedFromTheNodeThatReportedIt(t *testing.T) {
	s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
	runFollower(t, s, a, func(f *Follower) {
		a.onAsk(func(string) { f.UpdateHandler(t.Context()).Apply([]byte("seven")) })
		f.HandleReport(sameZoneNode, mesh.Load{Revision: 4})
		f.HandleReport(sameZoneNode, mesh.Load{Revision: 7})
		time.Sleep(50 * time.Millisecond)
		s.locked(func() { require.Equal(t, []string{"seven"}, s.restored) })
		require.Zero(t, s.refreshes())
	})
}

// Two readers report the same update, one of them in the local zone. That one must be
// preferred, because traffic between zones is billed.
func TestReaderInLocalZoneIsPreferred(t *testing.T) {
	s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
	runFollower(t, s, a, func(f *Follower) {
		f.HandleReport(otherZoneNode, mesh.Load{Revision: 7})
		time.Sleep(50 * time.Millisecond)
		require.Empty(t, a.queries())
		s.locked(func() { s.known = 7 })
		time.Sleep(time.Second)
		require.Empty(t, a.queries())
		require.Zero(t, s.refreshes())
	})
}

// Guards against missing the two seconds within which a change must be in force, because the
// node that reported an update freezes before it answers or the update is too large for an
// answer.
func TestStoreIsReadIfPeerSendsNoUpdate(t *testing.T) {
	for name, answer := range map[string]func(*Follower) func(string){
		"frozen":   func(*Follower) func(string) { return nil },
		"too much": func(f *Follower) func(string) { return func(string) { f.UpdateHandler(t.Context()).Apply(nil) } },
	} {
		t.Run(name, func(t *testing.T) {
			s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
			runFollower(t, s, a, func(f *Follower) {
				a.onAsk(answer(f))
				f.HandleReport(sameZoneNode, mesh.Load{Revision: 7})
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.refreshes())
				require.EqualValues(t, 7, s.Revision())
			})
		})
	}
}

// The store has lost a reader's watch, and the reader of another zone reports a newer
// revision. The reader must ask the store, and the other node only if the store doesn't answer.
func TestReaderWithLostWatchAsksStoreThenPeer(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		s, a := &fakeStore{known: 4, stored: 7, reading: true, unavailable: unavailable}, &fakeAsker{}
		runFollower(t, s, a, func(f *Follower) {
			a.onAsk(func(string) { f.UpdateHandler(t.Context()).Apply([]byte("seven")) })
			f.HandleReport(otherZoneNode, mesh.Load{Revision: 7})
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, s.refreshes(), "its own watch usually has the update by then")
			time.Sleep(900 * time.Millisecond)
			require.Equal(t, 1, s.refreshes())
			require.EqualValues(t, 7, s.Revision())
			require.Equal(t, unavailable, len(a.queries()) == 1)
		})
	}
}

// A node without any state reads the store itself, so it must not request updates.
func TestReportsAreIgnoredBeforeTheFirstRead(t *testing.T) {
	s, a := &fakeStore{stored: 7}, &fakeAsker{}
	runFollower(t, s, a, func(f *Follower) {
		f.HandleReport(sameZoneNode, mesh.Load{Revision: 7})
		time.Sleep(time.Second)
		require.Empty(t, a.queries())
		require.Zero(t, s.refreshes())
	})
}
