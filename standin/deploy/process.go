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

// Process is a child process of the deployment. A process that exits on its own
// is restarted, as the platform does with the processes of a VM.
type Process struct {
	path     string
	args     []string
	env      []string
	log      *os.File
	restart  bool
	changed  func()
	done     chan struct{}
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
}

// restartPause is the time that the platform takes to restart a process.
const restartPause = time.Second

// StartProcess starts a program and writes its output to a file in logs. If
// restart is set, a program that exits on its own is restarted after a pause,
// and changed is called.
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
	if p.stopping {
		return os.ErrProcessDone
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), p.env...)
	// In its own process group the child doesn't receive ^C; the parent stops
	// all processes in order.
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
		exit := p.stopping || !p.restart
		p.mu.Unlock()
		if exit {
			return
		}
		time.Sleep(restartPause)
		if p.spawn() != nil {
			return
		}
		p.changed()
	}
}

// Pid returns the process id of the child.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal. A process that exits because of it is restarted. The
// signal is ignored if the process has exited and waits for its restart.
func (p *Process) Signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Kill kills the process. It is restarted after a pause.
func (p *Process) Kill() error { return p.Signal(syscall.SIGKILL) }

// Pause suspends the process until Resume, like the pause of a VM.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// End sends a signal that stops the process and disables its restart.
func (p *Process) End(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	_ = p.cmd.Process.Signal(sig)
}

// Wait waits for the exit of a process after End, and kills it if it takes
// longer than limit.
func (p *Process) Wait(limit time.Duration) {
	select {
	case <-p.done:
	case <-time.After(limit):
		p.End(os.Kill)
		<-p.done
	}
	_ = p.log.Close()
}
