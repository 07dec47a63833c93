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

// behaviour is what a test may change while the backend server runs.
type behaviour struct {
	ServiceMs float64 `json:"service_ms"`
	// Spread is the part of the service time, 0 to 1, that is drawn anew for
	// each request, exponentially; the mean stays.
	Spread float64 `json:"spread"`
	// JitterMs is added in part, another part every ShiftEveryMs, as noisy
	// neighbours do; the parts of different servers don't depend on each other.
	JitterMs     float64 `json:"jitter_ms"`
	ShiftEveryMs int     `json:"shift_every_ms"`
	// State is what the health endpoint says.
	State string `json:"state"`
	// Shed answers 503 before a run; FailFast answers 500 at once.
	Shed     bool `json:"shed"`
	FailFast bool `json:"fail_fast"`
	// Frozen answers nothing, the health and load endpoints included, until it ends.
	Frozen bool `json:"frozen"`
	// Lie is what the load endpoint says instead of the truth; -1 is the truth.
	Lie int `json:"lie"`
	// ColdMs is how long the server is ten times slower after its start, or
	// after this was set.
	ColdMs int `json:"cold_ms"`
}

// coldFactor is how much slower a cold server is.
const coldFactor = 10

func (b *backend) behaviour() behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.how
}

// set changes what the JSON body names and leaves the rest.
func (b *backend) set(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.how
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.ColdMs != b.how.ColdMs {
		b.coldFrom = time.Now()
	}
	b.how = next
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"state": b.behaviour().State, "running": b.running.Load()})
}

func (b *backend) load(w http.ResponseWriter, _ *http.Request) {
	n := int(b.running.Load())
	if lie := b.behaviour().Lie; lie >= 0 {
		n = lie
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"running": n, "slots": b.opts.Slots})
}

// thaw holds requests back while the server is frozen.
func (b *backend) thaw(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		const look = 10 * time.Millisecond
		for b.behaviour().Frozen {
			if !sleep(r.Context(), look) {
				panic(http.ErrAbortHandler)
			}
		}
		next(w, r)
	}
}

// timeoutHeader is what is left of the deadline, in milliseconds.
const timeoutHeader = "Limpetdock-Timeout-Ms"

// withDeadline gives a context that ends with the request's deadline.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 64)
	if err != nil || ms <= 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// leave ends a request whose deadline has passed: its work has stopped, and
// nobody waits for an answer, so none is made up.
func leave(ctx context.Context) {
	const patience = time.Second
	sleep(ctx, patience)
	panic(http.ErrAbortHandler)
}

// work holds a slot for the service time. It returns false when cancelled.
func (b *backend) work(ctx context.Context, r *http.Request, how behaviour) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-b.slots }()
	return sleep(ctx, b.serviceTime(r, how))
}

func (b *backend) serviceTime(r *http.Request, how behaviour) time.Duration {
	ms := how.ServiceMs
	if own, err := strconv.ParseFloat(r.Header.Get("X-Standin-Ms"), 64); err == nil {
		ms = own
	}
	ms *= 1 - how.Spread + how.Spread*rand.ExpFloat64()
	if how.ShiftEveryMs > 0 {
		ms += how.JitterMs * b.neighbours(time.Now().UnixMilli()/int64(how.ShiftEveryMs))
	}
	if b.cold(how) {
		ms *= coldFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// neighbours gives how busy the neighbours are in a slice of time, 0 to 1: a
// hash of the slice and the server's name.
func (b *backend) neighbours(slice int64) float64 {
	sum := sha256.Sum256([]byte(b.opts.Name + strconv.FormatInt(slice, 10)))
	const most = 255
	return float64(sum[0]) / most
}

func (b *backend) cold(how behaviour) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.coldFrom) < time.Duration(how.ColdMs)*time.Millisecond
}
