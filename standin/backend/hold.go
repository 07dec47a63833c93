package main

import (
	"context"
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
	b.mu.Lock()
	held := b.held
	b.mu.Unlock()
	select {
	case <-held:
		return true
	case <-ctx.Done():
		return false
	}
}

// release lets every held request go on.
func (b *backend) release(http.ResponseWriter, *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.held)
	b.held = make(chan struct{})
}
