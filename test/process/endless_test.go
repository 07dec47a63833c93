package process_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/standin/deploy"
	"github.com/limpetdock/limpetdock/standin/endless"
)

const (
	// endlessRequests is the number of requests or connections with bytes without end at once.
	endlessRequests = 20
	// endlessAnswerTime is the time in which callers must have an answer to requests with a time limit of
	// endlessTimeout, if the head of the answer never ends.
	endlessTimeout    = 5 * time.Second
	endlessAnswerTime = 2500 * time.Millisecond
	// streamTimeout is the time limit of requests whose body never ends.
	streamTimeout = 1500 * time.Millisecond
	// maxNodeMemory is the memory that a node may take, in bytes.
	maxNodeMemory = 128 << 20
	// readsBeside is the pause between two other reads, of which leastServedBeside must be served.
	readsBeside       = 15 * time.Millisecond
	leastServedBeside = 0.99
)

// playBeside runs f beside other reads, and checks that these are served and that nodes keep within their memory.
func playBeside(ctx context.Context, t *testing.T, d *deploy.Deployment, f func()) {
	for _, p := range d.VMs {
		require.NoError(t, deploy.ResetPeakMemory(d.Node(p.Name).Pid()))
	}
	reading, stop := context.WithCancel(ctx)
	var asked, served atomic.Int64
	var reads sync.WaitGroup
	reads.Go(func() {
		for n := 0; reading.Err() == nil; n++ {
			reads.Go(func() {
				asked.Add(1)
				if status, _, err := get(ctx, d.VMs[n%len(d.VMs)], uuid.NewString(), "/catalogue/week", false); err == nil && status == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(readsBeside)
		}
	})
	earliestEnd := time.After(time.Second)
	f()
	<-earliestEnd
	stop()
	reads.Wait()
	peak := int64(0)
	for _, p := range d.VMs {
		memory, err := deploy.PeakMemory(d.Node(p.Name).Pid())
		require.NoError(t, err)
		peak = max(peak, memory)
	}
	t.Logf("peak memory %d MB, %d of %d other reads served", peak>>20, served.Load(), asked.Load())
	assert.LessOrEqual(t, peak, int64(maxNodeMemory), "peak memory of a node")
	assert.GreaterOrEqual(t, float64(served.Load()), leastServedBeside*float64(asked.Load()), "other reads that are served")
}

// Guards against a backend server's answer without end that fills a node's memory, holds its caller until the time
// limit, or disturbs other requests. A body without end is passed on until the time limit, as a stream is.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	ctx, d := startDeployment(t)
	for _, kind := range endless.Answers {
		t.Run(string(kind), func(t *testing.T) {
			playBeside(ctx, t, d, func() {
				var requests sync.WaitGroup
				for n := range endlessRequests {
					requests.Go(func() { requestEndless(ctx, t, d.VMs[n%len(d.VMs)], kind, n%4 == 0) })
				}
				requests.Wait()
			})
		})
	}
}

// requestEndless sends a request whose answer never ends, and checks what the caller gets.
func requestEndless(ctx context.Context, t *testing.T, p deploy.VM, kind endless.Answer, once bool) {
	method, service, path, timeout := http.MethodGet, "catalogue", "/catalogue/endless", endlessTimeout
	if once {
		method, service, path = http.MethodPost, "depot", "/payouts/run"
	}
	if kind.InBody() {
		timeout = streamTimeout
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.Callers()+path, http.NoBody)
	assert.NoError(t, err)
	r.Header.Set(headers.Service, service)
	r.Header.Set(headers.RequestID, uuid.NewString())
	r.Header.Set(headers.TimeoutMs, fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("X-Standin-Endless", string(kind))
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if !assert.NoError(t, err) {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	description := fmt.Sprintf("%s %s, status %d, error %v", method, kind, resp.StatusCode, err)
	assert.LessOrEqual(t, time.Since(start), endlessAnswerTime, "%s: time until the end of the answer", description)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		// The request waited for a slot and hasn't run.
		assert.Equal(t, "not-run", resp.Header.Get(headers.Outcome), description)
	case kind.Complete():
		assert.Equal(t, http.StatusOK, resp.StatusCode, description)
		assert.NoError(t, err, description)
	case resp.StatusCode == http.StatusOK:
		assert.True(t, kind.InBody(), description)
		assert.Error(t, err, "a body that never ends must not look complete: "+description)
	default:
		assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode, description)
	}
}

// Guards against connections of callers and of what isn't a node that send bytes without end, fill a node's memory or
// stay open.
func TestConnectionsWithoutEndAreClosed(t *testing.T) {
	ctx, d := startDeployment(t)
	p := d.VMs[0]
	header := fmt.Sprintf("Host: h\r\n%s: catalogue\r\n%s: 1500\r\n", headers.Service, headers.TimeoutMs)
	type bytesWithoutEnd struct {
		addr, first string
		repeated    []byte
	}
	cases := map[string]bytesWithoutEnd{}
	for _, kind := range endless.Requests {
		first, repeated := kind.Parts("/catalogue/week", header)
		cases["callers' port, "+string(kind)] = bytesWithoutEnd{p.Callers(), first, repeated}
		cases["other nodes' entries, "+string(kind)] = bytesWithoutEnd{p.Guard(d.Fleet()), first, repeated}
		cases["operators' port, "+string(kind)] = bytesWithoutEnd{p.Admin(), first, repeated}
	}
	for name, first := range map[string]string{"text": strings.Repeat("no message ", 10), "zeros": "\x00", "a large message": "\x00\xff\xff\xff\x01\x01"} {
		cases["other nodes' control port, "+name] = bytesWithoutEnd{p.Control(d.Fleet()), first, bytes.Repeat([]byte{0}, 64<<10)}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := make([]endless.Sent, endlessRequests)
			playBeside(ctx, t, d, func() {
				var connections sync.WaitGroup
				for n := range sent {
					connections.Go(func() {
						conn, err := net.Dial("tcp", c.addr)
						if !assert.NoError(t, err) {
							return
						}
						go func() { _, _ = io.Copy(io.Discard, conn) }()
						sent[n] = endless.Send(conn, c.first, c.repeated)
					})
				}
				connections.Wait()
			})
			longest, most := time.Duration(0), int64(0)
			for _, s := range sent {
				assert.True(t, s.Closed, "the connection is closed")
				longest, most = max(longest, s.Took), max(most, s.Bytes)
			}
			t.Logf("open for up to %v with up to %d KB", longest.Round(time.Millisecond), most>>10)
			assert.LessOrEqual(t, longest, endlessAnswerTime, "time until a connection is closed")
		})
	}
}

// Guards against answers of the platform that never end: nodes go on serving within their memory.
func TestPlatformAnswersWithoutEndAreGivenUp(t *testing.T) {
	ctx, d := startDeployment(t)
	d.Platform().End(syscall.SIGKILL)
	d.Platform().Wait(time.Minute)
	var kind atomic.Value
	log := &endless.Log{}
	kind.Store(endless.StatusLine)
	l, err := net.Listen("tcp", d.PlatformAddr())
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = kind.Load().(endless.Answer).Send(w, http.Header{}, log)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, k := range endless.Answers {
		t.Run(string(k), func(t *testing.T) {
			kind.Store(k)
			before := len(log.Sent())
			playBeside(ctx, t, d, func() { time.Sleep(2 * time.Second) })
			require.Eventually(t, func() bool { return len(log.Sent()) > before }, waitLimit, pollEvery, "connections that are closed")
			for _, s := range log.Sent()[before:] {
				assert.True(t, s.Closed, "the connection is closed")
				assert.LessOrEqual(t, s.Took, endlessAnswerTime, "time until a connection is closed")
			}
		})
	}
}
