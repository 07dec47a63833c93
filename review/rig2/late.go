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
	"time"
)

// lateTarget is a backend server that sends, after some of its answers, the beginning of a second one. It
// arrives late, at the point where the next answer on the connection is expected.
type lateTarget struct {
	*target
	// spoils is true if it does so.
	spoils bool
}

const (
	// lateShare is the share of answers after which the beginning of a second one is sent.
	lateShare = 0.03
	// lateBytes is what is sent of the second answer, which rejects a request.
	lateBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nDate: "
	// lateClients is the number of clients at each machine, and lateFor how long they send.
	lateClients = 6
	lateFor     = 45 * time.Second
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
		if t.spoils && rand.Float64() < lateShare {
			late = lateBytes
		}
	}
}

// lateAnswers sends orders to backend servers of which some send late bytes.
func lateAnswers(rec *record, trouble bool) (int, error) {
	f, err := startCase(rec, []place{
		{"rs-poa", "rs", booking},
		{"rs-poa", "rs", catalogue},
		{"sc-fln", "sc", booking},
		{"pr-cwb", "pr", booking},
	})
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	spoiling := 0
	for _, m := range f.machines {
		if m.service != booking {
			continue
		}
		// Two of three servers: a share of 0.6.
		t := &lateTarget{target: m.target, spoils: trouble && spoiling < 2}
		spoiling++
		if err := m.replaceApp(net.Listen, func(c net.Conn) { t.serveConn(c) }); err != nil {
			return exitNotRun, err
		}
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent []outcome
	end := time.Now().Add(lateFor)
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
