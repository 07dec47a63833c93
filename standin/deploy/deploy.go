// Package deploy starts a complete deployment of real processes on loopback
// addresses: nodes, backend server stand-ins, the platform stand-in, and a relay
// for each availability zone. The demo, the experiments and the tests that need
// real processes use it. It is not part of a release.
package deploy

import (
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

// Options configure a deployment.
type Options struct {
	// Bin is the directory of the built programs. Settings, logs, ledgers and
	// nodes.tsv are written to Out.
	Bin, Out string
	// Net is the second octet of all addresses, 2 to 254; see FreeNet.
	Net int
	// Fleet is the configuration to deploy; defaults are filled in.
	Fleet fleet.Fleet
	// ServiceMs is the initial service time of the backend servers.
	ServiceMs float64
	// NodeEnv lists NAME=value pairs added to the environment of the nodes.
	NodeEnv []string
	// NoRestart disables the restart of processes that exit on their own.
	NoRestart bool
}

// Deployment is a running deployment. Its methods are safe for concurrent use
// once Start has returned.
type Deployment struct {
	VMs      []VM
	opts     Options
	net      network
	mu       sync.Mutex
	fleet    fleet.Fleet
	zones    map[string]int
	nodes    map[string]*Process
	backends map[string]*Process
	relays   map[string]*Process
	platform *Process
	vmStates map[string]string
	// publishing serializes updates of the VM list on the platform.
	publishing sync.Mutex
}

// New plans a deployment and clears its output directory.
func New(opts Options) (*Deployment, error) {
	if err := os.RemoveAll(opts.Out); err != nil {
		return nil, err
	}
	for _, dir := range []string{"settings", "logs", "ledger"} {
		if err := os.MkdirAll(filepath.Join(opts.Out, dir), 0o755); err != nil {
			return nil, err
		}
	}
	d := &Deployment{
		opts: opts, net: network(opts.Net), fleet: opts.Fleet.WithDefaults(),
		nodes: map[string]*Process{}, backends: map[string]*Process{}, relays: map[string]*Process{},
		vmStates: map[string]string{},
	}
	d.VMs, d.zones = plan(d.net, d.fleet)
	return d, nil
}

// Fleet returns the configuration that was published last.
func (d *Deployment) Fleet() fleet.Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet
}

// Node returns the node of a VM.
func (d *Deployment) Node(vm string) *Process { return d.nodes[vm] }

// Backend returns the backend server stand-in of a VM.
func (d *Deployment) Backend(vm string) *Process { return d.backends[vm] }

// PlatformAddr returns the address of the platform.
func (d *Deployment) PlatformAddr() string { return d.net.platform() }

// Platform returns the platform stand-in.
func (d *Deployment) Platform() *Process { return d.platform }

// Ledger returns the path of the file in which a VM's backend server stand-in
// records its runs.
func (d *Deployment) Ledger(vm string) string {
	return filepath.Join(d.opts.Out, "ledger", vm+".ndjson")
}

const nodeProgram = "limpetdockd"

func (d *Deployment) spawn(name, program string, args ...string) (*Process, error) {
	logs := filepath.Join(d.opts.Out, "logs")
	var env []string
	if program == nodeProgram {
		env = d.opts.NodeEnv
	}
	return StartProcess(logs, name, filepath.Join(d.opts.Bin, program), env, !d.opts.NoRestart, d.writeTable, args...)
}

// Start starts every process and publishes the configuration.
func (d *Deployment) Start(ctx context.Context) error {
	var err error
	if d.platform, err = d.spawn("platform", "standin-platform", "--listen", d.net.platform()); err != nil {
		return err
	}
	if err := d.startRelays(); err != nil {
		return err
	}
	if err := d.PublishVMs(ctx); err != nil {
		return err
	}
	if err := d.Publish(ctx, d.fleet); err != nil {
		return err
	}
	for _, p := range d.VMs {
		if err := d.startVM(p); err != nil {
			return err
		}
	}
	d.writeTable()
	return nil
}

func (d *Deployment) startRelays() error {
	for _, z := range d.fleet.Zones {
		file := filepath.Join(d.opts.Out, "settings", "relay-"+z.Name+".json")
		text, err := json.Marshal(routes(d.fleet, d.VMs, d.zones, z.Name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return err
		}
		admin := d.net.relayAdmin(d.zones[z.Name])
		p, err := d.spawn("relay-"+z.Name, "standin-relay", "--routes", file, "--admin", admin)
		if err != nil {
			return err
		}
		d.relays[z.Name] = p
	}
	return nil
}

func (d *Deployment) startVM(p VM) error {
	backend, err := d.spawn(p.Name+"-backend", "standin-backend", "--listen", p.Backend(), "--name", p.Name,
		"--slots", strconv.Itoa(p.Slots), "--service-ms", fmt.Sprint(d.opts.ServiceMs),
		"--ledger", d.Ledger(p.Name), "--entry", p.Callers())
	if err != nil {
		return err
	}
	file := filepath.Join(d.opts.Out, "settings", p.Name+".ini")
	if err := os.WriteFile(file, []byte(settings(d.fleet, p, d.seeds(p))), 0o644); err != nil {
		return err
	}
	node, err := d.spawn(p.Name, nodeProgram, "--settings", file)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backends[p.Name], d.nodes[p.Name] = backend, node
	return nil
}

// seeds returns control addresses of a few other VMs, for use when the VM list
// is unavailable.
func (d *Deployment) seeds(self VM) string {
	const count, step = 3, 7
	var list []string
	for i := range d.VMs {
		p := d.VMs[(i*step+self.index*5)%len(d.VMs)]
		if p.Name != self.Name && len(list) < count {
			list = append(list, fmt.Sprintf("%s:%d", p.addressFrom(self.zoneNo), d.fleet.Ports.Control))
		}
	}
	return strings.Join(list, ", ")
}

// writeTable replaces nodes.tsv atomically. It does nothing until all nodes
// have been started.
func (d *Deployment) writeTable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.nodes) < len(d.VMs) {
		return
	}
	var b strings.Builder
	b.WriteString("vm\tservice\tregion\tzone\tcaller address\tadmin address\tnode pid\tbackend pid\n")
	for _, p := range d.VMs {
		fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", p.Name, p.Service, p.Region, p.Zone,
			p.Callers(), p.Admin(), d.nodes[p.Name].Pid(), d.backends[p.Name].Pid())
	}
	file := filepath.Join(d.opts.Out, "nodes.tsv")
	if os.WriteFile(file+".new", []byte(b.String()), 0o644) == nil {
		_ = os.Rename(file+".new", file)
	}
}

// readyLimit bounds the time until the whole deployment is ready.
const readyLimit = time.Minute

// WaitReady waits until every node answers a request to each service.
func (d *Deployment) WaitReady(ctx context.Context) error {
	end := time.Now().Add(readyLimit)
	for _, p := range d.VMs {
		for _, s := range d.fleet.Services {
			for !answersRequest(ctx, p, s.Name) {
				if time.Now().After(end) || ctx.Err() != nil {
					return errors.New(p.Name + " doesn't answer for " + s.Name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func answersRequest(ctx context.Context, p VM, service string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Callers()+"/ready", nil)
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

// Stop stops the nodes first, so that requests in flight can finish, and then
// kills the other processes.
func (d *Deployment) Stop() {
	const limit = 20 * time.Second
	for _, p := range d.nodes {
		p.End(syscall.SIGTERM)
	}
	for _, p := range d.nodes {
		p.Wait(limit)
	}
	others := []*Process{}
	if d.platform != nil {
		others = append(others, d.platform)
	}
	for _, p := range d.backends {
		others = append(others, p)
	}
	for _, p := range d.relays {
		others = append(others, p)
	}
	for _, p := range others {
		p.End(os.Kill)
	}
	for _, p := range others {
		p.Wait(limit)
	}
}
