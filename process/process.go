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
	ExitFailure  = 1 // a socket failed, or a second signal cut the shutdown short
	ExitSettings = 2 // the settings have findings; nothing was started
)

// Daemon is a balancer or an agent.
type Daemon interface {
	// Start opens the sockets and starts serving. After an error everything is
	// closed again.
	Start() error
	// Shutdown begins a graceful shutdown and returns at once. Further calls have
	// no effect.
	Shutdown()
	// Done is closed after the daemon has stopped and its goroutines have ended.
	Done() <-chan struct{}
	// Err returns what stopped the daemon, or nil after a graceful shutdown.
	Err() error
	// Left returns the number of flows that are open here.
	Left() int
}

// ReportSettings logs each finding of err as one event and returns ExitSettings.
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

// Run starts the daemon and returns the exit status after it has stopped. SIGTERM
// and SIGINT begin a graceful shutdown; a second one ends the process at once. A
// daemon that is a Reloader follows the settings file: on SIGHUP, and when the file
// changes without a signal.
func Run(d Daemon, log *event.Logger, settingsFile string) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	return run(d, log, signals, newFollower(settingsFile, log), ticker.C)
}

func run(d Daemon, log *event.Logger, signals <-chan os.Signal, f *follower, tick <-chan time.Time) int {
	if err := d.Start(); err != nil {
		log.Log(event.SocketFailed, "error", err)
		return ExitFailure
	}
	for received := 0; ; {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.check(d, true)
				continue
			}
			received++
			if received > 1 {
				log.Log(event.StopForced, "signal", s, "left", d.Left())
				return ExitFailure
			}
			d.Shutdown()
		case <-tick:
			f.check(d, false)
		case <-d.Done():
			return finish(d, log)
		}
	}
}

func finish(d Daemon, log *event.Logger) int {
	log.Log(event.Stopped, "left", d.Left())
	if err := d.Err(); err != nil {
		log.Log(event.SocketFailed, "error", err)
		return ExitFailure
	}
	return ExitOK
}
