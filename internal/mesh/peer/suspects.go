package peer

import (
	"math/rand/v2"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
)

// handleSuspects handles a frameSuspects; false closes the connection.
func (c *Client) handleSuspects(body []byte) bool {
	var rows []quarantine.Row
	if msgpack.Unmarshal(body, &rows) != nil {
		return false
	}
	if f := c.suspects.Load(); f != nil {
		(*f)(rows)
	}
	return true
}

// SetInitialSuspects sets the function that returns the suspects for a node that has just
// connected.
func (s *Server) SetInitialSuspects(f func() []quarantine.Row) { s.initialSuspects.Store(&f) }

// sendInitialSuspects sends the known suspects to a node that has just connected.
func (c *serverConn) sendInitialSuspects() {
	initial := c.server.initialSuspects.Load()
	if !c.hello.Suspects || initial == nil {
		return
	}
	if rows := (*initial)(); len(rows) > 0 {
		c.sendFrame(frameSuspects, 0, rows)
	}
}

// SendSuspects implements quarantine.Sender: it sends suspects to connected nodes.
func (s *Server) SendSuspects(rows []quarantine.Row, fanout int) {
	frame, err := encode(frameSuspects, 0, rows)
	if err != nil {
		return
	}
	to := s.suspectReceivers()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	if fanout != quarantine.Everyone {
		to = to[:min(fanout, len(to))]
	}
	for _, c := range to {
		// If it can't be sent, the connection is closed. The node dials again and receives all
		// suspects.
		_ = c.writer.send(frame)
	}
}

// suspectReceivers returns one connection from each node that accepts suspects.
func (s *Server) suspectReceivers() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*serverConn
	known := map[string]bool{}
	for c := range s.conns {
		if known[c.hello.VM] || !c.hello.Suspects {
			continue
		}
		known[c.hello.VM] = true
		list = append(list, c)
	}
	return list
}
