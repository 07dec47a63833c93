package matrix

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// Outcome is what a caller was told.
type Outcome string

// The outcomes.
const (
	Ran         Outcome = "run"
	ToldNotRun  Outcome = "not-run"
	ToldUnknown Outcome = "unknown"
	Wrong       Outcome = "wrong"
)

const bodySize = 2000

// exchange is one request of a caller, with a second sending where the cell has one.
type exchange struct {
	w      *worker
	ctx    context.Context
	cancel context.CancelFunc
	cell   Cell
	id     string
	key    string
	hold   string
	// queued is how many waited at each guard before the request was sent.
	queued map[string]int
	front  deploy.Place
	body   []byte
	half   chan struct{}
	onward chan struct{}
	ended  sync.WaitGroup
	done   chan struct{}
	mu     sync.Mutex
	// outcome and detail are of the first sending, unless the second knows more.
	outcome Outcome
	detail  string
	by      string
}

func (w *worker) newExchange(ctx context.Context, c Cell) *exchange {
	x := &exchange{
		w: w, cell: c, id: newID(), front: w.fronts[0],
		half: make(chan struct{}), onward: make(chan struct{}), done: make(chan struct{}),
	}
	x.ctx, x.cancel = context.WithCancel(ctx)
	x.body = bytes.Repeat([]byte(x.id), bodySize/len(x.id))
	switch c.Step {
	case Running, Resent:
		x.hold = "running"
	case Answering:
		x.hold = "answering"
	}
	w.held = append(w.held, x.id)
	if c.Style == Ticket {
		x.key = w.ticket(ctx)
	}
	return x
}

// ticket obtains a ticket from the first node for callers.
func (w *worker) ticket(ctx context.Context) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.fronts[0].Callers()+"/once/x", nil)
	if err != nil {
		return ""
	}
	req.Header.Set(headers.Service, w.service)
	req.Header.Set(headers.Ticket, "request")
	resp, err := w.client.Do(req)
	if err != nil {
		return ""
	}
	_ = resp.Body.Close()
	return resp.Header.Get(headers.Ticket)
}

// send starts the first sending.
func (x *exchange) send() {
	body := io.Reader(bytes.NewReader(x.body))
	if x.cell.Step == Accepted {
		body = &halved{x: x}
		x.w.holds = append(x.w.holds, func(context.Context) error {
			close(x.onward)
			return nil
		})
	}
	x.ended.Go(func() { x.exchange(x.front, body) })
	go func() {
		x.ended.Wait()
		close(x.done)
	}()
}

// sendAgain sends a copy through another node while the first is under way.
func (x *exchange) sendAgain(front deploy.Place) {
	x.ended.Go(func() { x.exchange(front, bytes.NewReader(x.body)) })
}

// halved is a body that stops in its middle until the cell lets it go on.
type halved struct {
	x  *exchange
	at int
}

func (h *halved) Read(p []byte) (int, error) {
	middle := len(h.x.body) / 2
	if h.at == middle {
		close(h.x.half)
		<-h.x.onward
	}
	end := len(h.x.body)
	if h.at < middle {
		end = middle
	}
	if h.at == end {
		return 0, io.EOF
	}
	n := copy(p, h.x.body[h.at:end])
	h.at += n
	return n, nil
}

func (x *exchange) waitHalfSent() error {
	select {
	case <-x.half:
		return nil
	case <-time.After(reachLimit):
		return errUnreached
	}
}

// wait waits for the end of all sendings, up to a limit.
func (x *exchange) wait(limit time.Duration) {
	select {
	case <-x.done:
	case <-time.After(limit):
	}
}

func (x *exchange) exchange(front deploy.Place, body io.Reader) {
	path := "/once/"
	if x.cell.Style == Read {
		path = "/read/"
	}
	req, err := http.NewRequestWithContext(x.ctx, http.MethodPost, "http://"+front.Callers()+path+x.id, body)
	if err != nil {
		x.tell(Wrong, err.Error(), "")
		return
	}
	req.ContentLength = int64(len(x.body))
	req.Header.Set(headers.Service, x.w.service)
	req.Header.Set(headers.RequestID, x.id)
	if x.key != "" {
		req.Header.Set(headers.IdempotencyKey, x.key)
	}
	if x.hold != "" {
		req.Header.Set("X-Standin-Hold", x.hold)
	}
	if len(x.cell.Faults) > 0 && strings.Contains(strings.Join(x.cell.Faults, ","), "killing request") {
		req.Header.Set("X-Standin-Crash", "1")
	}
	x.tellAnswer(req)
}

func (x *exchange) tellAnswer(req *http.Request) {
	resp, err := x.w.client.Do(req)
	if err != nil {
		x.tell(ToldUnknown, "no answer", "")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	by := resp.Header.Get("X-Standin-Name")
	switch {
	case err != nil:
		x.tell(ToldUnknown, "answer visibly cut", by)
	case resp.Header.Get(headers.Kind) != "":
		x.tell(Outcome(resp.Header.Get(headers.Outcome)), resp.Header.Get(headers.Kind), by)
	case resp.StatusCode == http.StatusInternalServerError:
		x.tell(ToldUnknown, "the backend server failed", by)
	case resp.StatusCode != http.StatusOK || !bytes.Equal(got, x.body):
		x.tell(Wrong, "not the answer to this request: "+resp.Status, by)
	default:
		x.tell(Ran, "", by)
	}
}

// tell notes what a sending was told. A wrong answer stays; not-run by either
// sending stays too, because it speaks of both; else the better known counts.
func (x *exchange) tell(o Outcome, detail, by string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := map[Outcome]int{"": 0, ToldUnknown: 1, Ran: 2, ToldNotRun: 3, Wrong: 4}
	if rank[o] >= rank[x.outcome] {
		x.outcome, x.detail, x.by = o, detail, by
	}
}
