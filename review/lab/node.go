package lab

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// The ports of a machine. They are the same on all machines.
const (
	InboundPort, TargetPort, ReadyPort, OutboundPort, StorePort = 8300, 8301, 8302, 8304, 8309
)

// Machine is a machine of the deployment: a node and the target beside it.
type Machine struct {
	Name, IP, Zone, Region, Service string
	// TargetID is the id of the target in the store.
	TargetID string
	Target   *Target

	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// Addr returns an address of the machine.
func (m *Machine) Addr(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Bounds are the bounds of the deployment, as the settings hold them.
type Bounds map[string]string

// Net chooses an unused range of loopback addresses and returns its first three bytes.
func Net() (string, error) {
	for n := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n*7)%200, 1+(os.Getpid()/200+n)%250)
		free := true
		for _, host := range []string{"1", "9"} {
			for _, port := range []int{InboundPort, TargetPort, ReadyPort, OutboundPort, StorePort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

var section = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)

// fill fills in the template of a node's settings as the platform does, as far as the template needs it.
func fill(template string, values map[string]string, zones [][2]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		inner := section.FindStringSubmatch(s)[1]
		out := ""
		for _, z := range zones {
			out += strings.NewReplacer("{{@}}", z[0], "{{.}}", z[1]).Replace(inner)
		}
		return out
	})
	return regexp.MustCompile(`\{\{([a-z_.]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// WriteSettings writes the node's settings file into dir. root is the root of the repository.
func (m *Machine) WriteSettings(root, dir, store string, zones [][2]string, bounds Bounds) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.ini"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": m.Name, "ip": m.IP, "zone": m.Zone, "region": m.Region, "service": m.Service,
		"listen.outbound": m.Addr(OutboundPort), "listen.inbound": m.Addr(InboundPort), "listen.ready": m.Addr(ReadyPort),
		"app_addr": m.Addr(TargetPort), "platform.address": store, "limits.link_mbps": "1000.0",
	}
	for name, v := range bounds {
		values["bounds."+name] = v
	}
	m.settings = filepath.Join(dir, m.Name+".ini")
	return os.WriteFile(m.settings, []byte(fill(string(template), values, zones)), 0o600)
}

// Start starts the node with the command of the deploy file. Its log goes to a file in dir.
func (m *Machine) Start(root, dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join("target", "limpetdockd"), "mesh", "--settings", m.settings)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = root, log, log
	// Relative to root, where the program starts.
	m.cmd.Path = filepath.Join(root, "target", "limpetdockd")
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := m.cmd, make(chan struct{})
	m.ended = ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Running reports whether the node's process runs.
func (m *Machine) Running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the node.
func (m *Machine) Signal(s os.Signal) error { return m.cmd.Process.Signal(s) }

// Kill ends the node's process.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// Ended returns a channel that is closed once the node's process has ended.
func (m *Machine) Ended() <-chan struct{} { return m.ended }

// Ready reports whether the node says that it is ready.
func (m *Machine) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Addr(ReadyPort)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
