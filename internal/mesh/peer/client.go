package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// bulkSize is the body from which on a request goes over a second connection, in
// bytes, so that small requests don't wait behind an upload.
const bulkSize = 16 << 10

// Listener is told what peers report. Safe for concurrent use.
type Listener interface {
	// Reported takes the load of the backend server beside the node at addr.
	Reported(addr string, l mesh.Load)
}

// Client sends requests to other nodes. Safe for concurrent use.
type Client struct {
	hello    Hello
	listener Listener
	// dial opens a connection to the node at an address.
	dial  func(addr string) (net.Conn, error)
	mu    sync.Mutex
	links map[linkKey]*link
	// news answers and asks for news of the store; nil until it is set.
	news atomic.Pointer[News]
}

// OnNews sets what answers questions of other nodes and takes their answers. It
// must be called before the first request.
func (c *Client) OnNews(n News) { c.news.Store(&n) }

// Ask asks the node at addr for news of the store, if a connection to it is open.
// The answer goes to News.Take.
func (c *Client) Ask(addr string, q Question) error {
	l := c.link(linkKey{addr: addr})
	l.mu.Lock()
	w := l.writer
	l.mu.Unlock()
	if w == nil {
		return errNotConnected
	}
	frame, err := encode(frameAsk, 0, askBody(q))
	if err != nil {
		return err
	}
	return w.send(frame)
}

type linkKey struct {
	addr string
	bulk bool
}

// NewClient returns a Client of the node at here.
func NewClient(here mesh.Place, l Listener) *Client {
	return &Client{
		hello:    Hello{VM: here.VM, Region: here.Region},
		listener: l, dial: dialPeer, links: map[linkKey]*link{},
	}
}

func (c *Client) link(key linkKey) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[key]
	if l == nil {
		l = &link{client: c, key: key, streams: map[uint32]*stream{}}
		c.links[key] = l
	}
	return l
}

// Run offers a request to the node at addr and waits for what becomes of it. An
// error that says "not run" is proof.
func (c *Client) Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	l := c.link(linkKey{addr, len(r.Body) >= bulkSize})
	w, waited, err := l.connect(ctx)
	if err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").Because(err)
	}
	r = after(r, waited)
	number, s := l.open(!r.Idempotent)
	defer l.forget(number)
	body := fromRequest(r)
	body.Confirm = s.confirmed
	frame, err := encode(frameRequest, number, body)
	if err != nil {
		return nil, kind.New(kind.BadRequest, "the request can't be sent on").Because(err)
	}
	if err := w.send(frame); err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").Because(err)
	}
	return l.wait(ctx, w, number, s)
}

// after gives a request whose times are less by what has passed.
func after(r *mesh.Request, passed time.Duration) *mesh.Request {
	later := *r
	later.Left = max(0, later.Left-passed)
	later.AimLeft -= passed
	later.Patience = max(0, later.Patience-passed)
	return &later
}

// Warm opens the connections to peers that aren't open, so that their load
// reports arrive before the first request.
func (c *Client) Warm(ctx context.Context, addr string) error {
	_, _, err := c.link(linkKey{addr: addr}).connect(ctx)
	return err
}

// Keep closes the connections to all nodes but those in use.
func (c *Client) Keep(inUse map[string]mesh.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.links {
		if _, used := inUse[key.addr]; used {
			continue
		}
		l.mu.Lock()
		idle := len(l.streams) == 0 && l.dialing == nil
		w := l.writer
		l.mu.Unlock()
		if !idle {
			continue
		}
		delete(c.links, key)
		if w != nil {
			w.close()
		}
	}
}
