package control

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

func (l *Loop) readIndex(c core.ReadIndex) {
	var v platform.Value
	var err error
	if c.Watch {
		v, err = l.platform.Watch(l.ctx, fleet.IndexKey, c.After)
	} else {
		v, err = l.platform.Read(l.ctx, fleet.IndexKey)
	}
	l.submit(core.IndexRead{Text: v.Text, Version: v.Version, Err: err})
}

func (l *Loop) watchVMs(c core.WatchVMs) {
	list, err := l.platform.WatchVMs(l.ctx, c.After)
	l.submit(core.VMsRead{List: list, Err: err})
}

func (l *Loop) fetchVMs(c core.FetchVMs) {
	reply, err := l.peers.Fetch(l.ctx, c.Peer, &wire.FetchVMs{}, documentStartTimeout)
	list, ok := reply.(*wire.VMs)
	if err == nil && !ok {
		err = errProtocol
	}
	if err != nil {
		l.submit(core.VMsRead{Peer: c.Peer, Err: err})
		return
	}
	l.submit(core.VMsRead{Peer: c.Peer, List: fromWire(list)})
}

func fromWire(m *wire.VMs) platform.VMList {
	list := platform.VMList{Version: m.Version}
	for _, row := range m.Rows {
		vm := platform.VM{Name: row.Name, IP: row.IP, State: platform.VMLive}
		if row.Leaving {
			vm.State = platform.VMLeaving
		}
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func toWire(list platform.VMList) *wire.VMs {
	m := &wire.VMs{Version: list.Version}
	for _, vm := range list.VMs {
		m.Rows = append(m.Rows, wire.VM{Name: vm.Name, IP: vm.IP, Leaving: vm.State == platform.VMLeaving})
	}
	return m
}

func (l *Loop) fetchDocument(c core.FetchDocument) {
	if c.Peer != "" {
		text, err := l.document(c.Peer, c.Entry.Digest)
		l.submit(core.DocumentRead{Entry: c.Entry, Peer: c.Peer, Text: text, Err: err})
		return
	}
	v, err := l.platform.Read(l.ctx, c.Entry.Key)
	l.submit(core.DocumentRead{Entry: c.Entry, Text: v.Text, Err: err})
}

func (l *Loop) fetchIndex(c core.FetchIndex) {
	text, err := l.document(c.Peer, c.Digest)
	l.submit(core.IndexRead{Text: text, Peer: c.Peer, Want: c.Digest, Err: err})
}

var (
	errNoDocument = eris.New("peer doesn't have the document")
	errProtocol   = eris.New("unexpected reply type from peer")
)

func (l *Loop) document(peer, digest string) ([]byte, error) {
	reply, err := l.peers.Fetch(l.ctx, peer, &wire.Fetch{Digest: digest}, documentStartTimeout)
	if err != nil {
		return nil, err
	}
	doc, ok := reply.(*wire.Document)
	if !ok {
		return nil, errProtocol
	}
	if len(doc.Text) == 0 {
		return nil, errNoDocument
	}
	return doc.Text, nil
}

func (l *Loop) gossip(c core.SendGossip) {
	start := l.now()
	reply, err := l.call(c.Addr, c.Message)
	message, ok := reply.(*wire.Gossip)
	if err != nil || !ok {
		l.submit(core.GossipFailed{VM: c.VM})
		return
	}
	l.guard.HandleMembers(message.Members)
	l.submit(core.GossipReceived{Message: message, Addr: c.Addr, Prompt: l.now()-start <= 2*peerTimeout})
}

func (l *Loop) call(addr string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	return l.peers.Call(ctx, addr, m)
}

// Welcome reports whether the dialing node belongs to the fleet.
func (l *Loop) Welcome(h *wire.Hello) bool {
	welcome := false
	l.Ask(func(s *core.State) { welcome = s.Welcome(h) })
	return welcome
}

// Answer returns the reply to a peer's message, or nil if there is none.
func (l *Loop) Answer(from string, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Gossip:
		l.guard.HandleMembers(m.Members)
		l.submit(core.GossipReceived{Message: m})
		var message *wire.Gossip
		l.Ask(func(s *core.State) { message = s.GossipMessage() })
		if message == nil {
			return nil
		}
		return message
	case *wire.Fetch:
		var text []byte
		l.Ask(func(s *core.State) { text = s.Document(m.Digest) })
		return &wire.Document{Digest: m.Digest, Text: text}
	case *wire.FetchVMs:
		var list platform.VMList
		l.Ask(func(s *core.State) { list = s.VMs() })
		return toWire(list)
	case *wire.Probe:
		if load := l.guard.AnswerProbe(from); load != nil {
			return load
		}
		return nil
	case *wire.Seal:
		return l.guard.Seal(m)
	case *wire.KeysOffer, *wire.KeysPart, *wire.KeysRequest:
		return l.answerKeys(from, m)
	}
	return nil
}
