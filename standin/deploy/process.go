package deploy

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a child of the deployment. One that ends by itself is started
// again, as the platform does with the processes of a VM.
type Process struct {
	path    string
	args    []string
	env     []string
	log     *os.File
	restart bool
	changed func()
	done    chan struct{}
	mu      sync.Mutex
	cmd     *exec.Cmd
	ends    bool
}

// restartPause is how long the platform takes to start a process again.
const restartPause = time.Second

// StartProcess starts a program whose output goes to a file in logs. One that ends by
// itself is started again after a pause if restart is set, and changed is called.
func StartProcess(logs, name, path string, env []string, restart bool, changed func(), args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{path: path, args: args, env: env, log: log, restart: restart, changed: changed, done: make(chan struct{})}
	if err := p.spawn(); err != nil {
		return nil, err
	}
	go p.watch()
	return p, nil
}

func (p *Process) spawn() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ends {
		return os.ErrProcessDone
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), p.env...)
	// A process group of its own keeps ^C for the starter, which stops in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

func (p *Process) watch() {
	defer close(p.done)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		_ = cmd.Wait()
		p.mu.Lock()
		ends := p.ends || !p.restart
		p.mu.Unlock()
		if ends {
			return
		}
		time.Sleep(restartPause)
		if p.spawn() != nil {
			return
		}
		p.changed()
	}
}

// Pid gives the process id of the running child.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal; a process that ends of it is started again. One that
// has ended already and waits to be started takes none.
func (p *Process) Signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Kill ends the process at once; it is started again after a pause.
func (p *Process) Kill() error { return p.Signal(syscall.SIGKILL) }

// Freeze stops the process until Thaw, as a paused VM would.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// End asks the process to stop; it isn't started again.
func (p *Process) End(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = true
	_ = p.cmd.Process.Signal(sig)
}

// Wait waits for the end of a process that was told to, and kills it if it
// takes longer than limit.
func (p *Process) Wait(limit time.Duration) {
	select {
	case <-p.done:
	case <-time.After(limit):
		p.End(os.Kill)
		<-p.done
	}
	_ = p.log.Close()
}
