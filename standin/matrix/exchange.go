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

// Outcome is the outcome of a request as reported to its caller.
type Outcome string

// The outcomes.
const (
	Ran             Outcome = "run"
	ReportedNotRun  Outcome = "not-run"
	ReportedUnknown Outcome = "unknown"
	Wrong           Outcome = "wrong"
)

const bodySize = 2000

// exchange is one request of a caller, including the second copy if the cell
// sends one.
type exchange struct {
	w      *worker
	ctx    context.Context
	cancel context.CancelFunc
	cell   Cell
	id     string
	key    string
	hold   string
	// queuedBefore is the queue length of each guard before the request was sent.
	queuedBefore map[string]int
	front        deploy.VM
	body         []byte
	halfSent     chan struct{}
	resumeBody   chan struct{}
	ended        sync.WaitGroup
	done         chan struct{}
	mu           sync.Mutex
	// outcome, detail and answeredBy are those of the most significant answer;
	// see recordOutcome.
	outcome    Outcome
	detail     string
	answeredBy string
}

func (w *worker) newExchange(ctx context.Context, c Cell) *exchange {
	x := &exchange{
		w: w, cell: c, id: newID(), front: w.fronts[0],
		halfSent: make(chan struct{}), resumeBody: make(chan struct{}), done: make(chan struct{}),
	}
	x.ctx, x.cancel = context.WithCancel(ctx)
	x.body = bytes.Repeat([]byte(x.id), bodySize/len(x.id))
	switch c.Step {
	case Running, Resent:
		x.hold = "running"
	case Answering:
		x.hold = "answering"
	}
	w.heldIDs = append(w.heldIDs, x.id)
	if c.Style == Ticket {
		x.key = w.ticket(ctx)
	}
	return x
}

// ticket obtains a ticket from the first front node. It returns "" on failure.
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

// send starts sending the first copy of the request.
func (x *exchange) send() {
	body := io.Reader(bytes.NewReader(x.body))
	if x.cell.Step == Accepted {
		body = &pausingBody{x: x}
		x.w.holds = append(x.w.holds, func(context.Context) error {
			close(x.resumeBody)
			return nil
		})
	}
	x.ended.Go(func() { x.sendThrough(x.front, body) })
	go func() {
		x.ended.Wait()
		close(x.done)
	}()
}

// sendAgain sends a second copy through another node while the first is in progress.
func (x *exchange) sendAgain(front deploy.VM) {
	x.ended.Go(func() { x.sendThrough(front, bytes.NewReader(x.body)) })
}

// pausingBody is a request body that blocks at its middle until resumeBody is closed.
type pausingBody struct {
	x      *exchange
	offset int
}

func (h *pausingBody) Read(p []byte) (int, error) {
	middle := len(h.x.body) / 2
	if h.offset == middle {
		close(h.x.halfSent)
		<-h.x.resumeBody
	}
	end := len(h.x.body)
	if h.offset < middle {
		end = middle
	}
	if h.offset == end {
		return 0, io.EOF
	}
	n := copy(p, h.x.body[h.offset:end])
	h.offset += n
	return n, nil
}

func (x *exchange) waitHalfSent() error {
	select {
	case <-x.halfSent:
		return nil
	case <-time.After(reachLimit):
		return errUnreached
	}
}

// wait waits until all copies have been answered or have failed, up to a limit.
func (x *exchange) wait(limit time.Duration) {
	select {
	case <-x.done:
	case <-time.After(limit):
	}
}

func (x *exchange) sendThrough(front deploy.VM, body io.Reader) {
	path := "/once/"
	if x.cell.Style == Read {
		path = "/read/"
	}
	req, err := http.NewRequestWithContext(x.ctx, http.MethodPost, "http://"+front.Callers()+path+x.id, body)
	if err != nil {
		x.recordOutcome(Wrong, err.Error(), "")
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
	x.roundTrip(req)
}

func (x *exchange) roundTrip(req *http.Request) {
	resp, err := x.w.client.Do(req)
	if err != nil {
		x.recordOutcome(ReportedUnknown, "no answer", "")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	by := resp.Header.Get("X-Standin-Name")
	switch {
	case err != nil:
		x.recordOutcome(ReportedUnknown, "answer truncated", by)
	case resp.Header.Get(headers.Kind) != "":
		x.recordOutcome(Outcome(resp.Header.Get(headers.Outcome)), resp.Header.Get(headers.Kind), by)
	case resp.StatusCode == http.StatusInternalServerError:
		x.recordOutcome(ReportedUnknown, "the backend server failed", by)
	case resp.StatusCode != http.StatusOK || !bytes.Equal(got, x.body):
		x.recordOutcome(Wrong, "not the answer to this request: "+resp.Status, by)
	default:
		x.recordOutcome(Ran, "", by)
	}
}

// recordOutcome merges the outcome of one copy. A wrong answer takes precedence,
// then not-run, because it covers both copies; otherwise the more definite
// outcome is kept.
func (x *exchange) recordOutcome(o Outcome, detail, by string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := map[Outcome]int{"": 0, ReportedUnknown: 1, Ran: 2, ReportedNotRun: 3, Wrong: 4}
	if rank[o] >= rank[x.outcome] {
		x.outcome, x.detail, x.answeredBy = o, detail, by
	}
}
