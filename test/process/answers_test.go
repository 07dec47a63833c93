package process_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// Many callers share all nodes and their connections. Each must get exactly
// the answer to its own request; a mixed-up one would show another's body.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	_, d := start(t)
	const callers, each = 50, 200
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	t.Cleanup(client.CloseIdleConnections)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(3, uint64(i)))
			for range each {
				body := make([]byte, 1+rnd.IntN(20_000))
				for j := range body {
					body[j] = byte(rnd.Uint32())
				}
				p := d.Places[rnd.IntN(len(d.Places))]
				req, err := http.NewRequest(http.MethodPost, "http://"+p.Callers()+"/stock/check", bytes.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				id := uuid.NewString()
				req.Header.Set(headers.Service, "orders")
				req.Header.Set(headers.RequestID, id)
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%d %s %v", resp.StatusCode, got, err)
					return
				}
				if resp.Header.Get(headers.RequestID) != id || !bytes.Equal(got, body) {
					t.Error("not the answer to this request")
					return
				}
			}
		})
	}
	wg.Wait()
}

// A caller uploads a long file through one node to another. It arrives whole,
// and neither node may hold it in memory.
func TestALongUploadNeedsNoMemory(t *testing.T) {
	_, d := start(t)
	const size = 256 << 20
	const maxMemoryKB = 128 << 10
	body := &pattern{left: size, sum: sha256.New()}
	req, err := http.NewRequest(http.MethodPut, "http://"+d.Places[0].Callers()+"/uploads/chart", body)
	require.NoError(t, err)
	req.ContentLength = size
	req.Header.Set(headers.Service, "depot")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(text))
	var arrived struct {
		Sha256 string `json:"sha256"`
		Size   int64  `json:"size"`
	}
	require.NoError(t, json.Unmarshal(text, &arrived))
	require.Equal(t, hex.EncodeToString(body.sum.Sum(nil)), arrived.Sha256)
	require.EqualValues(t, size, arrived.Size)
	most := 0
	for _, p := range d.Places {
		most = max(most, peakMemoryKB(t, d.Node(p.VM).Pid()))
	}
	t.Logf("most memory of any node: %d KB", most)
	require.Less(t, most, maxMemoryKB)
}

// pattern is a body that is made as it is read.
type pattern struct {
	left int
	sum  hash.Hash
	next byte
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := min(len(b), p.left)
	for i := range n {
		p.next = p.next*31 + 7
		b[i] = p.next
	}
	p.left -= n
	_, err := p.sum.Write(b[:n])
	return n, err
}

// peakMemoryKB reads the most memory that a process has held.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	require.True(t, ok)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kb
}

// A backend server's process is killed while many callers read. Its reads go
// to other targets, and no caller sees a failure.
func TestReadsSurviveAKilledBackendServer(t *testing.T) {
	ctx, d := start(t)
	var sent, failed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				p := d.Places[(i+n)%len(d.Places)]
				status, k, err := get(ctx, p, uuid.NewString(), fmt.Sprintf("/catalogue/%d", n%50), false)
				sent.Add(1)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
					t.Errorf("a read failed: %d %s %v", status, k, err)
				}
			}
		})
	}
	const enough = 1000
	until := func(n int64) {
		require.Eventually(t, func() bool { return sent.Load() >= n }, waitLimit, pollEvery)
	}
	until(enough)
	require.NoError(t, d.Backend("catalogue-rs-a").Kill())
	until(3 * enough)
	require.NoError(t, d.Backend("catalogue-pr-b").Kill())
	until(6 * enough)
	close(stop)
	wg.Wait()
	t.Logf("%d reads, %d failed", sent.Load(), failed.Load())
}
