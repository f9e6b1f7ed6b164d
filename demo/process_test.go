package demo

import (
	"context"
	"io"
	"os"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const shell = "/bin/sh"

var _ = Describe("a process", func() {
	// Guards against a failed run whose error does not say which process failed, and how.
	It("that fails is reported with its last log lines", func() {
		failed := make(chan error, 1)
		_, err := startProcess(shell, GinkgoT().TempDir(), "x", []string{"-c", "echo first >&2; echo last >&2; exit 3"},
			func(p *process) { failed <- p.failure("exited unexpectedly") })
		Expect(err).NotTo(HaveOccurred())
		Eventually(failed).Should(Receive(MatchError(SatisfyAll(
			ContainSubstring("x: exited unexpectedly (exit status 3)"),
			ContainSubstring("first\nlast")))))
	})

	// Guards against processes that keep running after the end of a run.
	It("that ignores SIGTERM is killed at the end", func() {
		f := &fleet{cfg: &Config{Executable: shell, Progress: io.Discard}, dir: GinkgoT().TempDir()}
		f.controlClient = newControlClient()
		p, err := f.startMonitored("x", "-c", "trap '' TERM; echo up; while :; do sleep 0.05; done")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { b, _ := os.ReadFile(p.logPath); return string(b) }).Should(ContainSubstring("up"))
		f.stopAll(0)
		Expect(p.exited).To(BeClosed())
		Expect(p.cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()).To(Equal(syscall.SIGKILL))
	})
})

var _ = Describe("a run", func() {
	// Guards against a run that continues after one of its processes has failed, and
	// against one that keeps its directory without printing the path.
	It("ends with the error of a process that exits", func() {
		var progress strings.Builder
		_, err := Run(context.Background(), Config{
			Seconds: 5, Executable: "/bin/false", Progress: &progress, Deployments: []string{"kel-impact"},
		})
		Expect(err).To(MatchError(ContainSubstring("exited unexpectedly (exit status 1)")))
		Expect(progress.String()).To(ContainSubstring("settings and logs are in"))
		root := strings.TrimSpace(strings.SplitAfter(progress.String(), "are in ")[1])
		Expect(os.RemoveAll(root)).To(Succeed())
	})

	It("refuses an unknown deployment", func() {
		_, err := Run(context.Background(), Config{Progress: io.Discard, Executable: shell, Deployments: []string{"none"}})
		Expect(err).To(MatchError(ContainSubstring("unknown deployment")))
	})
})
