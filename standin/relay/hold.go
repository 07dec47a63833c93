package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// holdPoll is how often a held connection checks whether its hold was removed.
const holdPoll = 2 * time.Millisecond

// write forwards data to dst. Bytes covered by a hold fault are written once
// the fault is removed.
func (p *pipe) write(dst net.Conn, data []byte, from, to string) bool {
	after, held := p.relay.hold(from, to, p.route.Target)
	if held {
		first := min(after, len(data))
		if _, err := dst.Write(data[:first]); err != nil {
			return false
		}
		data = data[first:]
		p.waitForRelease(from, to)
	}
	if p.silent.Load() || p.relay.activeFault(from, to).Drop {
		return true
	}
	_, err := dst.Write(data)
	return err == nil
}

func (p *pipe) waitForRelease(from, to string) {
	p.heldDirections.Add(1)
	defer p.heldDirections.Add(-1)
	for {
		if _, held := p.relay.hold(from, to, p.route.Target); !held {
			return
		}
		time.Sleep(holdPoll)
	}
}

// hold reports whether bytes from one zone to another are held on connections
// to target, and after how many bytes of a write.
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

// serveHeld lists the targets of connections with held bytes.
func (r *relay) serveHeld(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := []string{}
	for p := range r.pipes {
		if p.heldDirections.Load() > 0 {
			targets = append(targets, p.route.Target)
		}
	}
	_ = json.NewEncoder(w).Encode(targets)
}
