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
	// handTimeout bounds one exchange of a hand-over.
	handTimeout = time.Second
	// grantsWanted is how many keepers are found before the table is sealed; the
	// second is for a first one that fails before it has the whole.
	grantsWanted = 2
	// offerMargin is what a table may grow by, in bytes, between offer and seal.
	offerMargin = 64 << 10
	// askRounds and askPause pace a new process that asks for its predecessor's
	// table. A predecessor at another address may still be stopping.
	askRounds = 5
	askPause  = time.Second
)

var errNotKept = eris.New("the keeper refused a part of the key table")

// KeyCounters count hand-overs of this node's own key table.
type KeyCounters struct {
	// Handed tables went whole to a keeper; Taken ones came from one.
	Handed, Taken atomic.Uint64
	// NotHanded and NotTaken count those that came to nothing: the successor, or
	// this process, waits.
	NotHanded, NotTaken atomic.Uint64
	// Bytes are those of table parts sent and taken.
	Bytes atomic.Uint64
}

// KeyCounters gives the counters of hand-overs.
func (l *Loop) KeyCounters() *KeyCounters { return &l.keys }

func (l *Loop) moment() handover.Moment {
	return handover.Moment{Up: l.now(), Wall: time.Now().Round(0)}
}

// HandKeys seals the guard's key table and hands it to a peer for the next
// process of this VM. It ends with ctx at the latest, and then the next process
// waits, as after a crash.
func (l *Loop) HandKeys(ctx context.Context) {
	if !l.handKeys(ctx) {
		l.keys.NotHanded.Add(1)
		return
	}
	l.keys.Handed.Add(1)
}

func (l *Loop) handKeys(ctx context.Context) bool {
	l.confirm(ctx)
	bytes, hold, ok := l.guard.KeysToHand()
	if !ok || bytes+offerMargin > handover.MaxBytes {
		return false
	}
	grants := l.findKeepers(ctx, bytes+offerMargin, hold)
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
	to, ok := handover.Send(len(grants), len(parts), func(keeper, part int) error {
		return l.putPart(ctx, grants[keeper], parts, part)
	})
	if ok {
		l.log.Info("keys handed on", "keeper", grants[to].keeper.VM, "records", len(table.Records))
	}
	return ok
}

// confirm reads the VM list anew, as the platform's last word may be too old to
// hand keys on by.
func (l *Loop) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
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
			l.guard.Listed(vm.IP, asked)
		}
	}
}

// grant is a keeper's promise of room.
type grant struct {
	keeper core.Peer
	token  uint64
}

func (l *Loop) findKeepers(ctx context.Context, bytes int, hold time.Duration) []grant {
	var peers []core.Peer
	var offer wire.KeysOffer
	l.Ask(func(s *core.State) {
		peers = s.StayingKeepers()
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
		if len(out) == grantsWanted {
			break
		}
	}
	return out
}

func (l *Loop) putPart(ctx context.Context, g grant, parts [][]byte, i int) error {
	reply, err := l.exchange(ctx, g.keeper.Addr, &wire.KeysPart{
		Token: g.token, Seq: uint32(i), Parts: uint32(len(parts)), Data: parts[i],
	})
	if err != nil {
		return err
	}
	if kept, ok := reply.(*wire.KeysKept); !ok || !kept.OK {
		return errNotKept
	}
	l.keys.Bytes.Add(uint64(len(parts[i])))
	return nil
}

func (l *Loop) exchange(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	return l.peers.Call(ctx, addr, m)
}

// takeKeys asks the peers that may have the predecessor's table for it.
func (l *Loop) takeKeys() {
	for range askRounds {
		var peers []core.Peer
		l.Ask(func(s *core.State) { peers = s.Keepers() })
		for _, p := range peers {
			if !l.guard.WantsKeys() {
				return
			}
			if done := l.takeFrom(p); done {
				return
			}
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(askPause):
		}
	}
}

// takeFrom takes the table from one peer. done says that there is nothing more
// to ask for anywhere: it has come, or it is lost.
func (l *Loop) takeFrom(p core.Peer) (done bool) {
	take := handover.NewTake(l.moment())
	for more := true; more; {
		var ask wire.KeysAsk
		l.Ask(func(s *core.State) {
			ask = wire.KeysAsk{Format: wire.KeysFormat, VM: s.VM(), Incarnation: s.Incarnation(), Seq: take.Next()}
		})
		reply, err := l.exchange(l.ctx, p.Addr, &ask)
		part, ok := reply.(*wire.KeysPart)
		if err != nil || !ok {
			return false
		}
		if more, err = take.Add(part); err != nil {
			return false
		}
	}
	table, err := take.Table(l.moment())
	if err != nil || !l.guard.TakeKeys(table) {
		l.keys.NotTaken.Add(1)
		return true
	}
	l.keys.Taken.Add(1)
	l.keys.Bytes.Add(uint64(take.Bytes))
	l.log.Info("keys taken from the process before", "keeper", p.VM, "records", len(table.Records))
	return true
}

// answerKeys gives the reply to a peer's message about key tables.
func (l *Loop) answerKeys(from string, m wire.Message) (reply wire.Message) {
	ok := l.Ask(func(s *core.State) {
		now := l.moment()
		switch m := m.(type) {
		case *wire.KeysOffer:
			reply = s.OfferKeys(from, m, now)
		case *wire.KeysPart:
			reply = s.PutKeys(from, m, now)
		case *wire.KeysAsk:
			reply = s.GiveKeys(from, m, now)
		}
	})
	if !ok {
		return nil
	}
	return reply
}
