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
	// restartPause is the delay before a process that has ended is restarted.
	restartPause = 300 * time.Millisecond
	// stopGrace is how long a process may take to end after SIGTERM before it is killed.
	stopGrace = 6 * time.Second
)

// process is a daemon process that is restarted whenever it ends, until stop is called.
type process struct {
	name, program string
	args          []string
	log           string

	mu              sync.Mutex
	cmd             *exec.Cmd
	stopped         bool
	restartDisabled bool
	starts          int
	ended           chan struct{} // closed when run returns
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
			_ = cmd.Wait() // the exit status does not matter: the process is restarted
		}
		time.Sleep(restartPause)
	}
}

// start starts the process. It returns nil while restarts are disabled; an error ends run.
func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, errors.New("stopped")
	}
	if p.restartDisabled {
		return nil, nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A process group of its own, so that Ctrl-C at the terminal signals only the soak, which
	// then stops its processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd = cmd
	p.starts++
	return cmd, nil
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended already
	}
}

// setRestartDisabled disables restarts of the process, or enables them again.
func (p *process) setRestartDisabled(disabled bool) {
	p.mu.Lock()
	p.restartDisabled = disabled
	p.mu.Unlock()
}

// stop ends the process without a restart. If graceful, it sends SIGTERM and waits for up to
// stopGrace before it sends SIGKILL.
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
