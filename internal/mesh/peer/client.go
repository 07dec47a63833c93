package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
)

// bulkSize is the body size, in bytes, from which on a request uses a second
// connection, so that small requests don't queue behind an upload.
const bulkSize = 16 << 10

// Listener receives the load reports of peers. Safe for concurrent use.
type Listener interface {
	// Reported is called with the load of the backend server beside the node at addr.
	Reported(addr string, l mesh.Load)
}

// Client sends requests to other nodes. Safe for concurrent use.
type Client struct {
	hello    Hello
	listener Listener
	// now returns the time by the node's clock.
	now clock.Clock
	// dial opens a connection to the node at an address.
	dial  func(addr string) (net.Conn, error)
	mu    sync.Mutex
	links map[linkKey]*link
	// stateSync exchanges store state with other nodes; nil until SetStateSync is called.
	stateSync atomic.Pointer[StateSync]
	// suspects receives the suspects that other nodes send; nil until OnSuspects is called.
	suspects atomic.Pointer[func([]quarantine.Row)]
	uplink   *Uplink
}

// SetUplink sets the Uplink through which the Client sends. It must be called before the first
// request.
func (c *Client) SetUplink(u *Uplink) { c.uplink = u }

// OnSuspects sets the function that receives the requests that other nodes suspect to crash
// backend servers.
func (c *Client) OnSuspects(f func([]quarantine.Row)) { c.suspects.Store(&f) }

// SetStateSync sets how state queries of other nodes are answered and how the states
// that they send are applied. It must be called before the first request.
func (c *Client) SetStateSync(state StateSync) { c.stateSync.Store(&state) }

// Ask sends a state query to the node at addr. It fails if no connection to the node is
// open. The answer is passed to StateSync.Apply.
func (c *Client) Ask(addr string, q StateQuery) error {
	l := c.link(linkKey{addr: addr})
	l.mu.Lock()
	w := l.writer
	l.mu.Unlock()
	if w == nil {
		return errNotConnected
	}
	frame, err := encode(frameStateQuery, 0, stateQueryBody(q))
	if err != nil {
		return err
	}
	return w.send(frame)
}

type linkKey struct {
	addr string
	bulk bool
}

// NewClient returns a Client for the node at here.
func NewClient(here mesh.Place, l Listener) *Client {
	return &Client{
		hello:    Hello{VM: here.VM, Region: here.Region, Suspects: true},
		listener: l, now: clock.New(), dial: dialPeer, links: map[linkKey]*link{}, uplink: NewUplink(0, DefaultQueueBytes),
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

// Run sends a request to the node at addr and waits for its outcome. An error whose
// outcome is kind.NotRun means that the request has not run and will not run.
func (c *Client) Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	l := c.link(linkKey{addr, len(r.Body) >= bulkSize})
	w, waited, err := l.connect(ctx)
	if err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").WithCause(err)
	}
	r = subtractElapsed(r, waited)
	streamID, s := l.openStream(!r.Idempotent)
	defer l.removeStream(streamID)
	body := fromRequest(r)
	body.Confirm = s.needsConfirm
	body.SentMs = c.sentMs()
	frame, err := encodeExtended(frameRequest, streamID, body, extension{Nested: r.Nested})
	if err != nil {
		return nil, kind.New(kind.BadRequest, "the request can't be forwarded").WithCause(err)
	}
	if _, err := w.enqueue(frame, r.Priority); err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").WithCause(err)
	}
	return l.wait(ctx, w, streamID, s)
}

// helloFrame returns the Hello. accepts is true if it says that the node accepts frames in pieces.
func (c *Client) helloFrame(accepts bool) ([]byte, error) {
	hello := c.hello
	hello.SentMs = c.sentMs()
	return encodeExtended(frameHello, 0, &hello, extension{Chunks: accepts})
}

// sentMs returns the time by which a frame that is sent now is stamped, in milliseconds. It is never 0.
func (c *Client) sentMs() uint64 { return 1 + uint64(c.now().Milliseconds()) }

// subtractElapsed returns a copy of r with the elapsed time subtracted from its times.
func subtractElapsed(r *mesh.Request, elapsed time.Duration) *mesh.Request {
	adjusted := *r
	adjusted.Remaining = max(0, adjusted.Remaining-elapsed)
	adjusted.ObjectiveRemaining -= elapsed
	adjusted.QueueTimeout = max(0, adjusted.QueueTimeout-elapsed)
	return &adjusted
}

// subtractTransit returns a copy of r with the time subtracted that it was held up in a link. Its queue timeout
// remains: time that is lost on the way makes no other target better. With a shorter one, targets behind
// busy links refused requests that were sent elsewhere, so that the links got busier still.
func subtractTransit(r *mesh.Request, delay time.Duration) *mesh.Request {
	adjusted := subtractElapsed(r, delay)
	adjusted.QueueTimeout = r.QueueTimeout
	return adjusted
}

// Warm opens the connection to the node at addr unless it is open, so that the node's
// load reports arrive before the first request.
func (c *Client) Warm(ctx context.Context, addr string) error {
	_, _, err := c.link(linkKey{addr: addr}).connect(ctx)
	return err
}

// CloseUnused closes the connections to nodes that are not in inUse. A connection with
// requests in flight or a dial in progress stays open.
func (c *Client) CloseUnused(inUse map[string]mesh.Peer) {
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
