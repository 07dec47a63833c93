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

// Many callers share all nodes and their connections. Each must get the answer
// to its own request. Every request has a random body that its answer repeats, so
// an answer delivered to the wrong caller is detected.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	_, d := startDeployment(t)
	const callers, requestsPerCaller = 50, 200
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	t.Cleanup(client.CloseIdleConnections)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(3, uint64(i)))
			for range requestsPerCaller {
				body := make([]byte, 1+rnd.IntN(20_000))
				for j := range body {
					body[j] = byte(rnd.Uint32())
				}
				p := d.VMs[rnd.IntN(len(d.VMs))]
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

// A caller uploads a large file through one node to another. The file must
// arrive complete, and neither node may buffer it in memory.
func TestLargeUploadIsNotBufferedInMemory(t *testing.T) {
	_, d := startDeployment(t)
	const size = 256 << 20
	const maxMemoryKB = 128 << 10
	body := &generatedBody{remaining: size, sum: sha256.New()}
	req, err := http.NewRequest(http.MethodPut, "http://"+d.VMs[0].Callers()+"/uploads/chart", body)
	require.NoError(t, err)
	req.ContentLength = size
	req.Header.Set(headers.Service, "depot")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(text))
	var received struct {
		Sha256 string `json:"sha256"`
		Size   int64  `json:"size"`
	}
	require.NoError(t, json.Unmarshal(text, &received))
	require.Equal(t, hex.EncodeToString(body.sum.Sum(nil)), received.Sha256)
	require.EqualValues(t, size, received.Size)
	peak := 0
	for _, p := range d.VMs {
		peak = max(peak, peakMemoryKB(t, d.Node(p.Name).Pid()))
	}
	t.Logf("peak memory of any node: %d KB", peak)
	require.Less(t, peak, maxMemoryKB)
}

// generatedBody is a request body that is generated while it is read.
type generatedBody struct {
	remaining int
	sum       hash.Hash
	next      byte
}

func (p *generatedBody) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(b), p.remaining)
	for i := range n {
		p.next = p.next*31 + 7
		b[i] = p.next
	}
	p.remaining -= n
	_, err := p.sum.Write(b[:n])
	return n, err
}

// peakMemoryKB returns the peak resident memory of a process.
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

// Two backend servers are killed, one after the other, while many callers read.
// Their reads must be retried at other targets, and no caller may see a failure.
func TestReadsSucceedWhileBackendServersAreKilled(t *testing.T) {
	ctx, d := startDeployment(t)
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
				p := d.VMs[(i+n)%len(d.VMs)]
				status, k, err := get(ctx, p, uuid.NewString(), fmt.Sprintf("/catalogue/%d", n%50), false)
				sent.Add(1)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
					t.Errorf("a read failed: %d %s %v", status, k, err)
				}
			}
		})
	}
	const readsPerPhase = 1000
	waitForReads := func(n int64) {
		require.Eventually(t, func() bool { return sent.Load() >= n }, waitLimit, pollEvery)
	}
	waitForReads(readsPerPhase)
	require.NoError(t, d.Backend("catalogue-rs-a").Kill())
	waitForReads(3 * readsPerPhase)
	require.NoError(t, d.Backend("catalogue-pr-b").Kill())
	waitForReads(6 * readsPerPhase)
	close(stop)
	wg.Wait()
	t.Logf("%d reads, %d failed", sent.Load(), failed.Load())
}
