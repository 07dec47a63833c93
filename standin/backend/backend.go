package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/standin/endless"
)

type backend struct {
	// releasedChanged is closed and replaced when released changes.
	releasedChanged chan struct{}
	released        map[string]bool
	opts            options
	slots           chan struct{}
	running         atomic.Int64
	mu              sync.Mutex
	current         behaviour
	// coldFrom is the time of the last cold start.
	coldFrom time.Time
	ledger   *os.File
	client   *http.Client
}

func newBackend(opts options) (*backend, error) {
	b := &backend{
		opts: opts, coldFrom: time.Now(), releasedChanged: make(chan struct{}), released: map[string]bool{}, slots: make(chan struct{}, opts.Slots),
		current: behaviour{ServiceMs: opts.ServiceMs, State: "live", Lie: -1},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if opts.Ledger == "" {
		return b, nil
	}
	f, err := os.OpenFile(opts.Ledger, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	b.ledger = f
	return b, err
}

// ledgerEntry is one line of the ledger.
type ledgerEntry struct {
	At      string `json:"at"`
	Event   string `json:"event"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Outcome string `json:"outcome"`
}

func (b *backend) record(r *http.Request, event, outcome string) {
	if b.ledger == nil {
		return
	}
	text, _ := json.Marshal(ledgerEntry{
		At: time.Now().UTC().Format(time.RFC3339Nano), Event: event, ID: r.Header.Get("X-Request-Id"),
		Method: r.Method, Path: r.URL.Path, Outcome: outcome,
	})
	_, _ = b.ledger.Write(append(text, '\n'))
}

// serve handles one request: it acquires a slot, sleeps for the service time
// and echoes the body.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	cfg := b.behaviour()
	if cfg.Shed {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	b.record(r, "start", "")
	if r.Header.Get("X-Standin-Crash") != "" {
		os.Exit(3)
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	if kind := r.Header.Get("X-Standin-Endless"); kind != "" {
		if err := endless.Answer(kind).Send(w, http.Header{}, &endless.Log{}); err != nil {
			panic(err)
		}
		return
	}
	outcome := "cut"
	defer func() { b.record(r, "end", outcome) }()
	if cfg.FailFast {
		outcome = "failed"
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !b.work(ctx, r, cfg) || !b.hold(ctx, r, holdRunning) {
		abortExpired(r.Context())
	}
	if !b.chain(ctx, w, r) {
		outcome = "chain-failed"
		return
	}
	b.answer(w, r, body)
	outcome = "done"
}

// maxEcho is the largest body, in bytes, that is echoed in full.
const maxEcho = 1 << 20

type received struct {
	sum  string
	size int64
	text []byte
}

func readBody(r *http.Request) (received, error) {
	hash := sha256.New()
	var head strings.Builder
	limited := &limitedWriter{w: &head, remaining: maxEcho}
	n, err := io.Copy(io.MultiWriter(hash, limited), r.Body)
	return received{hex.EncodeToString(hash.Sum(nil)), n, []byte(head.String())}, err
}

type limitedWriter struct {
	w         io.Writer
	remaining int
}

func (l *limitedWriter) Write(p []byte) (int, error) {
	n := min(len(p), l.remaining)
	l.remaining -= n
	_, err := l.w.Write(p[:n])
	return len(p), err
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	return clock.Sleep(ctx, d)
}

// chain calls the next service listed in X-Standin-Chain through the local node.
func (b *backend) chain(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	list := r.Header.Get("X-Standin-Chain")
	if list == "" || b.opts.Entry == "" {
		return true
	}
	next, rest, _ := strings.Cut(list, ",")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.opts.Entry+"/chain", nil)
	if err != nil {
		return false
	}
	for _, name := range []string{"X-Request-Id", "Limpetdock-Depth", "Limpetdock-Retries-Left", "X-Standin-Ms"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(timeoutHeader, strconv.FormatInt(remaining, 10))
	}
	req.Header.Set("Limpetdock-Service", next)
	if rest != "" {
		req.Header.Set("X-Standin-Chain", rest)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		http.Error(w, "chain: "+resp.Status, http.StatusBadGateway)
		return false
	}
	return true
}

// answer echoes the body, or sends as many bytes as X-Standin-Size asks for.
// X-Standin-Cut aborts the response after that many bytes.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, body received) {
	w.Header().Set("X-Standin-Name", b.opts.Name)
	w.Header().Set("X-Standin-Sha256", body.sum)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	text := body.text
	if body.size == 0 {
		text, _ = json.Marshal(map[string]string{"vm": b.opts.Name, "path": r.URL.Path, "id": r.Header.Get("X-Request-Id")})
	}
	if body.size > maxEcho {
		text, _ = json.Marshal(map[string]any{"sha256": body.sum, "size": body.size})
	}
	if n, err := strconv.Atoi(r.Header.Get("X-Standin-Size")); err == nil {
		text = []byte(strings.Repeat("x", n))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if cut, err := strconv.Atoi(r.Header.Get("X-Standin-Cut")); err == nil && cut < len(text) {
		_, _ = w.Write(text[:cut])
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(holdHeader) == holdAnswering {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		b.hold(r.Context(), r, holdAnswering)
		text = text[len(text)/2:]
	}
	_, _ = w.Write(text)
}
