package control_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// slowListener accepts connections that write one chunk at a time, with a pause after
// each.
type slowListener struct {
	net.Listener
	chunk int
	pause time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	link *slowListener
}

func (c *slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var sent int
		sent, err = c.Conn.Write(p[n:min(len(p), n+c.link.chunk)])
		n += sent
		time.Sleep(c.link.pause)
	}
	return n, err
}

// configPeer is a peer that has a configuration in force.
type configPeer struct {
	index config.Version
	texts map[string][]byte
}

func (*configPeer) Welcome(*wire.Hello) bool { return true }

func (h *configPeer) Answer(_ string, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Gossip:
		return &wire.Gossip{From: "config-peer", Revision: h.index.Revision, Digest: h.index.Digest, Serving: true}
	case *wire.Fetch:
		return &wire.Document{Digest: m.Digest, Text: h.texts[m.Digest]}
	}
	return nil
}

// serveConfig serves a configuration over a slow link and returns its address.
func serveConfig(t *testing.T, f fleet.Fleet, slow slowListener) string {
	pub, err := f.Print()
	require.NoError(t, err)
	h := &configPeer{texts: map[string][]byte{}}
	for _, doc := range append(pub.Services, pub.Index) {
		h.texts[config.Digest(doc.Text)] = doc.Text
	}
	h.index = config.Version{Revision: f.Revision, Digest: config.Digest(pub.Index.Text)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow.Listener = listener
	server := link.NewServer(h, &link.Counters{})
	served := make(chan error)
	go func() { served <- server.Serve(&slow) }()
	t.Cleanup(func() {
		_ = listener.Close()
		require.NoError(t, <-served)
		server.Close()
	})
	return listener.Addr().String()
}

// largeFleet returns a fleet with one service that has the given number of routes.
func largeFleet(routes int) fleet.Fleet {
	s := fleet.Service{
		Name: "s", Team: "team", Timeout: time.Second,
		Targets: []fleet.Target{{VM: "vm1", Zone: "z", Slots: 1}},
	}
	for i := range routes {
		s.Routes = append(s.Routes, fleet.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/a/longer/path/%d", i), Idempotent: true})
	}
	return fleet.Fleet{
		Name: "test", Revision: 1, Teams: []fleet.Team{{Name: "team"}},
		Zones: []fleet.Zone{{Name: "z", Region: "r"}}, Services: []fleet.Service{s},
	}
}

// Guards against a timeout while a document is still arriving over a slow link, after
// which it would be requested again from its first byte, repeatedly.
func TestLargeDocumentArrivesOverSlowLink(t *testing.T) {
	t.Parallel()
	peer := serveConfig(t, largeFleet(1500), slowListener{chunk: 4 << 10, pause: 100 * time.Millisecond})
	start := time.Now()
	g := &stubNode{}
	l := control.New(control.Config{
		State: core.New(core.Self{
			Place: pick.Place{VM: "vm1", Zone: "z", Region: "r"}, Fleet: "test", Incarnation: 1, Seeds: []string{peer},
		}, 1),
		Platform: &failingPlatform{}, Peers: link.NewDialer(wire.Hello{}, &link.Counters{}), Guard: g, Entry: g, Log: logr.Discard(),
		Now: func() time.Duration { return time.Since(start) },
	})
	l.Start()
	defer l.Stop()
	require.Eventually(t, func() bool {
		d, ok := l.Dump()
		return ok && d.Config.Held.Revision == 1
	}, time.Minute, 50*time.Millisecond)
}
