package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// LinkFault is a fault of the links from zone From to zone To; both are names
// or patterns as in path.Match. The type fault in standin/relay documents the
// effect of each field.
type LinkFault struct {
	From         string  `json:"from"`
	To           string  `json:"to"`
	Cut          bool    `json:"cut,omitempty"`
	Drop         bool    `json:"drop,omitempty"`
	Silence      bool    `json:"silence,omitempty"`
	BytesPerSec  int     `json:"bytes_per_sec,omitempty"`
	ExtraDelayMs float64 `json:"extra_delay_ms,omitempty"`
	Hold         bool    `json:"hold,omitempty"`
	HoldAfter    int     `json:"hold_after,omitempty"`
	Port         string  `json:"port,omitempty"`
}

// PlatformFault is a fault of the platform as seen by the readers of a zone.
type PlatformFault struct {
	Down    bool `json:"down,omitempty"`
	DelayMs int  `json:"delay_ms,omitempty"`
	// FrozenAt makes the platform serve its state as of an earlier version; 0
	// serves the current state.
	FrozenAt uint64 `json:"frozen_at,omitempty"`
}

// SetLinkFaults replaces the faults of all links. Without arguments it removes
// all faults.
func (d *Deployment) SetLinkFaults(ctx context.Context, faults ...LinkFault) error {
	if faults == nil {
		faults = []LinkFault{}
	}
	for _, no := range d.zones {
		if err := SetRelayFaults(ctx, d.net.relayAdmin(no), faults); err != nil {
			return err
		}
	}
	return nil
}

// SetRelayFaults replaces the faults of the links of one relay. It retries while
// the relay starts.
func SetRelayFaults(ctx context.Context, admin string, faults []LinkFault) error {
	return put(ctx, "http://"+admin+"/faults", faults)
}

// SetPlatformFault sets the fault of the platform for one zone.
func (d *Deployment) SetPlatformFault(ctx context.Context, zone string, f PlatformFault) error {
	return put(ctx, d.platformURL("/admin/faults/"+zone), f)
}

// HeldTargets returns the guard or control addresses of the connections on which
// the relay of a zone currently holds bytes, in either direction.
func (d *Deployment) HeldTargets(ctx context.Context, zone string) ([]string, error) {
	var held []string
	err := Get(ctx, "http://"+d.net.relayAdmin(d.zones[zone])+"/held", &held)
	return held, err
}

// Release resumes the given requests held by a VM's backend server stand-in.
func (d *Deployment) Release(ctx context.Context, vm string, ids ...string) error {
	for _, p := range d.VMs {
		if p.Name == vm {
			return put(ctx, "http://"+p.Backend()+"/-/release", ids)
		}
	}
	return fmt.Errorf("no VM %s", vm)
}

// PlatformState holds the version and the call counters of the platform stand-in.
type PlatformState struct {
	Version uint64            `json:"version"`
	Calls   map[string]uint64 `json:"calls"`
}

// PlatformState reads the platform's version and its calls by zone.
func (d *Deployment) PlatformState(ctx context.Context) (PlatformState, error) {
	var s PlatformState
	err := Get(ctx, d.platformURL("/admin/state"), &s)
	return s, err
}

// LinkBytes is the number of bytes relayed from one zone to another.
type LinkBytes struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"`
}

// Bytes returns the bytes forwarded by all relays so far. A link has a row for
// each of its two relays: a connection is counted by the relay in the zone that
// opened it.
func (d *Deployment) Bytes(ctx context.Context) ([]LinkBytes, error) {
	var all []LinkBytes
	for _, no := range d.zones {
		var rows []LinkBytes
		if err := Get(ctx, "http://"+d.net.relayAdmin(no)+"/bytes", &rows); err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// Get fetches url and decodes the JSON response into value.
func Get(ctx context.Context, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(value)
}

// SetBackend changes the behaviour of a VM's backend server stand-in. The keys
// are the JSON fields of behaviour in standin/backend; other fields are kept.
func (d *Deployment) SetBackend(ctx context.Context, vm string, behaviour map[string]any) error {
	for _, p := range d.VMs {
		if p.Name == vm {
			return put(ctx, "http://"+p.Backend()+"/-/set", behaviour)
		}
	}
	return fmt.Errorf("no VM %s", vm)
}

// Publish publishes a configuration: the documents first, then the index.
func (d *Deployment) Publish(ctx context.Context, f fleet.Fleet) error {
	pub, err := f.Print()
	if err != nil {
		return err
	}
	for _, doc := range append(pub.Services, pub.Index) {
		if err := d.PublishValue(ctx, doc.Key, doc.Text); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet = f.WithDefaults()
	return nil
}

// PublishValue publishes one value on the platform without validating it.
func (d *Deployment) PublishValue(ctx context.Context, key string, text []byte) error {
	return put(ctx, d.platformURL("/admin/values/"+key), text)
}

// SetVM sets the state of a VM in the platform's list: "live", "leaving", or
// "" to remove it from the list.
func (d *Deployment) SetVM(ctx context.Context, vm, state string) error {
	d.mu.Lock()
	d.vmStates[vm] = state
	d.mu.Unlock()
	return d.PublishVMs(ctx)
}

// PublishVMs publishes the VM list.
func (d *Deployment) PublishVMs(ctx context.Context) error {
	type row struct {
		Name  string            `json:"name"`
		IP    string            `json:"ip"`
		State string            `json:"state"`
		Seen  map[string]string `json:"seen"`
	}
	// Concurrent updates must reach the platform in order.
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	rows := []row{}
	for _, p := range d.VMs {
		state, set := d.vmStates[p.Name]
		if !set {
			state = "live"
		}
		if state == "" {
			continue
		}
		seen := map[string]string{}
		for zone, no := range d.zones {
			seen[zone] = p.addressFrom(no)
		}
		rows = append(rows, row{p.Name, p.IP(), state, seen})
	}
	d.mu.Unlock()
	return put(ctx, d.platformURL("/admin/vms"), rows)
}

func (d *Deployment) platformURL(path string) string { return "http://" + d.net.platform() + path }

// put sends a value to a stand-in, as JSON unless it is a byte slice. It retries
// because the stand-in may still be starting.
func put(ctx context.Context, url string, value any) error {
	const tries, pause = 50, 100 * time.Millisecond
	text, raw := value.([]byte)
	if !raw {
		var err error
		if text, err = json.Marshal(value); err != nil {
			return err
		}
	}
	var last error
	for range tries {
		if last = putOnce(ctx, url, text); last == nil || ctx.Err() != nil {
			return last
		}
		time.Sleep(pause)
	}
	return last
}

func putOnce(ctx context.Context, url string, text []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	message, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(message)))
	}
	return nil
}

// FreeNet reserves a network that no other deployment on this machine uses. The
// caller must call release to free it.
func FreeNet() (octet int, release func(), err error) {
	const first, last = 30, 250
	for n := first; n <= last; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:1", n))
		if err == nil {
			return n, func() { _ = l.Close() }, nil
		}
	}
	return 0, nil, fmt.Errorf("no free network from 127.%d to 127.%d", first, last)
}
