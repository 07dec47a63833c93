package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a target began to work on.
type Run struct {
	Target, RequestID, Method, URI, Caller string
	At                                     time.Time
}

// Arrival is what a target decides about a request that it has read.
type Arrival struct {
	// Shed makes the target reject the request with 503 and Not-Executed.
	Shed bool
	// Repeat makes it send its answer a second time on the same connection, late: where the next answer is
	// expected.
	Repeat bool
	// Work is how long it works on the request.
	Work time.Duration
	// Crash ends the target's process after this time of work on the request; 0 is never.
	Crash time.Duration
}

// Target is a stand-in for a target: an HTTP/1.1 server that serves one request at a time on a connection.
type Target struct {
	ID, Service, Addr string
	Slots             int
	Record            *Record
	// Decide is called for each request that is for this target.
	Decide func(r *http.Request) Arrival
	// Crashed is called after a crash; nil is nothing.
	Crashed func()

	mu sync.Mutex
	// process is the present incarnation.
	process  *process
	runs     []Run
	listener net.Listener
	conns    map[net.Conn]struct{}
	born     time.Time
}

// process is one incarnation of a target. The target's mutex protects its counts.
type process struct {
	running, waiting int
	slots            chan struct{}
}

// Start opens the target's port.
func (t *Target) Start() error {
	l, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	p := &process{slots: make(chan struct{}, t.Slots)}
	t.mu.Lock()
	t.process, t.listener, t.conns, t.born = p, l, map[net.Conn]struct{}{}, time.Now()
	t.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			if t.process != p {
				t.mu.Unlock()
				_ = c.Close()
				return
			}
			t.conns[c] = struct{}{}
			t.mu.Unlock()
			go t.serve(p, c)
		}
	}()
	return nil
}

// Stop ends the target: its port and all connections are closed.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.listener.Close()
	t.process = nil
	for c := range t.conns {
		_ = c.Close()
	}
}

// Entry returns the target's entry in the store.
func (t *Target) Entry(zone, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"1.0","slots":%d,"state":%q,"cold_remaining_s":0,"seq":1,"born":%d}`,
		t.Service, t.Addr, zone, t.Slots, state, t.born.UnixMilli())
}

// Runs returns the runs so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// queueLimit is how many requests wait for a slot.
const queueLimit = 12

func (t *Target) load(p *process) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", p.running, p.waiting, t.Slots)
}

func (t *Target) serve(p *process, c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	late := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != "" {
			t.Record.Printf("target %s sends its last answer again", t.ID)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer, repeat := t.handle(p, req, len(body))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if repeat {
			late = answer
		}
	}
}

func answer(status int, header map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, name := range []string{"Request-Id", "Instance-Id", "Server-Load", "Server-Signature", "Not-Executed"} {
		if v := header[name]; v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

func (t *Target) handle(p *process, req *http.Request, bodyBytes int) (text string, repeat bool) {
	id := req.Header.Get("Request-Id")
	header := map[string]string{"Request-Id": id, "Server-Load": t.load(p)}
	if req.URL.Path == "/healthz" {
		header["Instance-Id"] = t.ID
		return answer(http.StatusOK, header, ""), false
	}
	if id == "" {
		header["Not-Executed"] = "1"
		return answer(http.StatusBadRequest, header, ""), false
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != t.ID {
		header["Instance-Id"] = t.ID
		return answer(http.StatusMisdirectedRequest, header, ""), false
	}
	a := t.Decide(req)
	if a.Shed || !t.enter(p) {
		t.Record.Printf("target %s rejects %s with 503 and Not-Executed; second answer later: %t", t.ID, id, a.Repeat)
		header["Not-Executed"] = "1"
		return answer(http.StatusServiceUnavailable, header, ""), a.Repeat
	}
	defer t.leave(p)
	t.mu.Lock()
	t.runs = append(t.runs, Run{t.ID, id, req.Method, req.URL.RequestURI(), req.Header.Get("Caller-Service"), time.Now()})
	t.mu.Unlock()
	t.Record.Printf("target %s runs %s %s %s", t.ID, id, req.Method, req.URL.RequestURI())
	if a.Crash > 0 {
		time.Sleep(a.Crash)
		if !t.alive(p) {
			return "", false
		}
		t.Record.Printf("target %s crashes", t.ID)
		t.Stop()
		if t.Crashed != nil {
			go t.Crashed()
		}
		return "", false
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < a.Work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		header["Server-Load"] = t.load(p)
		return answer(http.StatusGatewayTimeout, header, ""), a.Repeat
	}
	time.Sleep(a.Work)
	header["Server-Load"], header["Server-Signature"] = t.load(p), "signed-by-"+t.ID+"-"+id
	return answer(http.StatusOK, header, fmt.Sprintf("%s ran %s with %d bytes\n", t.ID, id, bodyBytes)), a.Repeat
}

// alive reports whether an incarnation is the present one.
func (t *Target) alive(p *process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process == p
}

// enter waits for a slot. It returns false if the queue is full.
func (t *Target) enter(p *process) bool {
	t.mu.Lock()
	if p.running >= t.Slots && p.waiting >= queueLimit {
		t.mu.Unlock()
		return false
	}
	p.waiting++
	t.mu.Unlock()
	p.slots <- struct{}{}
	t.mu.Lock()
	p.waiting--
	p.running++
	t.mu.Unlock()
	return true
}

func (t *Target) leave(p *process) {
	<-p.slots
	t.mu.Lock()
	p.running--
	t.mu.Unlock()
}
