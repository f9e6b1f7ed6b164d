package process

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
)

// Exit statuses.
const (
	ExitOK       = 0
	ExitFailure  = 1 // a socket failed, or a second signal ended the process during the shutdown
	ExitSettings = 2 // the settings are invalid; nothing was started
)

// Daemon is a balancer or an agent.
type Daemon interface {
	// Start opens the sockets and starts serving. If it returns an error, it has
	// closed everything that it opened.
	Start() error
	// Shutdown begins a graceful shutdown and returns immediately. Further calls have
	// no effect.
	Shutdown()
	// Done returns a channel that is closed after the daemon has stopped and its
	// goroutines have ended.
	Done() <-chan struct{}
	// Err returns the error that stopped the daemon, or nil after a graceful shutdown.
	Err() error
	// OpenFlows returns the number of flows that are open in this daemon.
	OpenFlows() int
}

// ReportSettings logs one event for each finding in err and returns ExitSettings.
func ReportSettings(log *event.Logger, err error) int {
	var found finding.List
	if !errors.As(err, &found) {
		found.Add(finding.Finding{Message: err.Error()})
	}
	for _, f := range found {
		log.Log(event.BadSettings,
			"file", f.File, "line", f.Line, "column", f.Column, "field", f.Field, "finding", f.Message)
	}
	return ExitSettings
}

// Run starts the daemon, waits until it has stopped and returns the exit status. SIGTERM
// and SIGINT begin a graceful shutdown; a second one ends the process immediately. A
// daemon that implements Reloader reloads its settings on SIGHUP, and when the file
// changes without a signal.
func Run(d Daemon, log *event.Logger, settingsFile string) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	return run(d, log, signals, newSettingsWatcher(settingsFile, log), ticker.C)
}

func run(d Daemon, log *event.Logger, signals <-chan os.Signal, w *settingsWatcher, tick <-chan time.Time) int {
	if err := d.Start(); err != nil {
		log.Log(event.SocketFailed, "error", err)
		return ExitFailure
	}
	for received := 0; ; {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				w.check(d, true)
				continue
			}
			received++
			if received > 1 {
				log.Log(event.StopForced, "signal", s, "left", d.OpenFlows())
				return ExitFailure
			}
			d.Shutdown()
		case <-tick:
			w.check(d, false)
		case <-d.Done():
			return finish(d, log)
		}
	}
}

func finish(d Daemon, log *event.Logger) int {
	log.Log(event.Stopped, "left", d.OpenFlows())
	if err := d.Err(); err != nil {
		log.Log(event.SocketFailed, "error", err)
		return ExitFailure
	}
	return ExitOK
}
