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

// part is a part of a key table on its way to a keeper, which may come late,
// twice or never.
type part struct {
	keeper int
	vm     string
	p      *wire.KeysPart
}

// take is a successor's question, or the answer to it, on its way.
type take struct {
	to   *process
	take *handover.Take
	part *wire.KeysPart
}

// token makes tokens that never come again, as random ones don't.
func (w *world) token() uint64 {
	w.serial++
	return w.serial
}

func (w *world) moment() handover.Moment {
	return handover.Moment{Up: w.now, Wall: time.Unix(0, int64(w.now))}
}

func keeperNo(second bool) int {
	if second {
		return 1
	}
	return 0
}

// stop is a process that offers its table, seals it, and sends it to one keeper.
// It lives on, sealed, as one that is frozen and woken does.
func (w *world) stop(p *process, second bool) {
	if p.dead {
		return
	}
	n := keeperNo(second)
	bytes, hold, ok := p.table.KeysToHand(w.at(p))
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

// put brings a part to its keeper; it may come again.
func (w *world) put(m *part) { w.keepers[m.keeper].Put(m.vm, m.p, w.moment()) }

// take asks a keeper, as a process does that wants its predecessor's table.
func (w *world) take(p *process, second bool) {
	if p == nil || p.dead || !p.table.WantsKeys(w.at(p)) {
		return
	}
	t := &take{to: p, take: handover.NewTake(w.moment())}
	t.part = w.keepers[keeperNo(second)].Give(&wire.KeysAsk{
		Format: wire.KeysFormat, VM: p.vm, Incarnation: p.incarnation,
	}, 0, w.moment())
	w.takes = append(w.takes, t)
}

// answer brings a keeper's answer to the process that asked.
func (w *world) answer(t *take) {
	w.takes = slices.DeleteFunc(w.takes, func(one *take) bool { return one == t })
	if _, err := t.take.Add(t.part); err != nil || t.to.dead {
		return
	}
	if table, err := t.take.Table(w.moment()); err == nil {
		t.to.table.TakeKeys(table, w.at(t.to))
	}
}

// leave is a graceful stop that hands the table on, and come a start that asks
// for it, with nothing going wrong.
func (w *world) leave(vm string, second bool) {
	old := w.current[vm]
	w.parts = nil
	w.stop(old, second)
	for _, m := range w.parts {
		w.put(m)
	}
	old.dead = true
}

func (w *world) come(vm string, second bool) {
	w.boot(vm)
	w.take(w.current[vm], second)
	if len(w.takes) > 0 {
		w.answer(w.takes[len(w.takes)-1])
	}
}

// The same, with most of the chances for what may go wrong when one home's table
// is handed on: a few bookings at one VM, sent again and again through two
// entries, while its processes stop, crash, live on unheard and come back.
func TestNothingRunsTwiceAcrossAHandOver(t *testing.T) {
	var keys []string
	for n := 0; len(keys) < 40; n++ {
		if key := fmt.Sprint("key-", n); attempt.Home("s", key, []string{"a", "b", "c"}) == "a" {
			keys = append(keys, key)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.advance(rapid.SampledFrom([]time.Duration{waitFor, waitFor - aMinute}).Draw(t, "age"))
		w.look(0)
		w.look(1)
		all := w.actions()
		actions := w.handovers()
		for _, name := range []string{"look", "advance", "cut", "declare", ""} {
			actions[name] = all[name]
		}
		actions["book"] = func(t *rapid.T) {
			if len(w.promises) < len(keys) {
				p := &promise{class: attempt.Key, id: keys[len(w.promises)], first: w.now}
				w.promises = append(w.promises, p)
				w.deliver(p, rapid.IntRange(0, 1).Draw(t, "entry"))
			}
		}
		actions["again"] = func(t *rapid.T) {
			if n := len(w.promises); n > 0 {
				w.deliver(w.promises[n-1-rapid.IntRange(0, min(n-1, 2)).Draw(t, "promise")], rapid.IntRange(0, 1).Draw(t, "entry"))
			}
		}
		actions["again after a look"] = func(t *rapid.T) {
			w.look(1)
			if n := len(w.promises); n > 0 {
				w.deliver(w.promises[n-1-rapid.IntRange(0, min(n-1, 2)).Draw(t, "promise")], 1)
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

// handoverPauses are shorter and longer than each bound of a hand-over.
var handoverPauses = []time.Duration{
	100 * time.Millisecond, 3 * time.Second, 6 * time.Second, 30 * time.Second, 2 * time.Minute, keptFor / 2, lifetime, waitFor,
}

// handovers are the actions around a hand-over, of VM a.
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
		"leave": func(t *rapid.T) { w.leave("a", coin.Draw(t, "keeper")) },
		"come":  func(t *rapid.T) { w.come("a", coin.Draw(t, "keeper")) },
		"start": func(t *rapid.T) {
			w.stray = w.start("a")
			if coin.Draw(t, "reads") {
				w.read(w.stray)
			}
		},
		"list": func(t *rapid.T) {
			if w.stray != nil {
				w.current["a"], w.stray = w.stray, nil
				w.read(w.current["a"])
			}
		},
		"ask": func(t *rapid.T) { w.take(w.current["a"], coin.Draw(t, "keeper")) },
		"answer": func(t *rapid.T) {
			if len(w.takes) > 0 {
				w.answer(rapid.SampledFrom(w.takes).Draw(t, "take"))
			}
		},
		"restart": func(t *rapid.T) {
			second := coin.Draw(t, "keeper")
			w.leave("a", second)
			w.advance(time.Second)
			w.come("a", second)
		},
		"restart keeper": func(t *rapid.T) {
			w.keepers[keeperNo(coin.Draw(t, "keeper"))] = handover.NewKeeper(w.token)
		},
	}
}
