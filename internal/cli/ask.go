package cli

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/progress"
)

const (
	// askTimeout is how long a node may take to begin its answer, and how long the answer
	// may stand still. The whole takes as long as its size and the link need.
	askTimeout = 5 * time.Second
	// maxReply bounds what a node may answer, in bytes.
	maxReply = 256 << 20
)

// ask reads a path of a node's administration API.
func ask(node, path string) ([]byte, error) {
	if err := checkNode(node); err != nil {
		return nil, err
	}
	return askOver(http.DefaultClient, node, path)
}

func askOver(client *http.Client, node, path string) ([]byte, error) {
	ctx, watchdog := progress.Watch(context.Background(), askTimeout)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, eris.Errorf("%s: %v", node, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Errorf("%s can't be asked: %v", node, cause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(watchdog.Reader(resp.Body, askTimeout), maxReply))
	if err != nil {
		return nil, eris.Errorf("%s broke off its answer", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(node, resp.Status, text)
	}
	return text, nil
}

// checkNode refuses what is no address, before anything is sent to it.
func checkNode(node string) error {
	host, port, err := net.SplitHostPort(node)
	if err != nil || host != "localhost" && net.ParseIP(host) == nil {
		return usagef("%q is no IP:PORT", node)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return usagef("%q has no port from 1 to 65535", node)
	}
	return nil
}

// cause strips the URL that net/http puts before its errors.
func cause(err error) error {
	for {
		inner, ok := err.(interface{ Unwrap() error })
		if !ok || inner.Unwrap() == nil {
			return err
		}
		if _, ok := err.(*net.OpError); ok {
			return err
		}
		err = inner.Unwrap()
	}
}

// refusal gives a node's own word where it gave one.
func refusal(node, status string, text []byte) error {
	var f admin.Failure
	if json.Unmarshal(text, &f) == nil && f.Message != "" {
		return eris.Errorf("%s: %s", node, f.Message)
	}
	return eris.Errorf("%s answered %s", node, status)
}

// askFor reads a path and decodes the answer.
func askFor[T any](node, path string) (T, error) {
	var v T
	text, err := ask(node, path)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, eris.Errorf("%s didn't answer as a node does", node)
	}
	return v, nil
}

// printJSON writes a value for scripts.
func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
