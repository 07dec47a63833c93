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
)

// fakeStore is a node's reading of a store at some revision. Refresh reads it, unless it
// is away.
type fakeStore struct {
	mu       sync.Mutex
	known    uint64
	stored   uint64
	reading  bool
	away     bool
	asked    int
	restored []string
}

func (s *fakeStore) with(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) Revision() (r uint64) {
	s.with(func() { r = s.known })
	return r
}

func (s *fakeStore) Reading() (r bool) {
	s.with(func() { r = s.reading })
	return r
}

func (s *fakeStore) Refresh(uint64) {
	s.with(func() {
		s.asked++
		if !s.away {
			s.known = s.stored
		}
	})
}

// refreshes counts how often the store was asked.
func (s *fakeStore) refreshes() (n int) {
	s.with(func() { n = s.asked })
	return n
}

func (s *fakeStore) Snapshot(uint64, int) []byte { return nil }

func (s *fakeStore) Restore(_ context.Context, snapshot []byte) error {
	s.with(func() {
		s.restored = append(s.restored, string(snapshot))
		s.known = s.stored
	})
	return nil
}

// fakeAsker answers questions, or doesn't.
type fakeAsker struct {
	mu     sync.Mutex
	asked  []string
	answer func(addr string)
	// down are nodes that no connection can be opened to.
	down map[string]bool
}

func (a *fakeAsker) Warm(_ context.Context, addr string) error {
	if a.down[addr] {
		return errors.New("refused")
	}
	return nil
}

func (a *fakeAsker) Ask(addr string, _ peer.Question) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, addr)
	if a.answer != nil {
		go a.answer(addr)
	}
	return nil
}

func (a *fakeAsker) answers(f func(addr string)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer = f
}

func (a *fakeAsker) questions() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

func newFollower(s *fakeStore, a *fakeAsker) *Follower {
	began := time.Now()
	t := NewTable("10.1.0.9:8300", mesh.Place{Zone: "rs-a"}, func() time.Duration { return time.Since(began) })
	t.SetView(&mesh.View{Own: &mesh.Target{}, Peers: map[string]mesh.Peer{"10.1.0.1:8300": {Zone: "rs-a"}, "10.2.0.1:8300": {Zone: "rs-b"}}})
	return NewFollower(t, s, a, nil)
}

func play(t *testing.T, s *fakeStore, a *fakeAsker, f func(f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		follower := newFollower(s, a)
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		f(follower)
		cancel()
		synctest.Wait()
	})
}

const nearby, elsewhere = "10.1.0.1:8300", "10.2.0.1:8300"

func TestNewsAreFetchedFromTheNodeThatTellsOfThem(t *testing.T) {
	s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
	play(t, s, a, func(f *Follower) {
		a.answers(func(string) { f.News(t.Context()).Take([]byte("seven")) })
		f.Heard(nearby, mesh.Load{Revision: 4})
		f.Heard(nearby, mesh.Load{Revision: 7})
		time.Sleep(50 * time.Millisecond)
		s.with(func() { require.Equal(t, []string{"seven"}, s.restored) })
		require.Zero(t, s.refreshes())
	})
}

// Two readers tell of the same news, one in the own zone. It is the one that is asked,
// as bytes between zones are paid for.
func TestTheOwnZonesReaderIsAskedFirst(t *testing.T) {
	s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
	play(t, s, a, func(f *Follower) {
		f.Heard(elsewhere, mesh.Load{Revision: 7})
		time.Sleep(50 * time.Millisecond)
		require.Empty(t, a.questions())
		s.with(func() { s.known = 7 })
		time.Sleep(time.Second)
		require.Empty(t, a.questions())
		require.Zero(t, s.refreshes())
	})
}

// The node that told of news freezes before it answers, or they are more than it
// tells. The store is asked instead, well within the two seconds in which a change is
// to be in force.
func TestWithoutAnAnswerTheStoreIsAsked(t *testing.T) {
	for name, answer := range map[string]func(*Follower) func(string){
		"frozen":   func(*Follower) func(string) { return nil },
		"too much": func(f *Follower) func(string) { return func(string) { f.News(t.Context()).Take(nil) } },
	} {
		t.Run(name, func(t *testing.T) {
			s, a := &fakeStore{known: 4, stored: 7}, &fakeAsker{}
			play(t, s, a, func(f *Follower) {
				a.answers(answer(f))
				f.Heard(nearby, mesh.Load{Revision: 7})
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.refreshes())
				require.EqualValues(t, 7, s.Revision())
			})
		})
	}
}

// A reader's watch has been forgotten by the store: another zone's reader has seen
// more. It asks the store anew, and when that doesn't answer either, the other node.
func TestAReaderWithAForgottenWatchAsksTheStoreAndThenTheOther(t *testing.T) {
	for _, away := range []bool{false, true} {
		s, a := &fakeStore{known: 4, stored: 7, reading: true, away: away}, &fakeAsker{}
		play(t, s, a, func(f *Follower) {
			a.answers(func(string) { f.News(t.Context()).Take([]byte("seven")) })
			f.Heard(elsewhere, mesh.Load{Revision: 7})
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, s.refreshes(), "its own watch mostly has the news by then")
			time.Sleep(900 * time.Millisecond)
			require.Equal(t, 1, s.refreshes())
			require.EqualValues(t, 7, s.Revision())
			require.Equal(t, away, len(a.questions()) == 1)
		})
	}
}

// A node that knows nothing yet reads the store itself; what others have seen is no
// news to it.
func TestBeforeTheFirstReadNothingIsAsked(t *testing.T) {
	s, a := &fakeStore{stored: 7}, &fakeAsker{}
	play(t, s, a, func(f *Follower) {
		f.Heard(nearby, mesh.Load{Revision: 7})
		time.Sleep(time.Second)
		require.Empty(t, a.questions())
		require.Zero(t, s.refreshes())
	})
}
