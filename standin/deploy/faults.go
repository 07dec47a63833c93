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
// or patterns as in path.Match. The relay's page in standin/relay says what each does.
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

// PlatformFault is what is wrong with the platform for the readers of a zone.
type PlatformFault struct {
	Down    bool `json:"down,omitempty"`
	DelayMs int  `json:"delay_ms,omitempty"`
	// FrozenAt shows the platform's state as of an earlier version of its own.
	FrozenAt uint64 `json:"frozen_at,omitempty"`
}

// SetLinks replaces the faults of all links; none given mends them all.
func (d *Deployment) SetLinks(ctx context.Context, faults ...LinkFault) error {
	if faults == nil {
		faults = []LinkFault{}
	}
	for _, no := range d.zones {
		if err := SetRelay(ctx, d.net.relayAdmin(no), faults); err != nil {
			return err
		}
	}
	return nil
}

// SetRelay replaces the faults of the links that one relay carries. It is tried again
// while the relay starts.
func SetRelay(ctx context.Context, admin string, faults []LinkFault) error {
	return put(ctx, "http://"+admin+"/faults", faults)
}

// SetPlatform sets what is wrong with the platform for one zone.
func (d *Deployment) SetPlatform(ctx context.Context, zone string, f PlatformFault) error {
	return put(ctx, d.platformURL("/admin/faults/"+zone), f)
}

// Held lists the guard or control addresses to which the relay of a zone holds
// bytes back now, or of which it holds the answers.
func (d *Deployment) Held(ctx context.Context, zone string) ([]string, error) {
	var held []string
	err := Get(ctx, "http://"+d.net.relayAdmin(d.zones[zone])+"/held", &held)
	return held, err
}

// Release lets the requests go on that a VM's backend server stand-in holds.
func (d *Deployment) Release(ctx context.Context, vm string, ids ...string) error {
	for _, p := range d.Places {
		if p.VM == vm {
			return put(ctx, "http://"+p.Backend()+"/-/release", ids)
		}
	}
	return fmt.Errorf("no VM %s", vm)
}

// PlatformState is what the platform stand-in counts.
type PlatformState struct {
	Version uint64            `json:"version"`
	Calls   map[string]uint64 `json:"calls"`
}

// PlatformState reads the platform's version and its counted calls, by zone.
func (d *Deployment) PlatformState(ctx context.Context) (PlatformState, error) {
	var s PlatformState
	err := Get(ctx, d.platformURL("/admin/state"), &s)
	return s, err
}

// LinkBytes is what went from one zone to another through the relays.
type LinkBytes struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"`
}

// Bytes reads what went through all relays so far. A link has a row for each of
// the two relays that carry it, by who opened the connection.
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

// Get reads a value as JSON from a stand-in.
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

// SetBackend changes the behaviour of a VM's backend server stand-in; keys are
// those of the stand-in's behaviour. What isn't named stays.
func (d *Deployment) SetBackend(ctx context.Context, vm string, behaviour map[string]any) error {
	for _, p := range d.Places {
		if p.VM == vm {
			return put(ctx, "http://"+p.Backend()+"/-/set", behaviour)
		}
	}
	return fmt.Errorf("no VM %s", vm)
}

// Publish publishes a configuration: documents first, the index last.
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

// PublishValue puts one value on the platform, whatever it is.
func (d *Deployment) PublishValue(ctx context.Context, key string, text []byte) error {
	return put(ctx, d.platformURL("/admin/values/"+key), text)
}

// SetVM sets the state of a VM in the platform's list: "live", "leaving", or
// "" to leave it out.
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
	// Two lists must not overtake each other on their way.
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	rows := []row{}
	for _, p := range d.Places {
		state, set := d.vmStates[p.VM]
		if !set {
			state = "live"
		}
		if state == "" {
			continue
		}
		seen := map[string]string{}
		for zone, no := range d.zones {
			seen[zone] = p.seenFrom(no)
		}
		rows = append(rows, row{p.VM, p.IP(), state, seen})
	}
	d.mu.Unlock()
	return put(ctx, d.platformURL("/admin/vms"), rows)
}

func (d *Deployment) platformURL(path string) string { return "http://" + d.net.platform() + path }

// put sends a value, as JSON unless it is bytes, to a stand-in that may still
// be starting.
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
	said, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(said)))
	}
	return nil
}

// FreeNet finds a network that no other deployment on this machine uses, and
// holds it until release is called.
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
