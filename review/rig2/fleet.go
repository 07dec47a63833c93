package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The names of the deployment. Its machines are those of the sheet of cestaviva-sul.
const (
	host       = "jepu9.example"
	healthPath = "/healthz"
	catalogue  = "huvo11a"
	booking    = "kafi81c"
	uploads    = "wuno96b"
	// memoryMB is the memory of a machine; a process that exceeds it is killed.
	memoryMB = 284
	// restartDelay is the pause before a process that ended is started again.
	restartDelay = 500 * time.Millisecond
)

// place is where a machine stands.
type place struct{ zone, region, service string }

// machine is a machine with a target and a node.
type machine struct {
	fleet *fleet
	name  string
	place
	ip     string
	target *target
	// app serves the target's address.
	app      io.Closer
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	// peakKB is the largest resident memory seen of the node, and kills how often the platform has
	// killed it because it exceeded its machine's memory.
	peakKB, kills atomic.Int64
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	storeAt  string
	ports    []int
	machines []*machine
	closers  []func()
	done     chan struct{}
	wg       sync.WaitGroup
}

// ports of a machine, in this order.
const (
	portInbound = iota
	portOutbound
	portReady
	portApp
	portAdmin
	portCount
)

// newFleet starts the store, the targets and the nodes.
func newFleet(rec *record, places []place, work map[string]time.Duration) (*fleet, error) {
	dir, err := os.MkdirTemp("", "limpetdock-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: newStore(), done: make(chan struct{})}
	net3 := 16 + os.Getpid()%200
	for range portCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		f.ports = append(f.ports, l.Addr().(*net.TCPAddr).Port)
	}
	if f.storeAt, _, err = f.serve(fmt.Sprintf("127.77.%d.250:0", net3), f.store); err != nil {
		return nil, err
	}
	for i, p := range places {
		m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", p.zone, i), place: p, ip: fmt.Sprintf("127.77.%d.%d", net3, i+1)}
		m.target = &target{id: fmt.Sprintf("i-%04x%d", os.Getpid(), i), service: p.service, slots: 6, rec: rec, work: work}
		if _, m.app, err = f.serve(m.addr(portApp), m.target); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		if err = m.writeSettings(); err != nil {
			return nil, err
		}
		f.register(m)
	}
	return f, nil
}

// serve starts a server of a stand-in.
func (f *fleet) serve(addr string, h http.Handler) (string, io.Closer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, IdleTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), s, nil
}

// replaceApp serves the address of a machine's target by the connection.
func (m *machine) replaceApp(listen func(network, addr string) (net.Listener, error), serve func(net.Conn)) error {
	if err := m.app.Close(); err != nil {
		return err
	}
	l, err := listen("tcp", m.addr(portApp))
	if err != nil {
		return err
	}
	m.fleet.closers = append(m.fleet.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return nil
}

// register writes the registration of a machine's target.
func (f *fleet) register(m *machine) {
	f.store.put("servers/"+m.target.id, map[string]any{
		"service": m.service, "address": m.addr(portApp), "zone": m.zone, "version": "v1", "slots": m.target.slots,
		"state": "ready", "cold_remaining_s": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (m *machine) addr(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.fleet.ports[port]))
}

// writeSettings fills in deploy/node.ini as the platform does.
func (m *machine) writeSettings() error {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(template), "{{#zones}}")
	section, after, ok2 := strings.Cut(rest, "{{/zones}}")
	if !ok || !ok2 {
		return errors.New("deploy/node.ini has no section of zones")
	}
	text := before
	for _, other := range [][2]string{{"rs-poa", "rs"}, {"sc-fln", "sc"}, {"pr-cwb", "pr"}} {
		text += strings.NewReplacer("{{@}}", other[0], "{{.}}", other[1]).Replace(section)
	}
	text = strings.NewReplacer(
		"{{node_name}}", m.name, "{{ip}}", m.ip, "{{zone}}", m.zone, "{{region}}", m.region, "{{service}}", m.service,
		"{{listen.outbound}}", m.addr(portOutbound), "{{listen.inbound}}", m.addr(portInbound), "{{listen.ready}}", m.addr(portReady),
		"{{ip}}:9464", m.addr(portAdmin), "{{app_addr}}", m.addr(portApp), "{{platform.address}}", m.fleet.storeAt, "{{heartbeat_s}}", "1.5",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "56", "{{bounds.budget_window_s}}", "10",
		"{{bounds.cold_over}}", "", "{{bounds.cold_slack}}", "", "{{limits.link_mbps}}", "1000.0", "{{bounds.grace_s}}", "6",
	).Replace(text + after)
	// The port of the template's admin address may be in use.
	text = strings.ReplaceAll(text, m.ip+":9464", m.addr(portAdmin))
	m.settings = filepath.Join(m.fleet.dir, m.name+".ini")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the nodes by the command of the deploy file, and restarts those that end.
func (f *fleet) start() {
	for _, m := range f.machines {
		f.wg.Go(m.supervise)
	}
}

func (m *machine) supervise() {
	// The signal at the parent's death is sent when the thread ends that started the process.
	runtime.LockOSThread()
	for {
		cmd := exec.Command("target/limpetdockd", "mesh", "--settings", m.settings)
		cmd.Env = append(os.Environ(), "LIMPETDOCK_NODE_FILE="+m.settings)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			cmd.Stdout, cmd.Stderr = log, log
		}
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			return
		}
		err = cmd.Start()
		m.cmd = cmd
		m.mu.Unlock()
		if err != nil {
			m.fleet.rec.say("cannot start %s: %v", m.name, err)
			return
		}
		ended := make(chan struct{})
		go m.boundMemory(cmd.Process.Pid, ended)
		err = cmd.Wait()
		close(ended)
		_ = log.Close()
		select {
		case <-m.fleet.done:
			return
		case <-time.After(restartDelay):
			m.fleet.rec.say("%s ended (%v) and is started again", m.name, err)
		}
	}
}

// boundMemory kills the process once its resident memory exceeds that of the machine.
func (m *machine) boundMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		kb := residentKB(pid)
		if kb > m.peakKB.Load() {
			m.peakKB.Store(kb)
		}
		if kb > memoryMB<<10 {
			m.kills.Add(1)
			m.fleet.rec.say("%s has %d MB of %d and is killed", m.name, kb>>10, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentKB returns the resident memory of a process, without the pages of files.
func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize()) >> 10
}

// signal sends a signal to a machine's node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			resp, err := http.Get("http://" + m.addr(portReady) + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(f.machines))
		}
	}
}

// close ends everything that was started.
func (f *fleet) close() {
	close(f.done)
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
	}
	f.wg.Wait()
	for _, stop := range f.closers {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// route is a route of the configuration.
type route map[string]any

// configure writes a configuration. The limits are those of the platform's example.
func (f *fleet) configure(version int, routes ...route) {
	services := []map[string]any{}
	for _, name := range []string{catalogue, booking, uploads} {
		services = append(services, map[string]any{"name": name, "health_path": healthPath, "max_connections": 220, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": services,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"virtual_hosts": []map[string]any{{"host": host, "paths": routes}},
	})
	f.store.put("op/config", text)
}

// The routes of the stand-in deployment, with the times of the sheet.
var (
	catalogueRoute = route{"name": "r-zs989an", "prefix": "/lepu270/", "kind": "idempotent", "timeout_s": 2, "aim_s": 0.3, "priority": 2, "service": catalogue, "max_attempts": 2}
	bookingRoute   = route{"name": "r-u6wsjnb", "prefix": "/xapu221/ny95/", "kind": "non_idempotent", "timeout_s": 2.5, "aim_s": 0.4, "priority": 1, "service": booking, "max_attempts": 2}
	uploadRoute    = route{"name": "r-m3k1pqo", "prefix": "/fiti832/ti23/", "kind": "upload", "timeout_s": 2.5, "aim_s": 0.4, "priority": 1, "service": uploads, "max_attempts": 2}
)

// startCase starts a deployment whose targets work for 120 ms on a request, and waits until it is settled.
func startCase(rec *record, places []place) (*fleet, error) {
	f, err := newFleet(rec, places, map[string]time.Duration{"": 120 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	f.configure(7, catalogueRoute, bookingRoute, uploadRoute)
	f.start()
	if err := f.awaitReady(20 * time.Second); err != nil {
		f.close()
		return nil, err
	}
	// The bounds hold for machines that have run for stable_window_s.
	time.Sleep(4 * time.Second)
	return f, nil
}
