// Package platform reads and watches the data that the platform publishes: the
// values of the configuration service and the list of VMs. It never writes.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/progress"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/upstream"
)

// VMState is the state of a VM in the VM list.
type VMState string

// States of VMs in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	Name  string  `json:"name"`
	IP    string  `json:"ip"`
	State VMState `json:"state"`
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Value is a value of the configuration service. Version is the service's own
// version of the value. It orders watches and is unrelated to configuration
// revisions.
type Value struct {
	Text    []byte
	Version uint64
}

// Client reads the platform. Implementations are safe for concurrent use.
type Client interface {
	// Read returns the value of a key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the key's version differs from after or the watch times out, and
	// returns the value in either case.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// WatchVMs waits until the VM list's version differs from after or the watch times
	// out. If after is zero it returns at once.
	WatchVMs(ctx context.Context, after uint64) (VMList, error)
}

// Errors of the platform that callers may handle separately.
var (
	ErrNotFound = eris.New("key not found on the platform")
	ErrTooLarge = eris.New("answer of the platform exceeds one megabyte")
)

const (
	// answerTimeout is how long the platform may take to begin its answer, in addition
	// to the time that a watch asks it to wait.
	answerTimeout = 2 * time.Second
	// watchWait is how long the platform may keep a watch open.
	watchWait    = 20 * time.Second
	versionField = "X-Version"
)

// pace is the minimum pace of an answer that has begun. The whole transfer has no
// time limit, since its duration depends on the size of the document and on the
// link.
var pace = progress.Pace{StallTimeout: 2 * time.Second, BytesPerSecond: 4 << 10}

// HTTP is a Client that accesses the platform over HTTP.
type HTTP struct {
	base   *url.URL
	client *http.Client
	// Calls counts the calls made; a pending watch counts as one.
	Calls atomic.Uint64
}

// NewHTTP returns a client for the platform at base.
func NewHTTP(base *url.URL) *HTTP {
	transport := &upstream.Transport{Transport: &http.Transport{
		DialContext: upstream.NewDialContext(&net.Dialer{}), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
		DisableCompression: true, MaxResponseHeaderBytes: readlimit.MaxHead,
	}}
	return &HTTP{base: base, client: &http.Client{Transport: transport}}
}

// Read returns the value of a key.
func (c *HTTP) Read(ctx context.Context, key string) (Value, error) {
	return c.value(ctx, key, nil, answerTimeout)
}

// Watch waits for a version other than after.
func (c *HTTP) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	return c.value(ctx, key, watchQuery(after), watchWait+answerTimeout)
}

// WatchVMs waits for a version of the VM list other than after.
func (c *HTTP) WatchVMs(ctx context.Context, after uint64) (VMList, error) {
	var q url.Values
	if after != 0 {
		q = watchQuery(after)
	}
	v, err := c.get(ctx, "/v1/vms", q, watchWait+answerTimeout)
	if err != nil {
		return VMList{}, err
	}
	var list VMList
	if err := json.Unmarshal(v.Text, &list); err != nil {
		return VMList{}, eris.Wrap(err, "VM list")
	}
	return list, nil
}

func watchQuery(after uint64) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {watchWait.String()}}
}

func (c *HTTP) value(ctx context.Context, key string, q url.Values, timeout time.Duration) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, q, timeout)
}

// get reads a path. timeout is how long the answer may take to begin.
func (c *HTTP) get(ctx context.Context, path string, q url.Values, timeout time.Duration) (Value, error) {
	ctx, watchdog := progress.Watch(ctx, timeout)
	defer watchdog.Stop()
	u := *c.base
	u.Path = strings.TrimSuffix(u.Path, "/") + path
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Value{}, eris.Wrap(err, "platform request")
	}
	c.Calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return Value{}, eris.Wrap(err, "platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return Value{}, ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return Value{}, eris.Errorf("platform answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(watchdog.PacedReader(resp.Body, pace), fleet.MaxDocument+1))
	if err != nil {
		return Value{}, eris.Wrap(err, "platform")
	}
	if len(text) > fleet.MaxDocument {
		return Value{}, ErrTooLarge
	}
	// A missing version is read as 0. Watches then return at once, and the caller's
	// polling interval limits their rate.
	version, _ := strconv.ParseUint(resp.Header.Get(versionField), 10, 64)
	return Value{Text: text, Version: version}, nil
}

// Close closes idle connections.
func (c *HTTP) Close() { c.client.CloseIdleConnections() }
