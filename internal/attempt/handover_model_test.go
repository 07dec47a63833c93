package attempt_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// part is a part of a key table on its way to a keeper. It may arrive late, twice or
// never.
type part struct {
	keeper int
	vm     string
	p      *wire.KeysPart
}

// transfer is a successor's request to a keeper, with the answer that is on its way.
type transfer struct {
	to       *process
	received *handover.Transfer
	part     *wire.KeysPart
}

// token returns unique tokens, in place of random ones.
func (w *world) token() uint64 {
	w.serial++
	return w.serial
}

func (w *world) moment() handover.Moment {
	return handover.Moment{Up: w.now, Wall: time.Unix(0, int64(w.now))}
}

func keeperIndex(second bool) int {
	if second {
		return 1
	}
	return 0
}

// stop makes a process offer its table, seal it, and send it to one keeper. The
// process keeps running with its table sealed, like one that was frozen and resumed.
func (w *world) stop(p *process, second bool) {
	if p.dead {
		return
	}
	n := keeperIndex(second)
	bytes, hold, ok := p.table.HandoverSize(w.at(p))
	if !ok {
		return
	}
	grant := w.keepers[n].Offer(&wire.KeysOffer{
		Format: wire.KeysFormat, VM: p.vm, Incarnation: p.incarnation, Bytes: uint64(bytes), HoldMs: uint32(hold.Milliseconds()),
	}, 0, w.moment())
	table, ok := p.table.SealKeys(w.at(p))
	if !ok || grant.Token == 0 {
		return
	}
	data, err := handover.Split(table)
	if err != nil {
		panic(err)
	}
	for i, d := range data {
		w.parts = append(w.parts, &part{keeper: n, vm: p.vm, p: &wire.KeysPart{
			Token: grant.Token, Seq: uint32(i), Parts: uint32(len(data)), Data: d,
		}})
	}
}

// put delivers a part to its keeper; it may be delivered again.
func (w *world) put(m *part) { w.keepers[m.keeper].Put(m.vm, m.p, w.moment()) }

// requestTable asks a keeper for the table of p's predecessor.
func (w *world) requestTable(p *process, second bool) {
	if p == nil || p.dead || !p.table.NeedsKeys(w.at(p)) {
		return
	}
	t := &transfer{to: p, received: handover.NewTransfer(w.moment())}
	t.part = w.keepers[keeperIndex(second)].ServePart(&wire.KeysRequest{
		Format: wire.KeysFormat, VM: p.vm, Incarnation: p.incarnation,
	}, 0, w.moment())
	w.transfers = append(w.transfers, t)
}

// deliverPart delivers a keeper's answer to the process that asked.
func (w *world) deliverPart(t *transfer) {
	w.transfers = slices.DeleteFunc(w.transfers, func(one *transfer) bool { return one == t })
	if _, err := t.received.Add(t.part); err != nil || t.to.dead {
		return
	}
	if table, err := t.received.Table(w.moment()); err == nil {
		t.to.table.RestoreKeys(table, w.at(t.to))
	}
}

// stopGracefully is a graceful stop that hands over the table, and startAndRestore a
// start that asks for it, both without failures.
func (w *world) stopGracefully(vm string, second bool) {
	old := w.current[vm]
	w.parts = nil
	w.stop(old, second)
	for _, m := range w.parts {
		w.put(m)
	}
	old.dead = true
}

func (w *world) startAndRestore(vm string, second bool) {
	w.boot(vm)
	w.requestTable(w.current[vm], second)
	if len(w.transfers) > 0 {
		w.deliverPart(w.transfers[len(w.transfers)-1])
	}
}

// The same checks, concentrated on the handover of one home's table: a few bookings at
// one VM are sent repeatedly through two entries, while its processes stop, crash,
// keep running unlisted and start again.
func TestNothingRunsTwiceAcrossHandover(t *testing.T) {
	var keys []string
	for n := 0; len(keys) < 40; n++ {
		if key := fmt.Sprint("key-", n); attempt.Home("s", key, []string{"a", "b", "c"}) == "a" {
			keys = append(keys, key)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.advance(rapid.SampledFrom([]time.Duration{startDelay, startDelay - aMinute}).Draw(t, "age"))
		w.refreshEntry(0)
		w.refreshEntry(1)
		all := w.actions()
		actions := w.handovers()
		for _, name := range []string{"look", "advance", "cut", "declare", ""} {
			actions[name] = all[name]
		}
		actions["book"] = func(t *rapid.T) {
			if len(w.operations) < len(keys) {
				p := &operation{class: attempt.Key, id: keys[len(w.operations)], first: w.now}
				w.operations = append(w.operations, p)
				w.deliver(p, rapid.IntRange(0, 1).Draw(t, "entry"))
			}
		}
		actions["again"] = func(t *rapid.T) {
			if n := len(w.operations); n > 0 {
				w.deliver(w.operations[n-1-rapid.IntRange(0, min(n-1, 2)).Draw(t, "operation")], rapid.IntRange(0, 1).Draw(t, "entry"))
			}
		}
		actions["again after a look"] = func(t *rapid.T) {
			w.refreshEntry(1)
			if n := len(w.operations); n > 0 {
				w.deliver(w.operations[n-1-rapid.IntRange(0, min(n-1, 2)).Draw(t, "operation")], 1)
			}
		}
		actions["advance"] = func(t *rapid.T) { w.advance(rapid.SampledFrom(handoverPauses).Draw(t, "pause")) }
		actions["replace"] = func(t *rapid.T) {
			old := w.current["a"]
			old.dead, old.cut = rapid.Bool().Draw(t, "dead"), rapid.Bool().Draw(t, "cut")
			w.boot("a")
		}
		t.Repeat(actions)
	})
}

// handoverPauses are shorter and longer than each time limit of a handover.
var handoverPauses = []time.Duration{
	100 * time.Millisecond, 3 * time.Second, 6 * time.Second, 30 * time.Second, 2 * time.Minute, keyRetention / 2, lifetime, startDelay,
}

// handovers returns the actions around a handover of VM a.
func (w *world) handovers() map[string]func(*rapid.T) {
	coin := rapid.Bool()
	return map[string]func(*rapid.T){
		"stop": func(t *rapid.T) {
			w.stop(rapid.SampledFrom(w.processes).Draw(t, "process"), coin.Draw(t, "keeper"))
		},
		"part": func(t *rapid.T) {
			if len(w.parts) > 0 {
				w.put(rapid.SampledFrom(w.parts).Draw(t, "part"))
			}
		},
		"leave": func(t *rapid.T) { w.stopGracefully("a", coin.Draw(t, "keeper")) },
		"come":  func(t *rapid.T) { w.startAndRestore("a", coin.Draw(t, "keeper")) },
		"start": func(t *rapid.T) {
			w.unlisted = w.start("a")
			if coin.Draw(t, "reads") {
				w.refreshProcess(w.unlisted)
			}
		},
		"list": func(t *rapid.T) {
			if w.unlisted != nil {
				w.current["a"], w.unlisted = w.unlisted, nil
				w.refreshProcess(w.current["a"])
			}
		},
		"ask": func(t *rapid.T) { w.requestTable(w.current["a"], coin.Draw(t, "keeper")) },
		"answer": func(t *rapid.T) {
			if len(w.transfers) > 0 {
				w.deliverPart(rapid.SampledFrom(w.transfers).Draw(t, "transfer"))
			}
		},
		"restart": func(t *rapid.T) {
			second := coin.Draw(t, "keeper")
			w.stopGracefully("a", second)
			w.advance(time.Second)
			w.startAndRestore("a", second)
		},
		"restart keeper": func(t *rapid.T) {
			w.keepers[keeperIndex(coin.Draw(t, "keeper"))] = handover.NewKeeper(w.token)
		},
	}
}
