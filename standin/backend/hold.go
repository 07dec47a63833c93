package main

import (
	"context"
	"encoding/json"
	"net/http"
)

// A request with this header waits at a step of its run until PUT /-/release.
const (
	holdHeader    = "X-Standin-Hold"
	holdRunning   = "running"
	holdAnswering = "answering"
)

// hold waits if the request is to be held at step. It returns false when the
// request was cancelled.
func (b *backend) hold(ctx context.Context, r *http.Request, step string) bool {
	if r.Header.Get(holdHeader) != step {
		return true
	}
	id := r.Header.Get("X-Request-Id")
	for {
		b.mu.Lock()
		held, free := b.held, b.released[id]
		b.mu.Unlock()
		if free {
			return true
		}
		select {
		case <-held:
		case <-ctx.Done():
			return false
		}
	}
}

// release lets the requests go on whose ids are in the body, a JSON list; later
// copies of them aren't held either.
func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if err := json.NewDecoder(r.Body).Decode(&ids); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		b.released[id] = true
	}
	close(b.held)
	b.held = make(chan struct{})
}
