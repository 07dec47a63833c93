package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// behaviour holds the settings that a test can change while the backend server runs.
type behaviour struct {
	ServiceMs float64 `json:"service_ms"`
	// Spread is the fraction of the service time, 0 to 1, that is drawn for each
	// request from an exponential distribution. It doesn't change the mean.
	Spread float64 `json:"spread"`
	// JitterMs simulates noisy neighbours: a fraction of it is added to the
	// service time, and the fraction changes every ShiftEveryMs, independently
	// at each server.
	JitterMs     float64 `json:"jitter_ms"`
	ShiftEveryMs int     `json:"shift_every_ms"`
	// State is the state reported by the health endpoint.
	State string `json:"state"`
	// Shed answers 503 without recording a run; FailFast records a run and
	// answers 500 immediately.
	Shed     bool `json:"shed"`
	FailFast bool `json:"fail_fast"`
	// Frozen delays all responses, including health and load, until it is reset.
	Frozen bool `json:"frozen"`
	// Lie is reported by the load endpoint instead of the number of running
	// requests; -1 reports the actual number.
	Lie int `json:"lie"`
	// ColdMs is how long the server is slower by coldFactor after its start or
	// after a change of ColdMs.
	ColdMs int `json:"cold_ms"`
}

// coldFactor multiplies the service time of a cold server.
const coldFactor = 10

func (b *backend) behaviour() behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// set changes the fields named in the JSON body and keeps the others.
func (b *backend) set(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.current
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.ColdMs != b.current.ColdMs {
		b.coldFrom = time.Now()
	}
	b.current = next
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"state": b.behaviour().State, "running": b.running.Load()})
}

func (b *backend) load(w http.ResponseWriter, _ *http.Request) {
	n := int(b.running.Load())
	if reported := b.behaviour().Lie; reported >= 0 {
		n = reported
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"running": n, "slots": b.opts.Slots})
}

// waitWhileFrozen wraps next and delays its requests while the server is frozen.
func (b *backend) waitWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		const pollInterval = 10 * time.Millisecond
		for b.behaviour().Frozen {
			if !sleep(r.Context(), pollInterval) {
				panic(http.ErrAbortHandler)
			}
		}
		next(w, r)
	}
}

// timeoutHeader carries the time remaining until the deadline, in milliseconds.
const timeoutHeader = "Limpetdock-Timeout-Ms"

// withDeadline returns a context that is cancelled at the request's deadline.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 64)
	if err != nil || ms <= 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// abortExpired aborts a cancelled request without a response: its work has
// stopped and no caller waits for it.
func abortExpired(ctx context.Context) {
	const abortDelay = time.Second
	sleep(ctx, abortDelay)
	panic(http.ErrAbortHandler)
}

// work holds a slot for the service time. It returns false if ctx is cancelled.
func (b *backend) work(ctx context.Context, r *http.Request, cfg behaviour) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-b.slots }()
	return sleep(ctx, b.serviceTime(r, cfg))
}

func (b *backend) serviceTime(r *http.Request, cfg behaviour) time.Duration {
	ms := cfg.ServiceMs
	if override, err := strconv.ParseFloat(r.Header.Get("X-Standin-Ms"), 64); err == nil {
		ms = override
	}
	ms *= 1 - cfg.Spread + cfg.Spread*rand.ExpFloat64()
	if cfg.ShiftEveryMs > 0 {
		ms += cfg.JitterMs * b.neighbours(time.Now().UnixMilli()/int64(cfg.ShiftEveryMs))
	}
	if b.cold(cfg) {
		ms *= coldFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// neighbours returns the simulated load of the server's neighbours in a time
// slice, 0 to 1. It is a hash of the slice and the server's name.
func (b *backend) neighbours(slice int64) float64 {
	sum := sha256.Sum256([]byte(b.opts.Name + strconv.FormatInt(slice, 10)))
	const maxByte = 255
	return float64(sum[0]) / maxByte
}

func (b *backend) cold(cfg behaviour) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.coldFrom) < time.Duration(cfg.ColdMs)*time.Millisecond
}
