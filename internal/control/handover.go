package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// exchangeTimeout is the timeout of one exchange of a handover.
	exchangeTimeout = time.Second
	// wantedGrants is the number of keepers to find before the table is sealed. The
	// second one is used if the first fails before it has the whole table.
	wantedGrants = 2
	// growthMargin is how much a table may grow between offer and seal, in bytes.
	growthMargin = 64 << 10
	// takeRounds and takePause limit how often a new process requests its
	// predecessor's table. A predecessor at another address may still be stopping.
	takeRounds = 5
	takePause  = time.Second
)

var errPartRefused = eris.New("keeper refused a part of the key table")

// KeyCounters count handovers of this node's own key table.
type KeyCounters struct {
	// Handed counts tables sent completely to a keeper, Taken those received from one.
	Handed, Taken atomic.Uint64
	// NotHanded and NotTaken count failed handovers, after which the successor, or
	// this process, waits as after a crash.
	NotHanded, NotTaken atomic.Uint64
	// Bytes counts the bytes of table parts sent and received.
	Bytes atomic.Uint64
}

// KeyCounters returns the handover counters.
func (l *Loop) KeyCounters() *KeyCounters { return &l.keys }

func (l *Loop) moment() handover.Moment {
	return handover.Moment{Up: l.now(), Wall: time.Now().Round(0)}
}

// HandKeys seals the guard's key table and sends it to a peer that stores it for the
// next process on this VM. If ctx ends first, the next process waits, as after a
// crash.
func (l *Loop) HandKeys(ctx context.Context) {
	if !l.handKeys(ctx) {
		l.keys.NotHanded.Add(1)
		return
	}
	l.keys.Handed.Add(1)
}

func (l *Loop) handKeys(ctx context.Context) bool {
	l.confirmListing(ctx)
	bytes, hold, ok := l.guard.HandoverSize()
	if !ok || bytes+growthMargin > handover.MaxBytes {
		return false
	}
	grants := l.findKeepers(ctx, bytes+growthMargin, hold)
	if len(grants) == 0 {
		return false
	}
	table, ok := l.guard.SealKeys()
	if !ok {
		return false
	}
	parts, err := handover.Split(table)
	if err != nil {
		return false
	}
	chosen, ok := handover.Send(len(grants), len(parts), func(keeper, part int) error {
		return l.sendPart(ctx, grants[keeper], parts, part)
	})
	if ok {
		l.log.Info("keys handed on", "keeper", grants[chosen].keeper.VM, "records", len(table.Records))
	}
	return ok
}

// confirmListing reads the VM list again, because the last read may be too old to
// allow a handover.
func (l *Loop) confirmListing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := l.now()
	list, err := l.platform.WatchVMs(ctx, 0)
	if err != nil {
		return
	}
	self := ""
	l.Ask(func(s *core.State) { self = s.VM() })
	for _, vm := range list.VMs {
		if vm.Name == self {
			l.guard.ConfirmListed(vm.IP, asked)
		}
	}
}

// grant is a keeper's agreement to store the table.
type grant struct {
	keeper core.Peer
	token  uint64
}

func (l *Loop) findKeepers(ctx context.Context, bytes int, hold time.Duration) []grant {
	var peers []core.Peer
	var offer wire.KeysOffer
	l.Ask(func(s *core.State) {
		peers = s.AvailableKeepers()
		offer = wire.KeysOffer{
			Format: wire.KeysFormat, VM: s.VM(), Incarnation: s.Incarnation(),
			Bytes: uint64(bytes), HoldMs: uint32(hold.Milliseconds()),
		}
	})
	var out []grant
	for _, p := range peers {
		reply, err := l.exchange(ctx, p.Addr, &offer)
		if g, ok := reply.(*wire.KeysGrant); err == nil && ok && g.Token != 0 {
			out = append(out, grant{p, g.Token})
		}
		if len(out) == wantedGrants {
			break
		}
	}
	return out
}

func (l *Loop) sendPart(ctx context.Context, g grant, parts [][]byte, i int) error {
	reply, err := l.exchange(ctx, g.keeper.Addr, &wire.KeysPart{
		Token: g.token, Seq: uint32(i), Parts: uint32(len(parts)), Data: parts[i],
	})
	if err != nil {
		return err
	}
	if kept, ok := reply.(*wire.KeysAck); !ok || !kept.OK {
		return errPartRefused
	}
	l.keys.Bytes.Add(uint64(len(parts[i])))
	return nil
}

func (l *Loop) exchange(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return l.peers.Call(ctx, addr, m)
}

// takeKeys requests the predecessor's table from the peers that may store it.
func (l *Loop) takeKeys() {
	for range takeRounds {
		var peers []core.Peer
		l.Ask(func(s *core.State) { peers = s.Keepers() })
		for _, p := range peers {
			if !l.guard.NeedsKeys() {
				return
			}
			if done := l.takeFrom(p); done {
				return
			}
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(takePause):
		}
	}
}

// takeFrom fetches the table from one peer. done is true if no other peer needs to be
// asked, because the table was received or is lost.
func (l *Loop) takeFrom(p core.Peer) (done bool) {
	take := handover.NewTransfer(l.moment())
	for more := true; more; {
		var request wire.KeysRequest
		l.Ask(func(s *core.State) {
			request = wire.KeysRequest{Format: wire.KeysFormat, VM: s.VM(), Incarnation: s.Incarnation(), Seq: take.Next()}
		})
		reply, err := l.exchange(l.ctx, p.Addr, &request)
		part, ok := reply.(*wire.KeysPart)
		if err != nil || !ok {
			return false
		}
		if more, err = take.Add(part); err != nil {
			return false
		}
	}
	table, err := take.Table(l.moment())
	if err != nil || !l.guard.RestoreKeys(table) {
		l.keys.NotTaken.Add(1)
		return true
	}
	l.keys.Taken.Add(1)
	l.keys.Bytes.Add(uint64(take.Bytes))
	l.log.Info("keys taken from the process before", "keeper", p.VM, "records", len(table.Records))
	return true
}

// answerKeys returns the reply to a peer's message about key tables.
func (l *Loop) answerKeys(from string, m wire.Message) (reply wire.Message) {
	ok := l.Ask(func(s *core.State) {
		now := l.moment()
		switch m := m.(type) {
		case *wire.KeysOffer:
			reply = s.OfferKeys(from, m, now)
		case *wire.KeysPart:
			reply = s.StoreKeys(from, m, now)
		case *wire.KeysRequest:
			reply = s.ServeKeys(from, m, now)
		}
	})
	if !ok {
		return nil
	}
	return reply
}
