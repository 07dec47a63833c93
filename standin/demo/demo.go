package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// demo is the running deployment.
type demo struct {
	opts     options
	fleet    fleet.Fleet
	places   []place
	zones    map[string]int
	mu       sync.Mutex
	nodes    map[string]*process
	backends map[string]*process
	others   []*process
}

func newDemo(opts options) (*demo, error) {
	if err := os.RemoveAll(opts.Out); err != nil {
		return nil, err
	}
	for _, dir := range []string{"settings", "logs", "ledger"} {
		if err := os.MkdirAll(filepath.Join(opts.Out, dir), 0o755); err != nil {
			return nil, err
		}
	}
	d := &demo{opts: opts, fleet: declared(), nodes: map[string]*process{}, backends: map[string]*process{}}
	d.places, d.zones = plan(d.fleet)
	return d, nil
}

func (d *demo) bin(name string) string { return filepath.Join(d.opts.Bin, name) }

func (d *demo) spawn(name, program string, args ...string) (*process, error) {
	return startProcess(filepath.Join(d.opts.Out, "logs"), name, d.bin(program), d.writeTable, args...)
}

func (d *demo) start(ctx context.Context) error {
	p, err := d.spawn("platform", "standin-platform", "--listen", platformAddr)
	if err != nil {
		return err
	}
	d.others = append(d.others, p)
	if err := d.startRelays(); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for _, p := range d.places {
		if err := d.startVM(p); err != nil {
			return err
		}
	}
	d.writeTable()
	return nil
}

func (d *demo) startRelays() error {
	for _, z := range d.fleet.Zones {
		file := filepath.Join(d.opts.Out, "settings", "relay-"+z.Name+".json")
		text, err := json.Marshal(routes(d.fleet, d.places, d.zones, z.Name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return err
		}
		admin := fmt.Sprintf("127.10.0.%d:8600", 1+d.zones[z.Name])
		p, err := d.spawn("relay-"+z.Name, "standin-relay", "--routes", file, "--admin", admin)
		if err != nil {
			return err
		}
		d.others = append(d.others, p)
	}
	return nil
}

// publish puts the configuration and the VM list on the platform stand-in:
// documents first, the index last.
func (d *demo) publish(ctx context.Context) error {
	pub, err := d.fleet.Print()
	if err != nil {
		return err
	}
	type row struct {
		Name  string            `json:"name"`
		IP    string            `json:"ip"`
		State string            `json:"state"`
		Seen  map[string]string `json:"seen"`
	}
	var rows []row
	for _, p := range d.places {
		seen := map[string]string{}
		for zone, no := range d.zones {
			seen[zone] = p.seenFrom(no)
		}
		rows = append(rows, row{p.vm, p.ip(), "live", seen})
	}
	list, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	if err := put(ctx, "/admin/vms", list); err != nil {
		return err
	}
	for _, doc := range append(pub.Services, pub.Index) {
		if err := put(ctx, "/admin/values/"+doc.Key, doc.Text); err != nil {
			return err
		}
	}
	return nil
}

// put sends a value to the platform stand-in, which may still be starting.
func put(ctx context.Context, path string, text []byte) error {
	const tries, pause = 50, 100 * time.Millisecond
	var last error
	for range tries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platformAddr+path, bytes.NewReader(text))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			return nil
		}
		last = err
		time.Sleep(pause)
	}
	return last
}

func (d *demo) startVM(p place) error {
	ledger := filepath.Join(d.opts.Out, "ledger", p.vm+".ndjson")
	backend, err := d.spawn(p.vm+"-backend", "standin-backend", "--listen", p.backend(), "--name", p.vm,
		"--slots", strconv.Itoa(p.slots), "--service-ms", fmt.Sprint(d.opts.ServiceMs),
		"--ledger", ledger, "--entry", p.callers())
	if err != nil {
		return err
	}
	d.backends[p.vm] = backend
	file := filepath.Join(d.opts.Out, "settings", p.vm+".ini")
	if err := os.WriteFile(file, []byte(settings(d.fleet, p, d.seeds(p))), 0o644); err != nil {
		return err
	}
	node, err := d.spawn(p.vm, "limpetdockd", "--settings", file)
	if err != nil {
		return err
	}
	d.nodes[p.vm] = node
	return nil
}

// seeds are control addresses of a few other VMs, for when the VM list is down.
func (d *demo) seeds(self place) string {
	const count = 3
	var list []string
	for i := range d.places {
		p := d.places[(i*7+self.no*5)%len(d.places)]
		if p.vm != self.vm && len(list) < count {
			list = append(list, fmt.Sprintf("%s:%d", p.seenFrom(self.zoneNo), d.fleet.Ports.Control))
		}
	}
	return strings.Join(list, ", ")
}

// writeTable writes nodes.tsv, whole or not at all.
func (d *demo) writeTable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.nodes) < len(d.places) {
		return
	}
	var b strings.Builder
	b.WriteString("vm\tservice\tregion\tzone\tcaller address\tadmin address\tnode pid\tbackend pid\n")
	for _, p := range d.places {
		fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", p.vm, p.service, p.region, p.zone,
			p.callers(), p.admin(), d.nodes[p.vm].pid(), d.backends[p.vm].pid())
	}
	file := filepath.Join(d.opts.Out, "nodes.tsv")
	if os.WriteFile(file+".new", []byte(b.String()), 0o644) == nil {
		_ = os.Rename(file+".new", file)
	}
}

// readyLimit bounds the start of the whole deployment.
const readyLimit = time.Minute

// waitReady waits until every node answers a request to each service.
func (d *demo) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyLimit)
	for _, p := range d.places {
		for _, s := range d.fleet.Services {
			for !answers(ctx, p, s.Name) {
				if time.Now().After(end) || ctx.Err() != nil {
					return errors.New(p.vm + " doesn't answer for " + s.Name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func answers(ctx context.Context, p place, service string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callers()+"/ready", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Limpetdock-Service", service)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the nodes first, so that what is in flight can finish.
func (d *demo) stop() {
	const limit = 20 * time.Second
	for _, p := range d.nodes {
		p.end(syscall.SIGTERM)
	}
	for _, p := range d.nodes {
		p.wait(limit)
	}
	for _, p := range d.backends {
		d.others = append(d.others, p)
	}
	for _, p := range d.others {
		p.end(os.Kill)
	}
	for _, p := range d.others {
		p.wait(limit)
	}
}
