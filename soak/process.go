package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// restartPause is the time after which an ended process starts again.
	restartPause = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
)

// process is one daemon that is started again whenever it ends, until stop.
type process struct {
	name, program string
	args          []string
	log           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	held    bool // no restart until release
	starts  int
	ended   chan struct{} // closed when run has ended
}

func startProcess(dir, name, program string, args ...string) *process {
	p := &process{name: name, program: program, args: args, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	go p.run()
	return p
}

func (p *process) run() {
	defer close(p.ended)
	for {
		cmd, err := p.start()
		if err != nil {
			return
		}
		if cmd != nil {
			_ = cmd.Wait() // the outcome does not matter: it is started again
		}
		time.Sleep(restartPause)
	}
}

// start starts the process, or returns nil while it is held. The error ends run.
func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, errors.New("stopped")
	}
	if p.held {
		return nil, nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// Ctrl-C at the terminal reaches only the soak, which then stops its processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd = cmd
	p.starts++
	return cmd, nil
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended already
	}
}

// hold keeps the process from starting again; release lets it.
func (p *process) hold(held bool) {
	p.mu.Lock()
	p.held = held
	p.mu.Unlock()
}

// stop ends the process for good.
func (p *process) stop(graceful bool) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	if graceful {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.ended:
			return
		case <-time.After(stopGrace):
		}
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}
