package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a child that is started again when it ends by itself, as the
// platform does with the processes of a VM.
type process struct {
	name string
	path string
	args []string
	log  *os.File
	mu   sync.Mutex
	cmd  *exec.Cmd
	ends bool
	done chan struct{}
	// changed is called after each start.
	changed func()
}

// restartPause is how long the platform takes to start a process again.
const restartPause = time.Second

func startProcess(logs, name, path string, changed func(), args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, path: path, args: args, log: log, done: make(chan struct{}), changed: changed}
	if err := p.spawn(); err != nil {
		return nil, err
	}
	go p.watch()
	return p, nil
}

func (p *process) spawn() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// A process group of its own keeps ^C for the demo, which stops in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

func (p *process) watch() {
	defer close(p.done)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		_ = cmd.Wait()
		p.mu.Lock()
		ends := p.ends
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

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// end asks the process to stop; it isn't started again.
func (p *process) end(sig os.Signal) {
	p.mu.Lock()
	p.ends = true
	_ = p.cmd.Process.Signal(sig)
	p.mu.Unlock()
}

// wait waits for the end, and kills the process if it doesn't come.
func (p *process) wait(limit time.Duration) {
	select {
	case <-p.done:
	case <-time.After(limit):
		p.end(os.Kill)
		<-p.done
	}
	_ = p.log.Close()
}
