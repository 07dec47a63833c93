// Package platform reads and watches what the platform publishes: the
// configuration service's values and the list of VMs. Nothing is ever written.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/progress"
)

// VMState is what the VM list says of a VM.
type VMState string

// The states of VMs in the list.
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

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Value is a value of the configuration service with the service's own version
// of it, which orders watches and says nothing about configuration revisions.
type Value struct {
	Text    []byte
	Version uint64
}

// Client reads the platform. Implementations are safe for concurrent use.
type Client interface {
	// Read gives the value of a key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the key's version differs from after, or a while.
	// It gives the value in either case.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// WatchVMs waits until the VM list's version differs from after, or a
	// while. An after of zero returns at once.
	WatchVMs(ctx context.Context, after uint64) (VMList, error)
}

// Errors of the platform that a caller may want to tell apart.
var (
	ErrNotFound = eris.New("the platform doesn't hold this key")
	ErrTooLarge = eris.New("the platform sent more than a megabyte")
)

const (
	// answerWithin is how long the platform may take to begin its answer, beyond what it
	// was asked to wait.
	answerWithin = 2 * time.Second
	// watchWait is how long the platform may hold a watch open.
	watchWait    = 20 * time.Second
	versionField = "X-Version"
)

// pace is that of an answer which has begun. The whole has no limit in time: how long it
// takes depends on the document's size and on the link.
var pace = progress.Pace{Stall: 2 * time.Second, Rate: 4 << 10}

// HTTP is a Client that speaks to the platform over HTTP.
type HTTP struct {
	base   *url.URL
	client *http.Client
	// Calls counts the calls made, a waiting watch as one.
	Calls atomic.Uint64
}

// NewHTTP returns a client for the platform at base.
func NewHTTP(base *url.URL) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &HTTP{base: base, client: &http.Client{Transport: transport}}
}

// Read gives the value of a key.
func (c *HTTP) Read(ctx context.Context, key string) (Value, error) {
	return c.value(ctx, key, nil, answerWithin)
}

// Watch waits for a version other than after.
func (c *HTTP) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	return c.value(ctx, key, watchQuery(after), watchWait+answerWithin)
}

// WatchVMs waits for a version of the VM list other than after.
func (c *HTTP) WatchVMs(ctx context.Context, after uint64) (VMList, error) {
	var q url.Values
	if after != 0 {
		q = watchQuery(after)
	}
	v, err := c.get(ctx, "/v1/vms", q, watchWait+answerWithin)
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

func (c *HTTP) value(ctx context.Context, key string, q url.Values, within time.Duration) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, q, within)
}

// get reads a path. within is how long its answer may take to begin.
func (c *HTTP) get(ctx context.Context, path string, q url.Values, within time.Duration) (Value, error) {
	ctx, watchdog := progress.Watch(ctx, within)
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
	text, err := io.ReadAll(io.LimitReader(watchdog.Paced(resp.Body, pace), fleet.MaxDocument+1))
	if err != nil {
		return Value{}, eris.Wrap(err, "platform")
	}
	if len(text) > fleet.MaxDocument {
		return Value{}, ErrTooLarge
	}
	// An absent version is 0: watches then return at once, and the caller's pace bounds them.
	version, _ := strconv.ParseUint(resp.Header.Get(versionField), 10, 64)
	return Value{Text: text, Version: version}, nil
}

// Close drops idle connections.
func (c *HTTP) Close() { c.client.CloseIdleConnections() }
