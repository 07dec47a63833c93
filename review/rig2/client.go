package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a client saw of an attempt.
type outcome struct {
	id     string
	status int
	// cut is true if the connection ended without a complete answer after the whole request was sent,
	// and kept if an earlier request was answered on that connection.
	cut, kept bool
	err       error
	took      time.Duration
	body      string
	head      http.Header
}

var lastID atomic.Int64

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// client is a client on a machine with a kept connection.
type client struct {
	m      *machine
	conn   net.Conn
	reader *bufio.Reader
	// answered is how many requests were answered on the connection.
	answered int
}

// send sends one attempt and waits for its answer.
func (c *client) send(method, path string, body []byte, timeLimit time.Duration) outcome {
	o := outcome{id: newID()}
	began := time.Now()
	rec := c.m.fleet.rec
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.addr(portOutbound), time.Second)
		if err != nil {
			o.err = err
			rec.add("no-connection", o.id, "node", c.m.name)
			return o
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	o.kept = c.answered > 0
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, o.id, timeLimit.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	rec.add("sent", o.id, "node", c.m.name, "path", path, "bytes", strconv.Itoa(len(body)))
	_ = c.conn.SetDeadline(time.Now().Add(timeLimit + time.Second))
	if _, o.err = io.Copy(c.conn, io.MultiReader(strings.NewReader(head.String()), bytes.NewReader(body))); o.err != nil {
		c.close()
		rec.add("not-sent", o.id, "error", strconv.Quote(o.err.Error()))
		return o
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	o.took = time.Since(began)
	if err != nil {
		o.err, o.cut = err, true
		c.close()
		rec.add("cut", o.id, "error", strconv.Quote(err.Error()))
		return o
	}
	o.status, o.body, o.head = resp.StatusCode, string(text), resp.Header
	rec.add("answered", o.id, "status", strconv.Itoa(o.status), "proof", resp.Header.Get("Server-Signature"), "ms", strconv.FormatInt(o.took.Milliseconds(), 10))
	c.answered++
	if resp.Close {
		c.close()
	}
	return o
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// orders is a load of orders on kept connections, at several machines.
type orders struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	lost   atomic.Int64
	served atomic.Int64
}

const (
	ordersPath = "/xapu221/ny95/2f"
	orderLimit = 2500 * time.Millisecond
	orderPause = 50 * time.Millisecond
)

// startOrders begins with a number of clients at each of the machines.
func startOrders(each int, machines ...*machine) *orders {
	o := &orders{stop: make(chan struct{})}
	for i := range each * len(machines) {
		o.wg.Go(func() { o.client(machines[i%len(machines)]) })
	}
	return o
}

func (o *orders) client(m *machine) {
	c := &client{m: m}
	defer c.close()
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(orderPause):
		}
		switch a := c.send(http.MethodPost, ordersPath, []byte("an order"), orderLimit); {
		case a.cut && a.kept && a.took < orderLimit && m.fleet.rec.count("run", a.id) > 0:
			o.lost.Add(1)
			m.fleet.rec.add("lost", a.id, "node", m.name)
		case a.status == http.StatusOK:
			o.served.Add(1)
		}
	}
}

// end waits for the last answers.
func (o *orders) end() {
	close(o.stop)
	o.wg.Wait()
}

// lostAllowed is how many requests may be lost by the rule.
const lostAllowed = 3

// judgeLost returns the exit code by the number of requests that were passed on to a target from a kept
// connection which then ended without an answer.
func (f *fleet) judgeLost(o *orders) int {
	for _, m := range f.machines {
		f.rec.say("%s %s peak %d MB of %d, killed %d times", m.name, m.service, m.peakKB.Load()>>10, memoryMB, m.kills.Load())
	}
	f.rec.say("orders: %d served, %d passed on to a target and closed without an answer; %d allowed", o.served.Load(), o.lost.Load(), lostAllowed)
	if o.lost.Load() > lostAllowed {
		return exitBroken
	}
	return exitHeld
}
