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
	logTailLines = 15
	// killTimeout is the timeout for a process to exit after SIGKILL.
	killTimeout = 5 * time.Second
)

// process is one process that the demo started.
type process struct {
	name          string
	logPath       string
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the process has exited
	exitRequested atomic.Bool   // the demo has requested the exit
}

// startProcess starts the executable and writes its output to a log file in dir. It calls
// onExit when the process exits and the demo has not requested that.
func startProcess(executable, dir, name string, args []string, onExit func(*process)) (*process, error) {
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "log of %s", name)
	}
	defer log.Close()
	p.cmd = exec.Command(executable, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process has its own process group, so that Ctrl-C at the terminal signals only
	// the demo, which then stops the processes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start of %s", name)
	}
	go func() {
		_ = p.cmd.Wait() // ProcessState holds the result
		close(p.exited)
		if !p.exitRequested.Load() {
			onExit(p)
		}
	}()
	return p, nil
}

// signal stops the process by SIGTERM or SIGKILL.
func (p *process) signal(s syscall.Signal) {
	p.exitRequested.Store(true)
	_ = p.cmd.Process.Signal(s) // the process may have exited already
}

// wait reports whether the process exits within d.
func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process by SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(killTimeout)
}

// status describes how the process exited, or that it is running.
func (p *process) status() string {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.String()
	default:
		return "running"
	}
}

// failure returns an error about the process that contains its status and the last lines
// of its log.
func (p *process) failure(what string) error {
	return errors.Newf("%s: %s (%s); last lines of %s:\n%s", p.name, what, p.status(), p.logPath, p.logTail())
}

// logTail returns the last lines of the log.
func (p *process) logTail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return fmt.Sprintf("(no log: %v)", err)
	}
	lines := bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n"))
	lines = lines[max(0, len(lines)-logTailLines):]
	return string(bytes.Join(lines, []byte("\n")))
}
