package process

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

func TestProcess(t *testing.T) { spec.Run(t, "process") }

// daemon is a Daemon that stops on Shutdown, or never if ignoresShutdown is set.
type daemon struct {
	startErr, err   error
	ignoresShutdown bool
	done            chan struct{}
}

// reloadableDaemon is a daemon that implements Reloader.
type reloadableDaemon struct {
	daemon
	reloads int
	err     error
}

func (r *reloadableDaemon) Reload(string) (changed, atNextStart []string, err error) {
	r.reloads++
	return []string{"seeds", "name"}, []string{"name"}, r.err
}

func (d *daemon) Start() error          { return d.startErr }
func (d *daemon) Done() <-chan struct{} { return d.done }
func (d *daemon) Err() error            { return d.err }
func (d *daemon) OpenFlows() int        { return 3 }
func (d *daemon) Shutdown() {
	if !d.ignoresShutdown {
		close(d.done)
	}
}

var _ = Describe("Run", func() {
	var (
		out     bytes.Buffer
		log     *event.Logger
		signals chan os.Signal
	)
	BeforeEach(func() {
		out.Reset()
		log = event.NewLogger(&out)
		signals = make(chan os.Signal, 2)
	})

	// Guards against a graceful shutdown that a supervisor takes for a crash.
	It("exits with status 0 after SIGTERM", func() {
		signals <- syscall.SIGTERM
		Expect(run(&daemon{done: make(chan struct{})}, log, signals, newSettingsWatcher("", log), nil)).To(Equal(ExitOK))
		Expect(out.String()).To(ContainSubstring("event=1002"))
	})

	// Guards against a drain that an operator cannot abort.
	It("exits with status 1 after a second SIGTERM and logs it", func() {
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		Expect(run(&daemon{ignoresShutdown: true}, log, signals, newSettingsWatcher("", log), nil)).To(Equal(ExitFailure))
		Expect(out.String()).To(MatchRegexp(`event=1005 .*left=3`))
	})

	// Guards against a daemon that keeps running without sockets.
	It("exits with status 1 when the daemon cannot start or fails", func() {
		Expect(run(&daemon{startErr: errors.New("in use")}, log, signals, newSettingsWatcher("", log), nil)).To(Equal(ExitFailure))
		done := make(chan struct{})
		close(done)
		Expect(run(&daemon{done: done, err: errors.New("lost")}, log, signals, newSettingsWatcher("", log), nil)).To(Equal(ExitFailure))
		Expect(out.String()).To(ContainSubstring("event=1004"))
	})

	// Guards against a SIGHUP that ends the process, and against changes of the settings
	// file that take effect only after a signal.
	It("reloads the settings on SIGHUP and when the file has changed", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, []byte("one"), 0o600)).To(Succeed())
		d := &reloadableDaemon{daemon: daemon{done: make(chan struct{})}}
		w := newSettingsWatcher(file, log)
		w.check(d, false)
		Expect(d.reloads).To(Equal(0))
		Expect(os.WriteFile(file, []byte("two"), 0o600)).To(Succeed())
		w.check(d, false)
		w.check(d, false)
		Expect(d.reloads).To(Equal(1))
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		Expect(run(d, log, signals, w, nil)).To(Equal(ExitOK))
		Expect(d.reloads).To(Equal(2))
		Expect(out.String()).To(MatchRegexp(`event=1007 .*changed=name,seeds next_start=name`))
	})

	// Guards against invalid settings that end a running process or are not reported.
	It("keeps running with the old settings when the new ones are invalid", func() {
		d := &reloadableDaemon{daemon: daemon{done: make(chan struct{})}, err: finding.List{{Message: "bad"}}}
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		Expect(run(d, log, signals, newSettingsWatcher("settings.json", log), nil)).To(Equal(ExitOK))
		Expect(out.String()).To(ContainSubstring("event=1003"))
		Expect(out.String()).To(ContainSubstring("event=1008"))
	})

	// Guards against reporting only one finding per start.
	It("reports every finding of the settings", func() {
		err := finding.List{{File: "a.json", Line: 2, Field: "x", Message: "one"}, {File: "a.json", Line: 3, Message: "two"}}
		Expect(ReportSettings(log, err)).To(Equal(ExitSettings))
		Expect(bytes.Count(out.Bytes(), []byte("event=1003"))).To(Equal(2))
		Expect(out.String()).To(ContainSubstring("file=a.json line=2 column=0 field=x finding=one"))
	})
})
