package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// holdPoll is how often a held connection looks whether it may go on.
const holdPoll = 2 * time.Millisecond

// write passes bytes on; what a hold keeps back waits until it is taken away.
func (p *pipe) write(dst net.Conn, data []byte, from, to string) bool {
	after, held := p.relay.hold(from, to, p.route.Target)
	if held {
		first := min(after, len(data))
		if _, err := dst.Write(data[:first]); err != nil {
			return false
		}
		data = data[first:]
		p.wait(from, to)
	}
	if p.silent.Load() || p.relay.now(from, to).Drop {
		return true
	}
	_, err := dst.Write(data)
	return err == nil
}

func (p *pipe) wait(from, to string) {
	p.holding.Add(1)
	defer p.holding.Add(-1)
	for {
		if _, held := p.relay.hold(from, to, p.route.Target); !held {
			return
		}
		time.Sleep(holdPoll)
	}
}

// hold says whether bytes from one zone to another are held on connections to
// a target, and after how many bytes of a write.
func (r *relay) hold(from, to, target string) (after int, held bool) {
	_, port, _ := net.SplitHostPort(target)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.faults {
		if f.Hold && f.matches(from, to) && (f.Port == "" || f.Port == port) {
			return f.HoldAfter, true
		}
	}
	return 0, false
}

// heldNow lists the targets of the connections that are held.
func (r *relay) heldNow(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := []string{}
	for p := range r.pipes {
		if p.holding.Load() > 0 {
			targets = append(targets, p.route.Target)
		}
	}
	_ = json.NewEncoder(w).Encode(targets)
}
