package main

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/balancer"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

var _ = Describe("the commands for daemons", func() {
	// Guards against a daemon that starts with invalid settings.
	It("reject settings with findings", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, []byte(`{"nam": "b1"}`), 0o600)).To(Succeed())
		for _, daemon := range []string{"balancer", "agent"} {
			Expect(run([]string{daemon, "--settings", file})).To(Equal(exitUsage))
			Expect(run([]string{daemon, "--settings", file + ".missing"})).To(Equal(exitUsage))
			Expect(run([]string{daemon})).To(Equal(exitUsage))
		}
	})

	// Guards against operator commands that fail to reach a running process, or that report
	// success without one.
	It("dump, show the status of and drain a running balancer", func() {
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		b := balancer.New(settings.Balancer{
			Name: "b1", FailureDomain: "a", Readers: 1, HintEntries: 1024,
			DataAddress: loopback, ControlListen: loopback, HealthAddress: loopback,
		}, balancer.Options{}, event.NewLogger(io.Discard))
		Expect(b.Start()).To(Succeed())
		address := b.ControlAddress().String()
		Expect(run([]string{"dump", address})).To(Equal(exitOK))
		Expect(run([]string{"status", address, address})).To(Equal(exitOK))
		Expect(run([]string{"drain", address})).To(Equal(exitOK))
		<-b.Done()
		Expect(b.Err()).NotTo(HaveOccurred())
		for _, command := range []string{"dump", "status", "drain"} {
			Expect(run([]string{command, address})).To(Equal(exitFailure))
			Expect(run([]string{command, "no-address"})).To(Equal(exitUsage))
		}
	})
})
