package soak

import (
	"bytes"
	"fmt"
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
	// stopGrace is how long a process may take to end after SIGTERM before it is killed, the
	// platform's grace-s.
	stopGrace = 6 * time.Second
)

// processObserver receives what a process does that no fault explains.
type processObserver interface {
	// Failed reports that the run can't go on: a process was not started or has no address.
	Failed(error)
	// Violation reports that a process ended by itself.
	Violation(text string)
}

// process is a daemon process that is restarted whenever it ends, until stop is called.
type process struct {
	name, program string
	args          []string
	log           string
	observer      processObserver
	ended         chan struct{} // closed when run returns

	mu      sync.Mutex
	changed *sync.Cond // running, holds or stopped has changed
	cmd     *exec.Cmd
	running bool
	stopped bool
	holds   int                     // number of faults that keep the process from being restarted
	sent    map[syscall.Signal]bool // signals sent to the current process
}

func startProcess(dir, name string, observer processObserver, program string, args ...string) *process {
	p := &process{name: name, program: program, args: args, log: filepath.Join(dir, name+".log"), observer: observer, ended: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.run()
	return p
}

func (p *process) run() {
	defer close(p.ended)
	for {
		cmd, err := p.start()
		if err != nil {
			p.observer.Failed(errors.Wrapf(err, "soak: start %s", p.name))
			return
		}
		if cmd == nil {
			return
		}
		p.handleEnd(cmd, cmd.Wait())
		time.Sleep(restartPause)
	}
}

// start waits until no fault holds the process, and starts it. It returns nil once stop was called.
func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.holds > 0 && !p.stopped {
		p.changed.Wait()
	}
	if p.stopped {
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
	p.cmd, p.running, p.sent = cmd, true, map[syscall.Signal]bool{}
	return cmd, nil
}

// handleEnd records that the process has ended, and reports an end that no signal explains.
func (p *process) handleEnd(cmd *exec.Cmd, exit error) {
	p.mu.Lock()
	p.running = false
	sent := p.sent
	p.changed.Broadcast()
	p.mu.Unlock()
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if status.Signaled() && sent[status.Signal()] || sent[syscall.SIGTERM] && exit == nil {
		return
	}
	last := p.lastLine()
	if bytes.Contains(last, []byte(syscall.EADDRINUSE.Error())) {
		p.observer.Failed(errors.Newf("soak: %s: %s", p.name, last))
		return
	}
	p.observer.Violation(fmt.Sprintf("%s ended by itself, %s: %.200s", p.name, cmd.ProcessState, last))
}

// lastLine returns the last line of the log.
func (p *process) lastLine() []byte {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return []byte(err.Error())
	}
	text = bytes.TrimSpace(text)
	return text[bytes.LastIndexByte(text, '\n')+1:]
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		p.sent[s] = true
		_ = p.cmd.Process.Signal(s) // it may have ended already
	}
}

// terminate stops the current process as the platform does: one SIGTERM, and SIGKILL if it has
// not ended after stopGrace. Faults that overlap stop it once.
func (p *process) terminate() {
	p.mu.Lock()
	cmd, begun := p.cmd, !p.running || p.sent[syscall.SIGTERM]
	p.mu.Unlock()
	if begun {
		return
	}
	p.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() {
		p.mu.Lock()
		late := p.running && p.cmd == cmd
		p.mu.Unlock()
		if late {
			p.signal(syscall.SIGKILL)
		}
	})
}

// hold keeps the process from being restarted until release is called as often as hold.
func (p *process) hold() {
	p.mu.Lock()
	p.holds++
	p.mu.Unlock()
}

func (p *process) release() {
	p.mu.Lock()
	p.holds--
	p.changed.Broadcast()
	p.mu.Unlock()
}

// awaitEnd waits until the current process has ended.
func (p *process) awaitEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.running {
		p.changed.Wait()
	}
}

// stop kills the process and ends its restarts.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
}
