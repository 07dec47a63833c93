package main

import (
	"context"
	"encoding/json"
	"net/http"
)

// A request with holdHeader waits at the step given there until PUT /-/release.
const (
	holdHeader    = "X-Standin-Hold"
	holdRunning   = "running"
	holdAnswering = "answering"
)

// hold blocks until release if the request asks to be held at step. It returns
// false if the request is cancelled.
func (b *backend) hold(ctx context.Context, r *http.Request, step string) bool {
	if r.Header.Get(holdHeader) != step {
		return true
	}
	id := r.Header.Get("X-Request-Id")
	for {
		b.mu.Lock()
		changed, released := b.releasedChanged, b.released[id]
		b.mu.Unlock()
		if released {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// release resumes the requests whose ids are in the body, a JSON list. Later
// copies of these requests aren't held either.
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
	close(b.releasedChanged)
	b.releasedChanged = make(chan struct{})
}
