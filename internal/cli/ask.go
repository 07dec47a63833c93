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
	// stallTimeout limits the time until a node begins its answer, and each pause in
	// the answer. The total time isn't limited, because it depends on the size of the
	// answer and the speed of the link.
	stallTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a node's answer.
	maxResponseBytes = 256 << 20
)

// fetch returns the answer of a node's administration API to a GET of path.
func fetch(node, path string) ([]byte, error) {
	if err := checkNodeAddress(node); err != nil {
		return nil, err
	}
	return fetchWith(http.DefaultClient, node, path)
}

func fetchWith(client *http.Client, node, path string) ([]byte, error) {
	ctx, watchdog := progress.Watch(context.Background(), stallTimeout)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, eris.Errorf("%s: %v", node, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Errorf("%s can't be asked: %v", node, rootCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(watchdog.Reader(resp.Body, stallTimeout), maxResponseBytes))
	if err != nil {
		return nil, eris.Errorf("the answer of %s is incomplete", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(node, resp.Status, text)
	}
	return text, nil
}

// checkNodeAddress returns a usage error if node isn't IP:PORT or localhost:PORT. It
// is called before anything is sent to node.
func checkNodeAddress(node string) error {
	host, port, err := net.SplitHostPort(node)
	if err != nil || host != "localhost" && net.ParseIP(host) == nil {
		return usagef("%q is no IP:PORT", node)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return usagef("%q has no port from 1 to 65535", node)
	}
	return nil
}

// rootCause removes the URL that net/http adds to its errors. It unwraps err down to
// a *net.OpError or the innermost error.
func rootCause(err error) error {
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

// responseError returns an error with the node's own error message, or with the HTTP
// status if the answer has none.
func responseError(node, status string, text []byte) error {
	var f admin.Failure
	if json.Unmarshal(text, &f) == nil && f.Message != "" {
		return eris.Errorf("%s: %s", node, f.Message)
	}
	return eris.Errorf("%s answered %s", node, status)
}

// fetchJSON fetches a path of a node and decodes the JSON answer.
func fetchJSON[T any](node, path string) (T, error) {
	var v T
	text, err := fetch(node, path)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, eris.Errorf("%s didn't answer as a node does", node)
	}
	return v, nil
}

// printJSON writes v as indented JSON.
func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
