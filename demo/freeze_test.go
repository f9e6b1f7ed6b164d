package demo

import (
	"context"
	"io"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a frozen process", func() {
	// Guards against processes that stay suspended when a run ends early: they would not
	// handle SIGTERM.
	It("resumes when the run ends", func() {
		f := &fleet{cfg: &Config{Executable: shell, Progress: io.Discard}, dir: GinkgoT().TempDir(), controlClient: newControlClient()}
		p, err := f.startMonitored("x", "-c", "while :; do echo up; sleep 0.05; done")
		Expect(err).NotTo(HaveOccurred())
		defer f.stopAll(0)
		size := func() int64 {
			info, err := os.Stat(p.logPath)
			Expect(err).NotTo(HaveOccurred())
			return info.Size()
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(f.freeze(ctx, p, time.Hour)).To(MatchError(context.Canceled))
		before := size()
		Eventually(size).Should(BeNumerically(">", before))
	})

	// Guards against a run that fails because another action has killed the process.
	It("may have been killed", func() {
		f := &fleet{cfg: &Config{Executable: shell, Progress: io.Discard}, dir: GinkgoT().TempDir(), controlClient: newControlClient()}
		p, err := f.startMonitored("x", "-c", "sleep 60")
		Expect(err).NotTo(HaveOccurred())
		p.kill()
		Expect(f.freeze(context.Background(), p, 0)).To(Succeed())
	})
})
