package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh/directory"
)

// Environment variables of a node that runs as a child process: its settings file, and a signal
// that it sends to itself while it starts.
const (
	envSettings = "LIMPETDOCK_TEST_SETTINGS"
	envSignal   = "LIMPETDOCK_TEST_SIGNAL"
)

// idleSource is a Source of a store that never answers; its other methods aren't called.
type idleSource struct{ Source }

func (idleSource) Run(ctx context.Context, _ Bootstrap) { <-ctx.Done() }
func (idleSource) Reading() bool                        { return false }
func (idleSource) Revision() uint64                     { return 0 }
func (idleSource) Calls() (made, failed uint64)         { return 0, 0 }
func (idleSource) CallsFor(StoreCause) uint64           { return 0 }

func TestMain(m *testing.M) {
	if path := os.Getenv(envSettings); path != "" {
		os.Exit(runNode(path))
	}
	os.Exit(m.Run())
}

// runNode runs the child process of startNode.
func runNode(path string) int {
	return Main([]string{"--settings", path}, Platform{
		ReadyPath: "/ready",
		Source: func(string, *decision.Log, *directory.Loop, SourceConfig) Source {
			if s, err := strconv.Atoi(os.Getenv(envSignal)); err == nil {
				_ = syscall.Kill(os.Getpid(), syscall.Signal(s))
			}
			return idleSource{}
		},
	})
}

// startNode starts a node that sends itself a signal, unless that is 0, while it starts, and returns
// the address of its readiness check.
func startNode(t *testing.T, self syscall.Signal, stdout io.Writer) (*exec.Cmd, string) {
	var addrs [6]any
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addrs[i] = l.Addr().String()
		defer func() { _ = l.Close() }()
	}
	path := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `[node]
vm = vm-1
ip = 127.0.0.1
zone = z
region = r
service = s
[zones]
z = r
[listen]
ready = %s
callers = %s
peers = %s
admin = %s
[backend]
address = %s
[store]
address = %s
[stop]
grace-seconds = 1
`, addrs[:]...), 0o600))
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), envSettings+"="+path)
	if self != 0 {
		child.Env = append(child.Env, fmt.Sprintf("%s=%d", envSignal, self))
	}
	child.Stdout = stdout
	return child, addrs[0].(string)
}

// Guards against a process that is ended by a signal as it starts, without a stop that answers the
// requests that it has read.
func TestSignalWhileStartingDoesNotKillNode(t *testing.T) {
	for _, self := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(self.String(), func(t *testing.T) {
			var out bytes.Buffer
			child, ready := startNode(t, self, &out)
			require.NoError(t, child.Start())
			ended := make(chan error, 1)
			go func() { ended <- child.Wait() }()
			if self == syscall.SIGHUP {
				terminate(t, child, ready, ended)
			}
			require.NoError(t, <-ended, "%s", &out)
			require.Contains(t, out.String(), `"stopped"`)
		})
	}
}

// terminate stops a node once it has started. It leaves the result of a node that ends before to the
// caller.
func terminate(t *testing.T, child *exec.Cmd, ready string, ended chan error) {
	started := func() bool {
		c, err := net.DialTimeout("tcp", ready, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil || len(ended) > 0
	}
	require.Eventually(t, started, time.Minute, 10*time.Millisecond)
	// A node that has ended already can't be signalled.
	_ = child.Process.Signal(syscall.SIGTERM)
}

// Guards against a process that ends, with the requests that it has read, because the reader of its log
// has ended.
func TestNodeOutlivesReaderOfItsLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	child, ready := startNode(t, 0, writer)
	require.NoError(t, child.Start())
	require.NoError(t, writer.Close())
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	terminate(t, child, ready, ended)
	require.NoError(t, <-ended)
}
