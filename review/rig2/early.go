package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// earlyTarget is a backend server that, during spells, answers some uploads before it has read them, without
// a length, so that the answer ends with its connection.
type earlyTarget struct {
	*target
	// spell is true while it does so; nil is never. resets is true if these answers are reset on the way.
	spell  *atomic.Bool
	resets bool
}

const (
	// earlyRead is how much of a long upload is read before the answer begins.
	earlyRead = 64 << 10
	// earlyLines is the length of an answer in lines. earlyPause lies between its halves.
	earlyLines = 200
	earlyPause = 30 * time.Millisecond
	// earlyShare is the share of the uploads that are answered so.
	earlyShare = 0.05
	// earlySpells is how many spells there are, earlySpell how long one lasts, and earlyGap the time before each.
	earlySpells = 6
	earlySpell  = 4 * time.Second
	earlyGap    = 2 * time.Second
	// uploadGap is a client's pause between two uploads.
	uploadGap = 300 * time.Millisecond
	// ethernetMSS and receiveBuffer bound what the kernels hold of an upload, in bytes, as links other than
	// the loopback interface do.
	ethernetMSS   = 1448
	receiveBuffer = 32 << 10
	// earlyClients is the number of clients at each machine, and earlyBytes the size of an upload.
	earlyClients = 3
	earlyBytes   = 2 << 20
)

// listenNarrow listens with the segment size and the receive buffer of a server on another link.
func listenNarrow(network, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			)
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(context.Background(), network, addr)
}

func (e *earlyTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		load := fmt.Sprintf("Server-Load: %d,0,%d,100\r\n", e.running.Load(), e.slots)
		if req.URL.Path == healthPath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", e.id, load)
			continue
		}
		e.rec.add("run", id, "target", e.id)
		body := strings.Repeat(id+" is stored\n", earlyLines)
		if e.spell == nil || !e.spell.Load() || rand.Float64() >= earlyShare {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			e.rec.add("ran", id, "target", e.id, "bytes", strconv.Itoa(len(body)))
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, signature(e.id, body), load, len(body), body); err != nil {
				return
			}
			continue
		}
		_, _ = io.CopyN(io.Discard, req.Body, min(earlyRead, req.ContentLength))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n%s\r\n", id, signature(e.id, body), load)
		_, _ = io.WriteString(c, body[:len(body)/2])
		time.Sleep(earlyPause)
		if e.resets {
			e.rec.add("reset", id, "target", e.id, "sent", strconv.Itoa(len(body)/2), "of", strconv.Itoa(len(body)))
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.WriteString(c, body[len(body)/2:])
		e.rec.add("ran", id, "target", e.id, "bytes", strconv.Itoa(len(body)))
		_, _ = io.Copy(io.Discard, req.Body)
		return
	}
}

// resetAnswers sends uploads to two backend servers, of which one resets a part of its answers.
func resetAnswers(rec *record, trouble bool) (int, error) {
	f, err := startCase(rec, []place{
		{"rs-poa", "rs", catalogue},
		{"rs-poa", "rs", booking},
		{"sc-fln", "sc", uploads},
		{"sc-fln", "sc", booking},
		{"pr-cwb", "pr", uploads},
	})
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	var spell atomic.Bool
	for i, m := range f.machines {
		if m.service != uploads {
			continue
		}
		e := &earlyTarget{target: m.target, resets: trouble}
		if i == len(f.machines)-1 {
			e.spell = &spell
		}
		if err := m.replaceApp(listenNarrow, e.serveConn); err != nil {
			return exitNotRun, err
		}
	}
	time.Sleep(2 * time.Second)
	body := make([]byte, earlyBytes)
	var sent, whole, cut atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(earlySpells * (earlyGap + earlySpell))
	for i := range earlyClients * len(f.machines) {
		m := f.machines[i%len(f.machines)]
		clients.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(uploadGap)
				c := &client{m: m}
				o := c.send(http.MethodPost, "/fiti832/ti23/2f", body, 2500*time.Millisecond)
				c.close()
				sent.Add(1)
				id, _, _ := strings.Cut(o.head.Get("Server-Signature"), ".")
				switch {
				case o.status != http.StatusOK:
				case o.head.Get("Server-Signature") == signature(id, o.body):
					whole.Add(1)
				default:
					cut.Add(1)
					rec.add("not-whole", o.id, "bytes", strconv.Itoa(len(o.body)), "status", strconv.Itoa(o.status))
				}
			}
		})
	}
	playSpells(&spell, earlySpells, earlyGap, earlySpell)
	clients.Wait()
	rec.say("%d uploads: %d answered with the target's whole body, %d with a part of it as if it were complete", sent.Load(), whole.Load(), cut.Load())
	if cut.Load() > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
