package demo

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	tailLines = 15
	// killGrace is the time that a process gets to exit after SIGKILL.
	killGrace = 5 * time.Second
)

// process is one process that the demo started.
type process struct {
	name     string
	logPath  string
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has exited
	expected atomic.Bool   // the demo has asked it to stop
}

// startProcess starts the executable with its stderr in a file in dir. onExit is
// called when the process exits without having been asked to.
func startProcess(executable, dir, name string, args []string, onExit func(*process)) (*process, error) {
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "log of %s", name)
	}
	defer log.Close()
	p.cmd = exec.Command(executable, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Ctrl-C at the terminal reaches only the demo, which then stops the processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start of %s", name)
	}
	go func() {
		_ = p.cmd.Wait() // the outcome is in ProcessState
		close(p.ended)
		if !p.expected.Load() {
			onExit(p)
		}
	}()
	return p, nil
}

// signal asks the process to stop, or kills it.
func (p *process) signal(s syscall.Signal) {
	p.expected.Store(true)
	_ = p.cmd.Process.Signal(s) // it may have exited already
}

// wait reports whether the process exits within d.
func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(killGrace)
}

// status describes how the process exited.
func (p *process) status() string {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.String()
	default:
		return "running"
	}
}

// failed returns the error that the process is concerned in, with its last log lines.
func (p *process) failed(what string) error {
	return errors.Newf("%s: %s (%s); last lines of %s:\n%s", p.name, what, p.status(), p.logPath, p.tail())
}

// tail returns the last log lines.
func (p *process) tail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return fmt.Sprintf("(no log: %v)", err)
	}
	lines := bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n"))
	lines = lines[max(0, len(lines)-tailLines):]
	return string(bytes.Join(lines, []byte("\n")))
}
