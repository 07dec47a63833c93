package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// lateTarget is a backend server that sends, after some of its answers, the beginning of a second one. It
// arrives late, at the point where the next answer on the connection is expected.
type lateTarget struct {
	*target
	// spell is true while it does so; nil is never.
	spell *atomic.Bool
}

const (
	// lateServers of the five servers do so: a share of 0.6.
	lateServers = 3
	// lateShare is the share of their answers after which the beginning of a second one is sent.
	lateShare = 0.03
	// lateBytes is what is sent of the second answer, which rejects a request.
	lateBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nDate: "
	// lateClients is the number of clients at each machine.
	lateClients = 5
	// lateSpells is how many spells there are, lateSpell how long one lasts, and latePause the time before
	// each of them and after the last.
	lateSpells = 4
	lateSpell  = 5 * time.Second
	latePause  = 3 * time.Second
)

func (t *lateTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		load := fmt.Sprintf("Keep-Alive: timeout=10\r\nServer-Load: %d,0,%d,100\r\n", t.running.Load(), t.slots)
		if req.URL.Path == healthPath {
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", late, t.id, load)
			late = ""
			continue
		}
		id := req.Header.Get("Request-Id")
		t.running.Add(1)
		t.rec.add("run", id, "target", t.id)
		t.wait(req)
		t.running.Add(-1)
		body := id + " is booked\n"
		if late != "" {
			t.rec.add("late", id, "target", t.id, "bytes", strconv.Quote(late))
		}
		_, err = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s", late, id, signature(t.id, body), load, len(body), body)
		if err != nil {
			return
		}
		t.rec.add("ran", id, "target", t.id, "status", "200")
		late = ""
		if t.spell != nil && t.spell.Load() && rand.Float64() < lateShare {
			late = lateBytes
		}
	}
}

// lateAnswers sends orders to backend servers of which some send late bytes.
func lateAnswers(rec *record, trouble bool) (int, error) {
	f, err := startCase(rec, []place{
		{"rs-poa", "rs", booking},
		{"rs-poa", "rs", booking},
		{"sc-fln", "sc", booking},
		{"sc-fln", "sc", booking},
		{"pr-cwb", "pr", booking},
		{"pr-cwb", "pr", catalogue},
	})
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	var spell atomic.Bool
	spoiling := 0
	for _, m := range f.machines {
		if m.service != booking {
			continue
		}
		t := &lateTarget{target: m.target}
		if trouble && spoiling < lateServers {
			t.spell = &spell
		}
		spoiling++
		if err := m.replaceApp(net.Listen, func(c net.Conn) { t.serveConn(c) }); err != nil {
			return exitNotRun, err
		}
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent []outcome
	end := time.Now().Add(lateSpells*(latePause+lateSpell) + latePause)
	for i := range lateClients * len(f.machines) {
		wg.Go(func() {
			c := &client{m: f.machines[i%len(f.machines)]}
			defer c.close()
			for time.Now().Before(end) {
				o := c.send(http.MethodPost, ordersPath, []byte("an order"), orderLimit)
				mu.Lock()
				sent = append(sent, o)
				mu.Unlock()
				time.Sleep(orderPause)
			}
		})
	}
	playSpells(&spell, lateSpells, latePause, lateSpell)
	wg.Wait()
	twice, refused := 0, 0
	for _, o := range sent {
		runs := rec.count("run", o.id)
		if runs > 1 {
			twice++
			rec.add("twice", o.id, "runs", strconv.Itoa(runs))
		}
		if runs > 0 && o.status == http.StatusServiceUnavailable {
			refused++
			rec.add("refused", o.id, "runs", strconv.Itoa(runs))
		}
	}
	rec.say("%d orders sent, %d ran more than once, %d ran and were answered with 503", len(sent), twice, refused)
	if twice > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// playSpells turns an impairment on for some spells, with a pause before each.
func playSpells(on *atomic.Bool, spells int, pause, spell time.Duration) {
	for range spells {
		time.Sleep(pause)
		on.Store(true)
		time.Sleep(spell)
		on.Store(false)
	}
}
