package death_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/death"
)

// listen opens a listener that keeps connections open, or closes them at once.
func listen(t *testing.T, closes bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var kept []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if closes {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		for _, c := range kept {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

// answered returns a Detector of a server that has answered on its only connection.
func answered(t *testing.T, addr string) (*death.Detector, *death.Conn) {
	t.Helper()
	d := death.NewDetector(addr)
	c := d.Opening().Opened()
	c.Answered()
	return d, c
}

// Guards against the death of a process that is hidden by a proxy that goes on listening.
func TestEndOfAllConnectionsProvesDeath(t *testing.T) {
	d, c := answered(t, listen(t, false))
	idle, inFlight := d.Opening().Opened(), d.Opening().Opened()
	idle.EndedByPeer()
	c.EndedByPeer()
	time.AfterFunc(5*time.Millisecond, inFlight.EndedByPeer)
	require.Equal(t, death.AllEnded, d.Investigate(t.Context(), c))
	require.EqualValues(t, 1, d.Generation())
	require.Equal(t, death.Noticed, d.Investigate(t.Context(), inFlight), "requests in flight report the same death")
	require.EqualValues(t, 1, d.Generation())
	require.True(t, idle.Stale())
}

// Guards against a server that is taken for dead as one of its connections was reset.
func TestOtherConnectionsThatContinueProveNoDeath(t *testing.T) {
	d, c := answered(t, listen(t, true))
	other := d.Opening().Opened()
	other.SetBusy(true)
	c.EndedByPeer()
	finding := d.Investigate(t.Context(), c)
	require.Equal(t, death.OthersContinue, finding)
	require.True(t, finding.Inconclusive())
	require.False(t, other.Stale())
}

// Guards against a server that is taken for dead as the node itself closed its other connections.
func TestConnectionsThatNodeClosesProveNothing(t *testing.T) {
	d, c := answered(t, listen(t, false))
	other := d.Opening().Opened()
	c.EndedByPeer()
	other.Closed()
	require.Equal(t, death.Accepts, d.Investigate(t.Context(), c))
}

// Guards against a death that goes unseen if no other connection is open and a proxy goes on listening.
func TestListenerThatClosesNewConnectionsProvesDeath(t *testing.T) {
	d, c := answered(t, listen(t, true))
	c.EndedByPeer()
	require.Equal(t, death.ClosesNew, d.Investigate(t.Context(), c))
}

// Guards against requests that are blamed for the death of a server that they never reached.
func TestServerThatNeverAnsweredIsNotBlamedOnRequests(t *testing.T) {
	d := death.NewDetector(listen(t, true))
	first, second := d.Opening().Opened(), d.Opening().Opened()
	first.EndedByPeer()
	second.EndedByPeer()
	finding := d.Investigate(t.Context(), first)
	require.Equal(t, death.Unanswered, finding)
	require.False(t, finding.Died() || finding.Inconclusive())
	require.Zero(t, d.Generation())
}

// Guards against a quick restart that hides a death, as connections to the next process are open already.
func TestConnectionToNextProcessHidesNoDeath(t *testing.T) {
	d, c := answered(t, listen(t, false))
	idle := d.Opening().Opened()
	time.Sleep(time.Millisecond)
	idle.EndedByPeer()
	time.Sleep(time.Millisecond)
	next := d.Opening().Opened()
	c.EndedByPeer()
	require.Equal(t, death.AllEnded, d.Investigate(t.Context(), c))
	require.False(t, next.Stale(), "it leads to the next process")
	require.EqualValues(t, 1, next.Generation())
}

// Guards against a death that goes unseen though nothing listens any more.
func TestRefusedConnectionProvesDeath(t *testing.T) {
	d := death.NewDetector(refuse(t))
	c := d.Opening().Opened()
	c.EndedByPeer()
	require.Equal(t, death.Refused, d.Investigate(t.Context(), c))
}

// Guards against a death that goes unseen as the end of idle connections becomes visible late.
func TestIdleConnectionsHideNoDeath(t *testing.T) {
	d, c := answered(t, refuse(t))
	d.Opening().Opened()
	c.EndedByPeer()
	require.Equal(t, death.Refused, d.Investigate(t.Context(), c))
}

// Guards against a server that is taken for dead as its listener closes connections beyond its limit.
func TestIdleConnectionsThatContinueProveNoDeath(t *testing.T) {
	d, c := answered(t, listen(t, true))
	d.Opening().Opened()
	c.EndedByPeer()
	require.Equal(t, death.OthersContinue, d.Investigate(t.Context(), c))
}

// Guards against a server that is taken for dead as it broke off two exchanges one after the other.
func TestConnectionsThatEndOneAfterTheOtherProveNoDeath(t *testing.T) {
	d, first := answered(t, listen(t, false))
	first.EndedByPeer()
	time.Sleep(time.Millisecond)
	second := d.Opening().Opened()
	second.EndedByPeer()
	require.Equal(t, death.Accepts, d.Investigate(t.Context(), second))
}

// Guards against one death that is counted twice, as a connection to the dead process is recorded late.
func TestConnectionThatWasBeingOpenedLeadsToDeadProcess(t *testing.T) {
	d, c := answered(t, listen(t, false))
	idle, opening := d.Opening().Opened(), d.Opening()
	time.Sleep(time.Millisecond)
	idle.EndedByPeer()
	c.EndedByPeer()
	time.Sleep(time.Millisecond)
	late := opening.Opened()
	require.Equal(t, death.AllEnded, d.Investigate(t.Context(), c))
	require.True(t, late.Stale())
	require.Equal(t, death.Noticed, d.Investigate(t.Context(), late))
	require.EqualValues(t, 1, d.Generation())
}

// Guards against one death that is counted twice, as the process goes on accepting connections while it ends.
func TestDeathIsFoundAfterProcessStoppedListening(t *testing.T) {
	const closedAfter = 5 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d, c := answered(t, l.Addr().String())
	idle := d.Opening().Opened()
	idle.EndedByPeer()
	c.EndedByPeer()
	time.AfterFunc(closedAfter, func() { _ = l.Close() })
	require.Equal(t, death.AllEnded, d.Investigate(t.Context(), c))
	_, err = net.Dial("tcp", l.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// Guards against one death that is counted twice, as a connection that the process accepted while it ended is
// taken for one to the next process.
func TestConnectionAcceptedByEndingProcessIsStale(t *testing.T) {
	for name, addr := range map[string]string{"refuses": refuse(t), "closes new": listen(t, true)} {
		t.Run(name, func(t *testing.T) {
			d, c := answered(t, addr)
			idle := d.Opening().Opened()
			time.Sleep(time.Millisecond)
			idle.EndedByPeer()
			time.Sleep(time.Millisecond)
			accepted := d.Opening().Opened()
			c.EndedByPeer()
			require.Equal(t, death.AllEnded, d.Investigate(t.Context(), c))
			require.True(t, accepted.Stale())
		})
	}
}

// refuse returns an address at which nothing listens.
func refuse(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}
