package lab

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held, Broken, CannotRun = 0, 1, 2
)

// Lab is a small deployment.
type Lab struct {
	Root, Dir string
	Record    *Record
	Store     *Store
	Machines  []*Machine
	Zones     [][2]string
	Bounds    Bounds
	Trouble   bool
	prefix    string
}

// DefaultBounds are the bounds of the deployments with 18 machines.
func DefaultBounds() Bounds {
	return Bounds{"retry_budget_ratio": "0.2", "budget_slack": "56", "budget_window_s": "10", "grace_s": "6"}
}

// New prepares a Lab. The environment gives the root of the repository (ROOT), where the record goes (RECORD)
// and whether there is a disruption (TROUBLE).
func New(zones [][2]string) (*Lab, error) {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "limpetdockd")); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	l := &Lab{Root: root, Zones: zones, Bounds: DefaultBounds(), Trouble: os.Getenv("TROUBLE") != "0"}
	if l.Record, err = NewRecord(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if l.prefix, err = Net(); err != nil {
		return nil, err
	}
	if l.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if l.Store, err = StartStore(fmt.Sprintf("%s.250:%d", l.prefix, StorePort), l.Record); err != nil {
		return nil, err
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		l.Close()
		os.Exit(CannotRun)
	}()
	return l, nil
}

// Add adds a machine with a target.
func (l *Lab) Add(zone int, service string, t *Target) *Machine {
	n := len(l.Machines) + 1
	m := &Machine{
		Name: fmt.Sprintf("sidecar-%d", n), IP: fmt.Sprintf("%s.%d", l.prefix, n), Zone: l.Zones[zone][0], Region: l.Zones[zone][1],
		Service: service, TargetID: fmt.Sprintf("i-%08x", 0x2d9e6b40+n), Target: t,
	}
	t.ID, t.Service, t.Addr, t.Record = m.TargetID, service, m.Addr(TargetPort), l.Record
	l.Machines = append(l.Machines, m)
	return m
}

// Start writes the configuration, starts targets and nodes, and waits until all nodes are ready.
func (l *Lab) Start(config string) error {
	l.Store.Put("op/config", []byte(config))
	for _, m := range l.Machines {
		if err := m.Target.Start(); err != nil {
			return err
		}
		l.Store.Put("servers/"+m.TargetID, m.Target.Entry(m.Zone, "ready"))
		if err := m.WriteSettings(l.Root, l.Dir, l.Store.Addr(), l.Zones, l.Bounds); err != nil {
			return err
		}
	}
	return l.StartNodes()
}

// StartNodes starts all nodes and waits until they are ready.
func (l *Lab) StartNodes() error {
	for _, m := range l.Machines {
		if err := m.Start(l.Root, l.Dir); err != nil {
			return err
		}
	}
	until := time.Now().Add(20 * time.Second)
	for _, m := range l.Machines {
		for !m.Ready() {
			if time.Now().After(until) || !m.Running() {
				return fmt.Errorf("node %s isn't ready", m.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.Record.Printf("all %d nodes are ready", len(l.Machines))
	return nil
}

// Close ends all processes and removes temporary files.
func (l *Lab) Close() {
	for _, m := range l.Machines {
		m.Kill()
		m.Target.Stop()
	}
	l.Store.Close()
	l.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.Dir)
	} else {
		fmt.Println("kept", l.Dir)
	}
}
