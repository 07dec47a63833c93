package node

import (
	"context"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	waitLimit = time.Minute
	pollEvery = 10 * time.Millisecond
)

// sendAttempt sends an at-most-once attempt to the node's guard, as an entry does.
func (n *testNode) sendAttempt(ctx context.Context, incarnation, tick string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.set.Guard+"/orders/confirm", strings.NewReader("order"))
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		headers.Fleet: "shop", headers.Service: "orders", headers.Attempt: "attempt-1", headers.TimeoutMs: "60000",
		headers.Incarnation: incarnation, headers.Tick: tick,
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return resp, err
}

// Guards against an attempt whose outcome stays unknown because its node stopped
// during the run, after its entry had disconnected. The node must wait for the run
// and answer at its control port until then.
func TestStopWaitsForLastRun(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	begun, release, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	b.answer = func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, err := w.Write([]byte("booked"))
		ended <- err
	}
	refusal, err := n.sendAttempt(t.Context(), "0", "0")
	require.NoError(t, err)
	incarnation, tick := refusal.Header.Get(headers.Incarnation), refusal.Header.Get(headers.Tick)
	require.NotEmpty(t, incarnation, "a refusal reports the incarnation to name")
	entry, disconnect := context.WithCancel(t.Context())
	go func() { _, _ = n.sendAttempt(entry, incarnation, tick) }()
	<-begun
	disconnect()
	stopped := make(chan error, 1)
	go func() { stopped <- n.app.Stop(context.Background()) }()
	require.Eventually(t, func() bool {
		conn, err := http.Get("http://" + n.set.Callers + "/")
		if err == nil {
			_ = conn.Body.Close()
		}
		return err != nil
	}, waitLimit, pollEvery, "the callers' port closes")
	peers := link.NewDialer(wire.Hello{Fleet: "shop", VM: "orders-1"}, &link.Counters{})
	defer peers.Close()
	reply, err := peers.CallNew(t.Context(), n.set.Control, &wire.Seal{Attempt: "none", AskOnly: true})
	require.NoError(t, err, "attempts can be queried during the last run")
	require.IsType(t, &wire.Sealed{}, reply)
	select {
	case <-stopped:
		t.Fatal("stopped while a booking runs")
	default:
	}
	close(release)
	require.NoError(t, <-ended)
	require.NoError(t, <-stopped)
}

var logCall = regexp.MustCompile(`(?i)(?:out\.log|log\.Info|log\.Error)\((?:err, )?"([^"]+)"`)

// Every log message of the program must be listed on the operators' page.
func TestEveryLogMessageIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/logs.md")
	require.NoError(t, err)
	found := 0
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range logCall.FindAllStringSubmatch(string(text), -1) {
			found++
			require.Contains(t, string(page), "| `"+m[1]+"` |", path)
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, found, 10)
}
